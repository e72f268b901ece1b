package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Selects the nodes that a caller is told to connect to. A caller spreads its connections evenly over them, so each node is
 * named to a share of the callers in proportion to its processor capacity.
 */
public final class EntryNodeSelector {
    /** Minimum number of nodes in an answer, so that a caller still finds a live one when others have just failed. */
    private static final int MIN_NODES = 8;

    private EntryNodeSelector() {}

    /**
     * Returns nodes in random order.
     *
     * @param maxNodes maximum number of nodes in the answer
     */
    public static List<NodeIdentity> select(List<NodeIdentity> nodes, int maxNodes, Random random) {
        int maxCapacityPercent =
                nodes.stream().mapToInt(NodeIdentity::capacityPercent).max().orElse(0);
        List<NodeIdentity> shuffled = new ArrayList<>(nodes);
        Collections.shuffle(shuffled, random);
        List<NodeIdentity> selected = new ArrayList<>();
        List<NodeIdentity> rest = new ArrayList<>();
        for (NodeIdentity node : shuffled) {
            boolean isSelected = random.nextInt(Math.max(1, maxCapacityPercent)) < node.capacityPercent();
            (isSelected ? selected : rest).add(node);
        }
        // The nodes with the most capacity come first here, so that the limit to maxNodes does not cut them.
        selected.sort(Comparator.comparingInt(NodeIdentity::capacityPercent).reversed());
        for (int i = 0; i < rest.size() && selected.size() < MIN_NODES; i++) {
            selected.add(rest.get(i));
        }
        List<NodeIdentity> result = new ArrayList<>(selected.subList(0, Math.min(maxNodes, selected.size())));
        Collections.shuffle(result, random);
        return result;
    }
}
