package org.agatehatch.gateway.request;

/**
 * Time limits within an exchange, in milliseconds.
 *
 * @param maxResidencyWaitMillis longest time for which a request waits for a model to be loaded
 * @param nonRepeatableMaxIdleMillis idle time up to which a kept connection is used for a request that must not be repeated
 * @param firstByteTargetFactor times the target after which a request that may be repeated is tried at another server
 * @param minSilenceMillis least time before that
 * @param stallFactor times the longest pause after which a resumable stream goes on at another server
 * @param overloadRetryAfterMillis time after which a caller should come back when the servers were full
 * @param modelLoadRetryAfterMillis time after which a caller should come back for a model that is being loaded
 */
public record ExchangeTimeouts(
        long maxResidencyWaitMillis,
        long nonRepeatableMaxIdleMillis,
        double firstByteTargetFactor,
        long minSilenceMillis,
        double stallFactor,
        long overloadRetryAfterMillis,
        long modelLoadRetryAfterMillis) {
    /** A model takes 0.3 to 0.9 s from a runner's memory or disk, and 2 to 4.2 s from the weight store. */
    public static final ExchangeTimeouts DEFAULT = new ExchangeTimeouts(1_500, 1_000, 1.5, 300, 4, 250, 900);
}
