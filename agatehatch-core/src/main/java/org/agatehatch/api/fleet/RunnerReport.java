package org.agatehatch.api.fleet;

import java.util.List;

/**
 * A runner's state some hundred milliseconds ago.
 *
 * @param ordersAccepted orders that its process has accepted
 * @param loadingAdapters adapters on their way to the runner, as {@code model/adapter}
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
