package org.agatehatch.internal.process;

import java.util.random.RandomGenerator;

/** Exponential backoff with jitter. */
final class Backoff {
    private static final int MAX_DOUBLINGS = 20;

    private Backoff() {}

    /**
     * Returns a random delay between half of the nominal delay and the nominal delay.
     *
     * @param consecutiveFailures number of consecutive failed attempts, at least 1
     */
    static long millis(int consecutiveFailures, long initialMillis, long maxMillis, RandomGenerator random) {
        int doublings = Math.min(consecutiveFailures - 1, MAX_DOUBLINGS);
        long nominalMillis = Math.min(initialMillis << doublings, maxMillis);
        return nominalMillis / 2 + random.nextLong(nominalMillis / 2 + 1);
    }
}
