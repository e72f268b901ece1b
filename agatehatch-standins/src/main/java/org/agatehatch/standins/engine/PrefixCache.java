package org.agatehatch.standins.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Cached blocks of prompts, limited in number; the least recently used go first. Not safe for use by several threads.
 */
final class PrefixCache {
    private final int capacityBlocks;
    private final Listener listener;
    // A block's hash is chained from its model's name, so it is unique over models. The value is the model.
    private final LinkedHashMap<Long, String> blocks = new LinkedHashMap<>(16, 0.75f, true);

    PrefixCache(int capacityBlocks, Listener listener) {
        this.capacityBlocks = capacityBlocks;
        this.listener = listener;
    }

    /** Hears of changes of the cache. */
    @FunctionalInterface
    interface Listener {
        void changed(String kind, String model, List<Long> blocks);
    }

    /** Returns how many blocks from the first one on are cached, and marks them as used. */
    int use(long[] hashes) {
        int cached = cachedPrefix(hashes);
        // From last to first, so that a prefix outlives the blocks that follow it.
        for (int i = cached - 1; i >= 0; i--) {
            blocks.get(hashes[i]);
        }
        return cached;
    }

    /** Returns how many blocks from the first one on are cached. */
    int cachedPrefix(long[] hashes) {
        int cached = 0;
        while (cached < hashes.length && blocks.containsKey(hashes[cached])) {
            cached++;
        }
        return cached;
    }

    /** Stores the blocks of a prompt, as many from the first one on as fit, and returns how many are new. */
    int store(String model, long[] hashes) {
        int kept = Math.min(hashes.length, capacityBlocks);
        List<Long> stored = new ArrayList<>();
        for (int i = kept - 1; i >= 0; i--) {
            if (blocks.put(hashes[i], model) == null) {
                stored.add(0, hashes[i]);
            }
        }
        evict();
        if (!stored.isEmpty()) {
            listener.changed("stored", model, stored);
        }
        return stored.size();
    }

    /** Drops all blocks of a model. */
    void drop(String model) {
        List<Long> dropped = new ArrayList<>();
        blocks.entrySet().removeIf(entry -> entry.getValue().equals(model) && dropped.add(entry.getKey()));
        if (!dropped.isEmpty()) {
            listener.changed("evicted", model, dropped);
        }
    }

    double usedFraction() {
        return capacityBlocks == 0 ? 0 : (double) blocks.size() / capacityBlocks;
    }

    /** Returns all blocks by model, least recently used first. */
    Map<String, List<Long>> contents() {
        Map<String, List<Long>> byModel = new LinkedHashMap<>();
        blocks.forEach((hash, model) ->
                byModel.computeIfAbsent(model, key -> new ArrayList<>()).add(hash));
        return byModel;
    }

    private void evict() {
        Map<String, List<Long>> evicted = new LinkedHashMap<>();
        Iterator<Map.Entry<Long, String>> eldest = blocks.entrySet().iterator();
        while (blocks.size() > capacityBlocks) {
            Map.Entry<Long, String> entry = eldest.next();
            evicted.computeIfAbsent(entry.getValue(), key -> new ArrayList<>()).add(entry.getKey());
            eldest.remove();
        }
        evicted.forEach((model, hashes) -> listener.changed("evicted", model, hashes));
    }
}
