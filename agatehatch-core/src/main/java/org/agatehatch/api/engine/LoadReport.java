package org.agatehatch.api.engine;

import java.util.Set;

/**
 * The load that an engine reports. The values are {@code ageMillis} older than the time at which the report was read.
 *
 * @param ageMillis age of the values when the report was read
 * @param queuedTokens prompt and output tokens waiting
 * @param runningRequests requests in the batch
 * @param arrivals requests received since the engine started
 * @param cacheUsedFraction fraction of the prefix cache in use, 0 to 1
 * @param prefillTokensPerSecond rate at which prompts are computed
 * @param decodeTokensPerSecond output rate of one request at the current batch size
 * @param adapterLoads number of adapter loads in progress
 * @param adapters names of the resident adapters
 * @param uptimeMillis time from the start of the engine's process until the report was read; 0 if unknown
 */
public record LoadReport(
        String runnerEpoch,
        long sequence,
        long ageMillis,
        long queuedTokens,
        int runningRequests,
        long arrivals,
        double cacheUsedFraction,
        double prefillTokensPerSecond,
        double decodeTokensPerSecond,
        int adapterLoads,
        Set<String> adapters,
        long uptimeMillis) {
    public LoadReport {
        adapters = Set.copyOf(adapters);
    }

    /** Creates a report of an engine that does not report its uptime. */
    public LoadReport(
            String runnerEpoch,
            long sequence,
            long ageMillis,
            long queuedTokens,
            int runningRequests,
            long arrivals,
            double cacheUsedFraction,
            double prefillTokensPerSecond,
            double decodeTokensPerSecond,
            int adapterLoads,
            Set<String> adapters) {
        this(
                runnerEpoch,
                sequence,
                ageMillis,
                queuedTokens,
                runningRequests,
                arrivals,
                cacheUsedFraction,
                prefillTokensPerSecond,
                decodeTokensPerSecond,
                adapterLoads,
                adapters,
                0);
    }
}
