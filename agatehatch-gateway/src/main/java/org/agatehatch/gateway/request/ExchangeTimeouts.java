package org.agatehatch.gateway.request;

/**
 * Time limits of an exchange.
 *
 * @param maxResidencyWaitMillis maximum time for which a request waits for a model or adapter to be loaded
 * @param maxPermitWaitMillis maximum time for which a request waits until a server that names a limit may take it
 * @param maxClosureWaitMillis maximum time for which a request waits until a server that has closed itself opens again
 * @param nonRepeatableMaxIdleMillis maximum idle time of a pooled connection that may carry a non-repeatable request
 * @param firstByteTargetFactor multiple of the route's latency target after which an attempt at a repeatable request without a
 *     first byte counts as silent
 * @param minSilenceMillis minimum time without data before an attempt counts as silent
 * @param stallFactor multiple of the route's longest pause after which an attempt that stalls after its first byte counts as silent
 * @param maxOverlapMillis maximum time for which two model engines work on one request; beyond 400 ms it counts as run twice, and
 *     the close of the first one's connection takes a while to reach it
 * @param overloadRetryAfterMillis base of the Retry-After value when a server refused the request
 * @param modelLoadRetryAfterMillis base of the Retry-After value when a model or the configuration is not available yet
 */
public record ExchangeTimeouts(
        long maxResidencyWaitMillis,
        long maxPermitWaitMillis,
        long maxClosureWaitMillis,
        long nonRepeatableMaxIdleMillis,
        double firstByteTargetFactor,
        long minSilenceMillis,
        double stallFactor,
        long maxOverlapMillis,
        long overloadRetryAfterMillis,
        long modelLoadRetryAfterMillis) {
    /** Loading a model takes 0.3 to 0.9 s from a runner's memory or disk, and 2 to 4.2 s from the weight store. */
    public static final ExchangeTimeouts DEFAULT =
            new ExchangeTimeouts(1_500, 1_000, 1_000, 1_000, 1.5, 300, 4, 150, 250, 900);
}
