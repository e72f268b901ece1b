package org.agatehatch.standins.log;

import java.util.OptionalLong;

/** Spaces appends evenly and says how long each has to wait. */
final class AppendLimit {
    private static final double NANOS_PER_SECOND = 1e9;
    /** Appends that may come at once without waiting, after a pause. */
    private static final double BURST_SECONDS = 0.05;

    private double nextFreeNanos = Double.NEGATIVE_INFINITY;

    /** Takes a turn and returns the wait for it in nanoseconds; empty if that would be longer than {@code maxWait}. */
    synchronized OptionalLong take(double perSecond, long maxWaitNanos, long nowNanos) {
        double start = Math.max(nextFreeNanos, nowNanos - BURST_SECONDS * NANOS_PER_SECOND);
        double wait = Math.max(0, start - nowNanos);
        if (wait > maxWaitNanos) {
            return OptionalLong.empty();
        }
        nextFreeNanos = start + NANOS_PER_SECOND / perSecond;
        return OptionalLong.of((long) wait);
    }
}
