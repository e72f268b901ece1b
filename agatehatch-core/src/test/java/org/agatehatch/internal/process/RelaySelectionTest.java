package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.Test;

/** Guards against load on the store, or on a single node, that grows with the number of nodes. */
public final class RelaySelectionTest {
    private static NodeView view(int nodes, int domains) {
        List<NodeIdentity> list = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            list.add(new NodeIdentity("n" + i, "d" + i % domains, "10.0.0." + i, "i", i < 2 * domains ? 150 : 36));
        }
        return new NodeView(list, 1);
    }

    @Test
    public void nodes_of_a_small_group_read_the_store() {
        NodeView view = view(8, 4);
        view.nodes().forEach(node -> assertEquals(RelaySelection.relayOf(node, view), Optional.empty()));
    }

    @Test
    public void a_relay_is_in_the_same_failure_domain_has_high_capacity_and_a_bounded_number_of_readers() {
        for (int nodes : new int[] {30, 83, 300}) {
            NodeView view = view(nodes, 4);
            Map<NodeIdentity, Integer> readersByRelay = new HashMap<>();
            int storeReaders = 0;
            for (NodeIdentity node : view.nodes()) {
                Optional<NodeIdentity> relay = RelaySelection.relayOf(node, view);
                if (relay.isEmpty()) {
                    storeReaders++;
                    continue;
                }
                assertEquals(relay.get().failureDomain(), node.failureDomain());
                assertEquals(RelaySelection.relayOf(relay.get(), view), Optional.empty(), "a relay reads the store");
                readersByRelay.merge(relay.get(), 1, Integer::sum);
            }
            assertTrue(
                    storeReaders <= 4 * (nodes / 4 / RelaySelection.READERS_PER_RELAY + 1), "readers: " + storeReaders);
            readersByRelay
                    .values()
                    .forEach(count -> assertTrue(count <= 2 * RelaySelection.READERS_PER_RELAY, "count " + count));
        }
        NodeView view = view(83, 4);
        assertEquals(
                RelaySelection.relayOf(view.nodes().get(50), view).orElseThrow().capacityPercent(), 150);
    }
}
