package org.agatehatch.internal.connection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.agatehatch.api.fleet.GenerationRequest;
import org.agatehatch.api.fleet.PromptPart;

/**
 * Estimates which prompt prefixes the runners hold in their prefix caches, from the requests that this node sent to
 * them. The tokens of a runner are bounded by a fraction of its memory; the least recently used parts are evicted
 * first. Not thread-safe.
 */
public final class PromptCacheEstimator {
    /**
     * Fraction of a runner's memory left for cached parts beside running requests and the parts of other nodes'
     * prompts.
     */
    private static final double CACHE_MEMORY_FRACTION = 0.6;

    private final Map<String, RunnerCache> cacheByRunner = new HashMap<>();

    /** Returns how many leading prompt tokens a runner is expected to have cached. */
    public int cachedTokens(String runner, GenerationRequest request) {
        RunnerCache cache = cacheByRunner.get(runner);
        if (cache == null) {
            return 0;
        }
        int tokens = 0;
        String prefix = request.cacheScope();
        for (PromptPart part : request.parts()) {
            prefix = extend(prefix, part);
            if (!cache.tokensByPrefix.containsKey(prefix)) {
                return tokens;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /**
     * Records that a runner has processed a request's prompt.
     *
     * @param memoryTokens number of tokens that fit the runner's memory
     */
    public void recordPrefill(String runner, GenerationRequest request, long memoryTokens) {
        RunnerCache cache = cacheByRunner.computeIfAbsent(runner, id -> new RunnerCache());
        List<String> prefixes = new ArrayList<>();
        String prefix = request.cacheScope();
        for (PromptPart part : request.parts()) {
            prefix = extend(prefix, part);
            prefixes.add(prefix);
        }
        // A part is usable only with all parts before it, so the access order makes the first part the last to be
        // evicted.
        for (int i = prefixes.size() - 1; i >= 0; i--) {
            cache.put(prefixes.get(i), request.parts().get(i).tokens());
        }
        cache.evictDownTo((long) (memoryTokens * CACHE_MEMORY_FRACTION));
    }

    /** Removes all cached parts of a runner, for example because it restarted. */
    public void invalidate(String runner) {
        cacheByRunner.remove(runner);
    }

    /** Removes the cached parts of one model on a runner that unloaded the model. */
    public void invalidate(String runner, String model) {
        RunnerCache cache = cacheByRunner.get(runner);
        if (cache == null) {
            return;
        }
        cache.tokensByPrefix.entrySet().removeIf(entry -> {
            boolean ofModel =
                    entry.getKey().startsWith(model + '/') || entry.getKey().startsWith(model + '>');
            cache.tokens -= ofModel ? entry.getValue() : 0;
            return ofModel;
        });
    }

    private static String extend(String prefix, PromptPart part) {
        return prefix + '>' + part.id();
    }

    private static final class RunnerCache {
        private final LinkedHashMap<String, Integer> tokensByPrefix = new LinkedHashMap<>(64, 0.75f, true);
        private long tokens;

        private void put(String prefix, int partTokens) {
            Integer previous = tokensByPrefix.put(prefix, partTokens);
            tokens += partTokens - (previous == null ? 0 : previous);
        }

        private void evictDownTo(long limit) {
            Iterator<Map.Entry<String, Integer>> leastRecentlyUsed =
                    tokensByPrefix.entrySet().iterator();
            while (tokens > limit && leastRecentlyUsed.hasNext()) {
                tokens -= leastRecentlyUsed.next().getValue();
                leastRecentlyUsed.remove();
            }
        }
    }
}
