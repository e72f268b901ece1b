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
 * Which nodes are live, from heartbeats and the VM list. No safety rests on it; it only says whom to ask first. Owned
 * by the control thread.
 */
public final class Membership {
    private static final long SUSPECT_EXTRA_MILLIS = 5_000;
    private static final int SUSPECT_HEARTBEATS = 3;
    /** Silence after which a node is dropped, in heartbeats beyond the suspicion and at least this long. */
    private static final long MIN_DROP_MILLIS = 30_000;

    private final MonotonicClock clock;
    private final Map<Long, NodeRecord> nodes = new HashMap<>();
    private Set<String> leavingByList = Set.of();

    public Membership(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Takes an entry of the digest; kinds that are not about nodes are ignored. */
    public void onEntry(DigestEntry entry) {
        if (entry.kind() == DigestKind.NODE) {
            NodeRecord seen = nodes.computeIfAbsent(entry.key(), key -> new NodeRecord());
            seen.info = Optional.of(DigestPayloads.decodeNode(entry.payload()));
        }
        if (entry.kind() == DigestKind.HEARTBEAT) {
            NodeRecord seen = nodes.computeIfAbsent(entry.key(), key -> new NodeRecord());
            seen.heartbeat = Optional.of(DigestPayloads.decodeHeartbeat(entry.payload()));
            seen.lastMillis = clock.millis();
        }
    }

    /** Takes the names of nodes that the VM list marks as leaving. */
    public void onVmList(Set<String> leavingNodes) {
        leavingByList = Set.copyOf(new HashSet<>(leavingNodes));
    }

    /** Returns the live nodes, this node included once it has published its own entries. */
    public List<Member> live(long heartbeatIntervalMillis) {
        long nowMillis = clock.millis();
        long limitMillis = SUSPECT_HEARTBEATS * heartbeatIntervalMillis + SUSPECT_EXTRA_MILLIS;
        List<Member> live = new ArrayList<>();
        for (NodeRecord seen : nodes.values()) {
            if (seen.info.isEmpty() || seen.heartbeat.isEmpty() || nowMillis - seen.lastMillis > limitMillis) {
                continue;
            }
            NodeInfo info = seen.info.get();
            boolean leaving = seen.heartbeat.get().state() == NodeState.LEAVING || leavingByList.contains(info.name());
            live.add(new Member(info, seen.heartbeat.get(), nowMillis - seen.lastMillis, leaving));
        }
        return live;
    }

    /** Drops nodes that were silent for long. */
    public void expire(long heartbeatIntervalMillis) {
        long nowMillis = clock.millis();
        long limitMillis = Math.max(MIN_DROP_MILLIS, 2 * SUSPECT_HEARTBEATS * heartbeatIntervalMillis);
        nodes.values().removeIf(seen -> nowMillis - seen.lastMillis > limitMillis);
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
     * @param leaving whether it said that it stops, or the VM list does
     */
    public record Member(NodeInfo info, Heartbeat heartbeat, long silentMillis, boolean leaving) {}
}
