package org.agatehatch.internal.process.digest;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.agatehatch.internal.process.RendezvousHash;

/**
 * Selects the nodes to which a node opens links. The successor on the hash ring keeps the graph connected; the other
 * neighbours are pseudo-random, which keeps the number of hops logarithmic with a constant number of links.
 */
public final class NeighbourSelection {
    /**
     * Number of links that each node opens; about as many are opened to it. Each entry is sent over every link, so
     * the bytes that a node sends grow with this number; with 4 links they exceeded the budget of 8 KB/s.
     */
    public static final int OUTGOING_LINKS = 2;

    private NeighbourSelection() {}

    /** Returns the neighbours of a node among the live nodes. */
    public static List<NodeInfo> choose(NodeInfo self, Collection<NodeInfo> live) {
        List<NodeInfo> ranked = live.stream()
                .filter(node -> !node.name().equals(self.name()))
                .sorted(Comparator.comparingLong(node -> RendezvousHash.score(self.name(), node.name())))
                .toList();
        List<NodeInfo> chosen = new ArrayList<>();
        successor(self, ranked).ifPresent(chosen::add);
        addFirst(chosen, ranked, node -> !node.region().equals(self.region()));
        addFirst(chosen, ranked, node -> !node.failureDomain().equals(self.failureDomain()));
        for (NodeInfo node : ranked) {
            if (chosen.size() >= OUTGOING_LINKS) {
                break;
            }
            addFirst(chosen, List.of(node), any -> true);
        }
        return List.copyOf(chosen.subList(0, Math.min(OUTGOING_LINKS, chosen.size())));
    }

    private static java.util.Optional<NodeInfo> successor(NodeInfo self, List<NodeInfo> others) {
        long position = RendezvousHash.hash(self.name());
        Comparator<NodeInfo> byDistance =
                Comparator.comparing(node -> RendezvousHash.hash(node.name()) - position, Long::compareUnsigned);
        return others.stream().min(byDistance);
    }

    private static void addFirst(List<NodeInfo> chosen, List<NodeInfo> ranked, Predicate<NodeInfo> condition) {
        if (chosen.stream().anyMatch(condition) && ranked.size() > 1) {
            return;
        }
        ranked.stream()
                .filter(condition)
                .filter(node -> !chosen.contains(node))
                .findFirst()
                .ifPresent(chosen::add);
    }
}
