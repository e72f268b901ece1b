package org.agatehatch.internal.request;

/**
 * Decides whether a runner imports the key-value cache of a prompt from another runner or recomputes it.
 *
 * @param importCache whether to import the cache
 * @param copyMillis predicted time to copy the cache
 * @param computeMillis predicted time to recompute the same tokens
 */
public record KvImportDecision(boolean importCache, double copyMillis, double computeMillis) {
    /** Minimum saving for an import, because its set-up cost is not part of the estimate. */
    private static final double MIN_SAVING_MILLIS = 10;

    public static KvImportDecision decide(Costs costs) {
        int tokens = Math.max(0, costs.sourceCachedTokens - costs.targetCachedTokens);
        if (tokens == 0 || costs.linkBytesPerSecond <= 0 || costs.targetPrefillTokensPerSecond <= 0) {
            return new KvImportDecision(false, Double.POSITIVE_INFINITY, 0);
        }
        double copyMillis =
                2 * costs.distanceMillis + 1_000.0 * tokens * costs.bytesPerToken / costs.linkBytesPerSecond;
        double computeMillis = 1_000.0 * tokens / costs.targetPrefillTokensPerSecond;
        // If the source is not overloaded, it can serve the request itself without a copy.
        boolean sourceOverloaded = costs.sourceWaitMillis > costs.targetWaitMillis + copyMillis;
        boolean cheaper = copyMillis + MIN_SAVING_MILLIS < computeMillis;
        return new KvImportDecision(sourceOverloaded && cheaper, copyMillis, computeMillis);
    }

    /**
     * Cost parameters of one possible import.
     *
     * @param sourceCachedTokens leading prompt tokens that the source has cached
     * @param targetCachedTokens leading prompt tokens that the target has cached
     * @param bytesPerToken size of the key-value cache of one token of the model
     * @param linkBytesPerSecond bandwidth of the link between the two runners
     * @param distanceMillis one-way network latency between the two runners
     * @param targetPrefillTokensPerSecond prefill rate of the target
     * @param sourceWaitMillis predicted time to the first token at the source
     * @param targetWaitMillis predicted queue time at the target
     */
    public record Costs(
            int sourceCachedTokens,
            int targetCachedTokens,
            double bytesPerToken,
            double linkBytesPerSecond,
            double distanceMillis,
            double targetPrefillTokensPerSecond,
            double sourceWaitMillis,
            double targetWaitMillis) {}
}
