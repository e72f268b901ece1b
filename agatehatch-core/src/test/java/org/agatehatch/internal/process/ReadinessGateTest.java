package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.agatehatch.internal.process.ReadinessGate.PeerState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a node that serves before it has caught up with the log or with its peers. */
public final class ReadinessGateTest {
    private VirtualTime time;
    private ReadinessGate gate;

    @BeforeMethod
    public void start_a_node() {
        time = new VirtualTime();
        gate = new ReadinessGate(time, 10_000);
    }

    @Test
    public void the_gate_opens_when_the_log_is_applied_through_its_end_at_start() {
        assertTrue(gate.reason().contains("first answer of the log"));
        gate.onApplied(3);
        gate.onLogRead(11);
        gate.onApplied(9);
        assertFalse(gate.isOpen());
        assertTrue(gate.reason().contains("applied through 9, the log's end was 11"), gate.reason());

        assertTrue(gate.logEndReadAgoMillis().isEmpty());

        gate.onLogRead(20);
        gate.onApplied(10);

        assertTrue(gate.isOpen());
        gate.onApplied(19);
        gate.onLogRead(20);
        time.advance(300);
        assertEquals(gate.logEndReadAgoMillis().orElseThrow(), 300);
    }

    @Test
    public void without_the_log_two_peers_in_one_failure_domain_are_not_enough() {
        gate.onLogReadFailed("no answer");
        gate.onPeerState(new PeerState("n2", "medeu", 5, 900));
        gate.onPeerState(new PeerState("n3", "medeu", 7, 200));
        gate.onApplied(7);
        time.advance(20_000);
        assertFalse(gate.isOpen());
        assertTrue(gate.reason().contains("have 2 in 1, the freshest read the log's end 200 ms ago"), gate.reason());

        gate.onPeerState(new PeerState("n4", "auezov", 6, 100));
        assertTrue(gate.isOpen());
    }

    @Test
    public void the_state_of_the_most_advanced_peer_must_be_applied_first() {
        gate.onLogReadFailed("no answer");
        gate.onApplied(5);
        gate.onPeerState(new PeerState("n2", "medeu", 5, 900));
        gate.onPeerState(new PeerState("n3", "auezov", 7, 200));
        assertFalse(gate.isOpen());

        gate.onApplied(7);
        assertTrue(gate.isOpen());
    }

    @Test
    public void one_peer_is_enough_only_after_the_wait_and_if_the_vm_list_shows_no_other() {
        gate.onLogReadFailed("no answer");
        gate.onPeerState(new PeerState("n2", "medeu", -1, 900));
        time.advance(9_999);
        gate.onVmList(List.of("n2"));
        assertFalse(gate.isOpen());

        gate.onVmList(List.of("n2", "n3"));
        time.advance(1);
        assertFalse(gate.isOpen());

        gate.onVmList(List.of("n2"));
        assertTrue(gate.isOpen());
    }

    @Test
    public void peers_do_not_open_the_gate_while_the_log_can_be_read() {
        gate.onLogRead(100);
        gate.onPeerState(new PeerState("n2", "medeu", 5, 900));
        gate.onPeerState(new PeerState("n3", "auezov", 5, 200));
        gate.onApplied(5);
        assertFalse(gate.isOpen());
    }
}
