package org.agatehatch.internal.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Passes on what nodes have learned of servers, at the placement holder. Each node gets what the others have reported since its
 * own last report, and a new node gets all that is kept. Runs on the control thread.
 */
public final class CapacityExchange {
    /** Number of values kept; at 40 values a second those of the last 50 seconds. */
    private static final int MAX_KEPT = 2_048;

    /** Largest number of values in a message, some 40 bytes each. */
    public static final int MAX_IN_MESSAGE = 128;

    private record Entry(long sequence, String node, LearnedCapacity value) {}

    private final Deque<Entry> entries = new ArrayDeque<>();
    private final Map<String, Long> seenByNode = new HashMap<>();
    private long sequence;

    /** Adds a node's values and returns those of the other nodes that it has not received, the latest ones if there are many. */
    public List<LearnedCapacity> exchange(String node, List<LearnedCapacity> learned) {
        long seen = seenByNode.getOrDefault(node, 0L);
        for (LearnedCapacity value : learned) {
            entries.addLast(new Entry(++sequence, node, value));
        }
        while (entries.size() > MAX_KEPT) {
            entries.removeFirst();
        }
        seenByNode.put(node, sequence);
        seenByNode.values().removeIf(last -> last + MAX_KEPT < sequence);
        List<LearnedCapacity> others = new ArrayList<>();
        for (Iterator<Entry> latest = entries.descendingIterator(); latest.hasNext(); ) {
            Entry entry = latest.next();
            if (entry.sequence <= seen) {
                break;
            }
            if (!entry.node.equals(node)) {
                others.add(entry.value);
            }
        }
        return merge(others);
    }

    /** Returns at most as many values as fit a message, with one for each key; the first ones if there are more. */
    public static List<LearnedCapacity> merge(Collection<LearnedCapacity> values) {
        Map<String, LearnedCapacity> byKey = new LinkedHashMap<>();
        for (LearnedCapacity value : values) {
            String key = value.key();
            if (byKey.size() < MAX_IN_MESSAGE || byKey.containsKey(key)) {
                byKey.merge(key, value, LearnedCapacity::plus);
            }
        }
        return List.copyOf(byKey.values());
    }
}
