package org.agatehatch.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;

/** Prefix cache of an engine: the least recently used blocks go first, of one prompt the last ones. */
final class PrefixCache {
    private final int maxBlocks;
    private final LinkedHashMap<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final List<Long> added = new ArrayList<>();
    private final List<Long> removed = new ArrayList<>();

    PrefixCache(int maxBlocks) {
        this.maxBlocks = maxBlocks;
    }

    /** Returns how many leading blocks of a prompt are cached. */
    int leading(long[] prompt) {
        int found = 0;
        while (found < prompt.length && blocks.containsKey(prompt[found])) {
            found++;
        }
        return found;
    }

    void insert(long[] prompt) {
        for (int i = Math.min(prompt.length, maxBlocks) - 1; i >= 0; i--) {
            if (blocks.put(prompt[i], true) == null) {
                added.add(prompt[i]);
            }
        }
        var oldest = blocks.keySet().iterator();
        for (int excess = blocks.size() - maxBlocks; excess > 0; excess--) {
            removed.add(oldest.next());
            oldest.remove();
        }
    }

    void clear() {
        blocks.clear();
        added.clear();
        removed.clear();
    }

    List<Long> content() {
        return List.copyOf(blocks.keySet());
    }

    List<Long> takeAdded() {
        return take(added);
    }

    List<Long> takeRemoved() {
        return take(removed);
    }

    private static List<Long> take(List<Long> changes) {
        List<Long> taken = List.copyOf(changes);
        changes.clear();
        return taken;
    }
}
