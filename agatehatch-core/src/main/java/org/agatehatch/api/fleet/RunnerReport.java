package org.agatehatch.api.fleet;

import java.util.List;

/**
 * A runner's state some hundred milliseconds ago.
 *
 * @param startedAtMillis time of day at which the runner's process started, by the runner's clock; 0 if it is not stated
 * @param ordersAccepted number of orders that the process has accepted
 * @param busy whether the runner executes an order
 * @param kvCacheUsedTokens occupied part of the KV cache, in tokens
 * @param kvCacheTokens capacity of the KV cache, in tokens
 * @param loadingAdapters adapters that the runner is loading, as {@code model/adapter}
 */
public record RunnerReport(
        long startedAtMillis,
        long ordersAccepted,
        boolean busy,
        int queued,
        int running,
        long kvCacheUsedTokens,
        long kvCacheTokens,
        List<ResidentModel> models,
        List<String> loadingAdapters) {
    public RunnerReport {
        models = List.copyOf(models);
        loadingAdapters = List.copyOf(loadingAdapters);
    }
}
