package org.agatehatch.internal.process.digest;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Tracks which nodes are live, from heartbeats and the VM list. Correctness does not depend on it; it only
 * determines which nodes are asked first. Owned by the control thread.
 */
public final class Membership {
    private static final long SUSPECT_EXTRA_MILLIS = 5_000;
    private static final int SUSPECT_HEARTBEATS = 3;
    /**
     * Minimum silence after which a node is removed. The limit is {@code 2 * SUSPECT_HEARTBEATS} heartbeats if that is
     * longer.
     */
    private static final long MIN_REMOVAL_MILLIS = 30_000;

    private final MonotonicClock clock;
    private final Map<Long, NodeRecord> nodes = new HashMap<>();
    private Set<String> leavingOnVmList = Set.of();

    public Membership(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Processes an entry of the digest; kinds that do not describe nodes are ignored. */
    public void onEntry(DigestEntry entry) {
        if (entry.kind() == DigestKind.NODE) {
            NodeRecord node = nodes.computeIfAbsent(entry.key(), key -> new NodeRecord());
            node.info = Optional.of(DigestPayloads.decodeNode(entry.payload()));
        }
        if (entry.kind() == DigestKind.HEARTBEAT) {
            NodeRecord node = nodes.computeIfAbsent(entry.key(), key -> new NodeRecord());
            node.heartbeat = Optional.of(DigestPayloads.decodeHeartbeat(entry.payload()));
            node.lastMillis = clock.millis();
        }
    }

    /** Sets the names of the nodes that the VM list marks as leaving. */
    public void onVmList(Set<String> leavingNodes) {
        leavingOnVmList = Set.copyOf(new HashSet<>(leavingNodes));
    }

    /** Returns the live nodes, this node included once it has published its own entries. */
    public List<Member> live(long heartbeatIntervalMillis) {
        long nowMillis = clock.millis();
        long limitMillis = SUSPECT_HEARTBEATS * heartbeatIntervalMillis + SUSPECT_EXTRA_MILLIS;
        List<Member> live = new ArrayList<>();
        for (NodeRecord node : nodes.values()) {
            if (node.info.isEmpty() || node.heartbeat.isEmpty() || nowMillis - node.lastMillis > limitMillis) {
                continue;
            }
            NodeInfo info = node.info.get();
            boolean leaving =
                    node.heartbeat.get().state() == NodeState.LEAVING || leavingOnVmList.contains(info.name());
            live.add(new Member(info, node.heartbeat.get(), nowMillis - node.lastMillis, leaving));
        }
        return live;
    }

    /** Removes nodes that have sent no heartbeat for a long time. */
    public void expire(long heartbeatIntervalMillis) {
        long nowMillis = clock.millis();
        long limitMillis = Math.max(MIN_REMOVAL_MILLIS, 2 * SUSPECT_HEARTBEATS * heartbeatIntervalMillis);
        nodes.values().removeIf(node -> nowMillis - node.lastMillis > limitMillis);
    }

    private static final class NodeRecord {
        private Optional<NodeInfo> info = Optional.empty();
        private Optional<Heartbeat> heartbeat = Optional.empty();
        private long lastMillis;
    }

    /**
     * A live node.
     *
     * @param silentMillis time since its last heartbeat arrived
     * @param leaving whether its heartbeat or the VM list says that it is leaving
     */
    public record Member(NodeInfo info, Heartbeat heartbeat, long silentMillis, boolean leaving) {}
}
