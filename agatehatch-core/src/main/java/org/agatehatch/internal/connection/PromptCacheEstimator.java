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
 * Which parts of prompts the runners are expected to keep, judged by what this node sent to them. A runner's parts are
 * bounded by its memory; the least recently used go first. Not safe for use by several threads.
 */
public final class PromptCacheEstimator {
    /** Part of a runner's memory that kept parts are expected to have beside running requests and other nodes' parts. */
    private static final double CACHE_MEMORY_FRACTION = 0.6;

    private final Map<String, RunnerCache> cacheByRunner = new HashMap<>();

    /** Returns how many leading prompt tokens a runner is expected to have read before. */
    public int cachedTokens(String runner, GenerationRequest request) {
        RunnerCache kept = cacheByRunner.get(runner);
        if (kept == null) {
            return 0;
        }
        int tokens = 0;
        String chain = request.cacheScope();
        for (PromptPart part : request.parts()) {
            chain = extend(chain, part);
            if (!kept.tokensByPrefix.containsKey(chain)) {
                return tokens;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    /** Notes that a runner has read a request's prompt. */
    public void recordPrefill(String runner, GenerationRequest request, long memoryTokens) {
        RunnerCache kept = cacheByRunner.computeIfAbsent(runner, id -> new RunnerCache());
        List<String> chains = new ArrayList<>();
        String chain = request.cacheScope();
        for (PromptPart part : request.parts()) {
            chain = extend(chain, part);
            chains.add(chain);
        }
        // A part is of use only with all parts before it, so the first one is the last to be dropped.
        for (int i = chains.size() - 1; i >= 0; i--) {
            kept.put(chains.get(i), request.parts().get(i).tokens());
        }
        kept.evictDownTo((long) (memoryTokens * CACHE_MEMORY_FRACTION));
    }

    /** Forgets what a runner kept, for example because it restarted. */
    public void invalidate(String runner) {
        cacheByRunner.remove(runner);
    }

    /** Forgets what a runner kept of one model, because the model was dropped there. */
    public void invalidate(String runner, String model) {
        RunnerCache kept = cacheByRunner.get(runner);
        if (kept == null) {
            return;
        }
        kept.tokensByPrefix.entrySet().removeIf(entry -> {
            boolean ofModel =
                    entry.getKey().startsWith(model + '/') || entry.getKey().startsWith(model + '>');
            kept.tokens -= ofModel ? entry.getValue() : 0;
            return ofModel;
        });
    }

    private static String extend(String chain, PromptPart part) {
        return chain + '>' + part.id();
    }

    private static final class RunnerCache {
        private final LinkedHashMap<String, Integer> tokensByPrefix = new LinkedHashMap<>(64, 0.75f, true);
        private long tokens;

        private void put(String chain, int partTokens) {
            Integer before = tokensByPrefix.put(chain, partTokens);
            tokens += partTokens - (before == null ? 0 : before);
        }

        private void evictDownTo(long limit) {
            Iterator<Map.Entry<String, Integer>> oldest = tokensByPrefix.entrySet().iterator();
            while (tokens > limit && oldest.hasNext()) {
                tokens -= oldest.next().getValue();
                oldest.remove();
            }
        }
    }
}
