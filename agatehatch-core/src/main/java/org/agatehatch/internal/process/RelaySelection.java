package org.agatehatch.internal.process;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Which nodes read the store for others. All nodes work it out alike from the group: in each failure domain, those with the
 * most processor time.
 */
public final class RelaySelection {
    /** Nodes of a group that is so small that each one reads the store itself. */
    static final int MAX_NODES_WITHOUT_RELAYS = 16;

    /** Readers of one relay: each asks about two topics twice a second, so that a relay answers some 100 questions. */
    static final int READERS_PER_RELAY = 24;

    private RelaySelection() {}

    /** Returns whether some nodes of a group read from others. */
    public static boolean usesRelays(NodeView view) {
        return view.nodes().size() > MAX_NODES_WITHOUT_RELAYS;
    }

    /** Returns the node from which a node reads; empty if it reads the store. */
    public static Optional<NodeIdentity> relayOf(NodeIdentity self, NodeView view) {
        if (!usesRelays(view)) {
            return Optional.empty();
        }
        List<NodeIdentity> near = view.nodes().stream()
                .filter(node -> node.failureDomain().equals(self.failureDomain()))
                .sorted(Comparator.comparingInt(NodeIdentity::capacityPercent)
                        .reversed()
                        .thenComparingLong(node -> RendezvousHash.score(self.failureDomain(), node.name())))
                .toList();
        int relays = (near.size() + READERS_PER_RELAY - 1) / READERS_PER_RELAY;
        List<NodeIdentity> chosen = near.subList(0, relays);
        if (chosen.contains(self)) {
            return Optional.empty();
        }
        return Optional.of(chosen.get((int) (RendezvousHash.hash(self.name()) % relays)));
    }
}
