package org.agatehatch.daemon.front;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.agatehatch.internal.process.digest.Membership.Member;
import org.agatehatch.internal.process.digest.NodeInfo;
import org.agatehatch.internal.process.digest.NodeState;

/** Renders the response of {@code GET /v1/entry-nodes}: addresses for callers, in order of preference. */
public final class EntryNodes {
    /** Gives a caller alternatives when several nodes fail, and bounds the response size in a large deployment. */
    private static final int MAX_ADDRESSES = 16;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Supplier<List<Member>> liveMembers;
    private final long keepMillis;

    /** @param keepMillis time for which callers may cache a response */
    public EntryNodes(Supplier<List<Member>> liveMembers, long keepMillis) {
        this.liveMembers = liveMembers;
        this.keepMillis = keepMillis;
    }

    /**
     * Returns the ready nodes: first those of the caller's failure domain, then those of its region, then all others,
     * in random order within each group. Leaving nodes are omitted.
     */
    public String json(Optional<String> failureDomain) {
        List<NodeInfo> ready = new ArrayList<>(liveMembers.get().stream()
                .filter(member -> !member.leaving() && member.heartbeat().state() == NodeState.READY)
                .map(Member::info)
                .toList());
        // A fixed order would send all callers to the same node.
        Collections.shuffle(ready, ThreadLocalRandom.current());
        failureDomain.ifPresent(domain -> ready.sort(byDistance(ready, domain)));
        ObjectNode root = JSON.createObjectNode().put("keep_ms", keepMillis);
        ArrayNode nodes = root.putArray("entry_nodes");
        ready.stream()
                .limit(MAX_ADDRESSES)
                .forEach(node -> nodes.addObject()
                        .put("address", node.callerAddress())
                        .put("name", node.name())
                        .put("failure_domain", node.failureDomain())
                        .put("region", node.region()));
        return root.toString();
    }

    private static Comparator<NodeInfo> byDistance(List<NodeInfo> nodes, String failureDomain) {
        Optional<String> region = nodes.stream()
                .filter(node -> node.failureDomain().equals(failureDomain))
                .map(NodeInfo::region)
                .findFirst();
        return Comparator.comparingInt(node -> {
            if (node.failureDomain().equals(failureDomain)) {
                return 0;
            }
            return region.isPresent() && node.region().equals(region.get()) ? 1 : 2;
        });
    }
}
