package org.agatehatch.internal.process;

import java.util.random.RandomGenerator;

/**
 * Times and limits of the placement executor.
 *
 * @param roundMillis time between two planning rounds
 * @param pollMillis time between two inventory reads of a runner with unsettled orders
 * @param idlePollMillis time between two inventory reads of any other runner
 * @param replyTimeoutMillis time after which an order or inventory read counts as unanswered
 * @param loadTimeoutMillis time after which an acknowledged load that is not ready is given up
 * @param unreachableAfterMillis time without an inventory after which a runner is planned around
 * @param backoffMillis first delay before an order is repeated; it doubles with each repetition
 * @param maxBackoffMillis longest delay before an order is repeated
 * @param maxCopies most copies of one order for a runner that ignores fencing numbers
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
    /** Times for loads that take up to some tens of seconds at the store's full speed. */
    public static final PlacementTimes DEFAULTS =
            new PlacementTimes(5_000, 500, 3_000, 5_000, 180_000, 10_000, 2_000, 60_000, 3);

    /** Returns a delay that doubles with each attempt, of which a random half is jitter. */
    long backoffMillis(int attempt, RandomGenerator random) {
        long full = Math.min(maxBackoffMillis, backoffMillis << Math.min(attempt, 16));
        return full / 2 + random.nextLong(full / 2 + 1);
    }
}
