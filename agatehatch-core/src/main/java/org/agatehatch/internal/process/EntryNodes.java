package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Picks the nodes that a caller is told to connect to. A caller spreads its connections evenly over them, so a node with less
 * processor time than the strongest one is named to fewer callers.
 */
public final class EntryNodes {
    /** Nodes that are always named, so that a caller finds one that answers while others have just failed. */
    private static final int FEWEST = 8;

    private EntryNodes() {}

    /**
     * Returns nodes in no order.
     *
     * @param most number of nodes that an answer may name
     */
    public static List<NodeIdentity> pick(List<NodeIdentity> nodes, int most, Random random) {
        int strongest =
                nodes.stream().mapToInt(NodeIdentity::capacityPercent).max().orElse(0);
        List<NodeIdentity> shuffled = new ArrayList<>(nodes);
        Collections.shuffle(shuffled, random);
        List<NodeIdentity> picked = new ArrayList<>();
        List<NodeIdentity> others = new ArrayList<>();
        for (NodeIdentity node : shuffled) {
            boolean named = random.nextInt(Math.max(1, strongest)) < node.capacityPercent();
            (named ? picked : others).add(node);
        }
        // Strong nodes come first here, so that a short list does not lose them.
        picked.sort(Comparator.comparingInt(NodeIdentity::capacityPercent).reversed());
        for (int i = 0; i < others.size() && picked.size() < FEWEST; i++) {
            picked.add(others.get(i));
        }
        List<NodeIdentity> kept = new ArrayList<>(picked.subList(0, Math.min(most, picked.size())));
        Collections.shuffle(kept, random);
        return kept;
    }
}
