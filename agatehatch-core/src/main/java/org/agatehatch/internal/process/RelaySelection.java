package org.agatehatch.internal.process;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Selects the relays: the nodes that read the store and pass its changes on to other nodes. Every node computes the
 * same selection from the group: in each failure domain, the nodes with the most processor time.
 */
public final class RelaySelection {
    /** Size of the largest group in which every node reads the store itself. */
    static final int MAX_NODES_WITHOUT_RELAYS = 16;

    /**
     * Nodes per relay. Each reader polls two topics twice a second, so a relay serves about 100 requests per second.
     */
    static final int READERS_PER_RELAY = 24;

    private RelaySelection() {}

    /** Returns whether some nodes of a group read from relays. */
    public static boolean usesRelays(NodeView view) {
        return view.nodes().size() > MAX_NODES_WITHOUT_RELAYS;
    }

    /** Returns the relay from which a node reads; empty if the node reads the store. */
    public static Optional<NodeIdentity> relayOf(NodeIdentity self, NodeView view) {
        if (!usesRelays(view)) {
            return Optional.empty();
        }
        List<NodeIdentity> sameDomain = view.nodes().stream()
                .filter(node -> node.failureDomain().equals(self.failureDomain()))
                .sorted(Comparator.comparingInt(NodeIdentity::capacityPercent)
                        .reversed()
                        .thenComparingLong(node -> RendezvousHash.score(self.failureDomain(), node.name())))
                .toList();
        int relayCount = (sameDomain.size() + READERS_PER_RELAY - 1) / READERS_PER_RELAY;
        List<NodeIdentity> selected = sameDomain.subList(0, relayCount);
        if (selected.contains(self)) {
            return Optional.empty();
        }
        return Optional.of(selected.get((int) (RendezvousHash.hash(self.name()) % relayCount)));
    }
}
