package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;

/** Guards against small nodes that get as many callers as large ones, and against answers with too many or too few nodes. */
public final class EntryNodeSelectorTest {
    private static List<NodeIdentity> nodes(int largeCount, int smallCount) {
        List<NodeIdentity> nodes = new ArrayList<>();
        for (int i = 0; i < largeCount + smallCount; i++) {
            nodes.add(new NodeIdentity("n" + i, "d", "10.0.0." + i, "i", i < largeCount ? 150 : 36));
        }
        return nodes;
    }

    @Test
    public void nodes_of_equal_capacity_are_all_selected() {
        List<NodeIdentity> nodes = nodes(0, 8);
        assertEquals(new HashSet<>(EntryNodeSelector.select(nodes, 64, new Random(1))), new HashSet<>(nodes));
    }

    @Test
    public void a_node_is_selected_in_proportion_to_its_capacity() {
        Map<String, Integer> counts = new HashMap<>();
        Random random = new Random(2);
        for (int i = 0; i < 2_000; i++) {
            EntryNodeSelector.select(nodes(8, 75), 64, random)
                    .forEach(node -> counts.merge(node.name(), 1, Integer::sum));
        }
        double smallNodeFrequency = counts.get("n20") / 2_000.0;
        assertEquals(counts.get("n3"), 2_000);
        assertEquals(smallNodeFrequency, 0.24, 0.04);
    }

    @Test
    public void no_more_nodes_are_selected_than_the_limit() {
        assertEquals(EntryNodeSelector.select(nodes(0, 300), 64, new Random(3)).size(), 64);
    }

    @Test
    public void at_least_eight_nodes_are_selected_even_if_one_has_far_more_capacity() {
        List<NodeIdentity> nodes = nodes(0, 20);
        nodes.add(new NodeIdentity("giant", "d", "10.0.1.1", "i", 40_000));
        assertTrue(EntryNodeSelector.select(nodes, 64, new Random(4)).size() >= 8);
    }
}
