package org.agatehatch.gateway.connection;

import java.util.concurrent.TimeUnit;

/** Measures whether a caller sends a request, or reads a response, at a minimum rate. */
final class MinimumProgress {
    static final long INTERVAL_MILLIS = 5_000;
    private static final int MIN_BYTES = 1_024;

    private long startNanos;
    private long bytes;

    MinimumProgress(long nowNanos) {
        restart(nowNanos);
    }

    /** Begins a new interval, because there is nothing to transfer or it is not the caller's turn. */
    void restart(long nowNanos) {
        startNanos = nowNanos;
        bytes = 0;
    }

    void add(long more) {
        bytes += more;
    }

    /** Returns whether an interval has ended in which less than the minimum was transferred. */
    boolean wasTooSlow(long nowNanos) {
        if (nowNanos - startNanos < TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLIS)) {
            return false;
        }
        boolean tooSlow = bytes < MIN_BYTES;
        restart(nowNanos);
        return tooSlow;
    }
}
