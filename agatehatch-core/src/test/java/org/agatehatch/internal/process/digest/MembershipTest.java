package org.agatehatch.internal.process.digest;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.testng.annotations.Test;

/** Guards against routing callers or claims to nodes that are gone or leaving. */
public final class MembershipTest {
    private static final long INTERVAL_MILLIS = 1_000;
    private long nowMillis;
    private final Membership membership = new Membership(() -> nowMillis * 1_000_000);

    @Test
    public void a_node_without_heartbeats_is_not_live_until_its_next_heartbeat() {
        join("a", NodeState.READY);
        nowMillis += 8_001;
        assertTrue(membership.live(INTERVAL_MILLIS).isEmpty());

        join("a", NodeState.READY);
        assertEquals(membership.live(INTERVAL_MILLIS).size(), 1);
    }

    @Test
    public void a_node_that_reports_leaving_is_leaving_at_once() {
        join("b", NodeState.LEAVING);
        assertTrue(membership.live(INTERVAL_MILLIS).get(0).leaving());
    }

    @Test
    public void a_node_that_the_vm_list_marks_as_leaving_is_leaving_although_it_reports_ready() {
        join("c", NodeState.READY);
        membership.onVmList(Set.of("c"));
        assertTrue(membership.live(INTERVAL_MILLIS).get(0).leaving());
    }

    private void join(String name, NodeState state) {
        NodeInfo info = new NodeInfo(name, "i", "c", "p", "d", "r");
        membership.onEntry(new DigestEntry(DigestKind.NODE, name.hashCode(), 1, DigestPayloads.encode(info)));
        Heartbeat heartbeat = new Heartbeat(state, 1, 1);
        membership.onEntry(new DigestEntry(DigestKind.HEARTBEAT, name.hashCode(), 1, DigestPayloads.encode(heartbeat)));
    }
}
