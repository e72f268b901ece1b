package org.agatehatch.internal.process;

import java.util.random.RandomGenerator;

/**
 * Intervals, timeouts and limits of the placement executor.
 *
 * @param roundMillis interval between planning rounds
 * @param pollMillis interval between inventory reads of a runner with unsettled orders
 * @param idlePollMillis interval between inventory reads of any other runner
 * @param replyTimeoutMillis time after which an order or inventory read counts as unanswered
 * @param loadTimeoutMillis time after which an acknowledged load that is not ready is abandoned and unloaded
 * @param unreachableAfterMillis time without an inventory after which planning treats a runner as unavailable
 * @param backoffMillis first delay before an order is resent; it doubles with each attempt
 * @param maxBackoffMillis longest delay before an order is resent
 * @param maxCopies most unanswered copies of one order to a runner that ignores fencing numbers
 */
public record PlacementTimes(
        long roundMillis,
        long pollMillis,
        long idlePollMillis,
        long replyTimeoutMillis,
        long loadTimeoutMillis,
        long unreachableAfterMillis,
        long backoffMillis,
        long maxBackoffMillis,
        int maxCopies) {
    /** Values for loads that take up to some tens of seconds at the full speed of the weight store. */
    public static final PlacementTimes DEFAULTS =
            new PlacementTimes(5_000, 500, 3_000, 5_000, 180_000, 10_000, 2_000, 60_000, 3);

    /** Returns the exponential backoff for an attempt counted from 0; a random part of up to half of it is jitter. */
    long backoffMillis(int attempt, RandomGenerator random) {
        long full = Math.min(maxBackoffMillis, backoffMillis << Math.min(attempt, 16));
        return full / 2 + random.nextLong(full / 2 + 1);
    }
}
