package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against two nodes that give orders by turns, and against none that does. */
public final class PlacementLeaseTest {
    private static final int NODES = 4;
    private static final long LEASE_MILLIS = 3_000;

    private VirtualTime time;
    private FakeKeyedTopic topic;
    private List<Node> nodes;
    private long generation;
    private boolean runnersCheckTokens;
    private long lastActMillis;
    private int lastActor;
    private List<String> violations;

    private final class Node {
        private final int index;
        private final NodeIdentity identity;
        private final VirtualTime.Node thread = time.node(1);
        private final PlacementLease lease;
        private boolean member = true;
        private Optional<NodeIdentity> holder = Optional.empty();

        private Node(int index) {
            this.index = index;
            this.identity = new NodeIdentity("n" + index, "d", "10.0.0." + index, "i", 75);
            this.lease = new PlacementLease(
                    identity, topic, () -> member, runnersCheckTokens, thread, thread, found -> holder = found);
        }
    }

    @BeforeMethod
    public void startWithoutTokenChecks() {
        runnersCheckTokens = false;
        start();
    }

    private void start() {
        time = new VirtualTime();
        topic = new FakeKeyedTopic(time, 4);
        nodes = new ArrayList<>();
        generation = 0;
        lastActor = -1;
        violations = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Node(i));
        }
        nodes.forEach(node -> node.lease.start());
        groupChanged();
        checkGrants();
        time.advance(8_000);
    }

    private void groupChanged() {
        generation++;
        List<NodeIdentity> members = nodes.stream()
                .filter(node -> node.member)
                .map(node -> node.identity)
                .toList();
        for (Node node : nodes) {
            node.thread.execute(() -> node.lease.onMembershipChange(new NodeView(members, generation)));
        }
    }

    private void checkGrants() {
        for (Node node : nodes) {
            if (!node.thread.isPaused() && node.lease.currentGrant().isPresent()) {
                checkMutualExclusion(node);
            }
        }
        time.at(20, this::checkGrants);
    }

    private void checkMutualExclusion(Node node) {
        long nowMillis = time.millis();
        if (lastActor >= 0 && lastActor != node.index && nowMillis - lastActMillis < 300) {
            violations.add("node " + node.index + " acts " + (nowMillis - lastActMillis) + " ms after " + lastActor);
        }
        lastActor = node.index;
        lastActMillis = nowMillis;
    }

    private Node holder() {
        List<Node> holding =
                nodes.stream().filter(node -> node.lease.currentGrant().isPresent()).toList();
        assertEquals(holding.size(), 1, "nodes that may act");
        return holding.get(0);
    }

    @Test
    public void one_node_holds_the_claim_and_all_know_it() {
        Node holder = holder();
        nodes.forEach(node -> assertEquals(node.holder, Optional.of(holder.identity)));
    }

    @Test
    public void the_claim_stays_when_other_nodes_come_and_go() {
        Node holder = holder();
        Node other = nodes.get((holder.index + 1) % NODES);
        other.member = false;
        groupChanged();
        time.advance(5_000);
        other.member = true;
        groupChanged();
        time.advance(5_000);
        assertEquals(holder().index, holder.index);
    }

    @Test
    public void a_holder_that_left_the_group_is_replaced_with_a_higher_token() {
        Node before = holder();
        long token = before.lease.currentGrant().orElseThrow().token();
        before.member = false;
        groupChanged();
        time.advance(4_000);
        assertTrue(holder().lease.currentGrant().orElseThrow().token() > token);
        assertEquals(violations, List.of());
    }

    /** A holder that was lost while demand moved left the runners without orders until its membership had ended. */
    @Test
    public void a_holder_that_most_nodes_do_not_reach_is_replaced_before_it_leaves_the_group() {
        Node before = holder();
        before.thread.pause();
        NodeView view = new NodeView(nodes.stream().map(node -> node.identity).toList(), generation);
        Node next = nodes.stream().filter(node -> node != before).findFirst().orElseThrow();
        HolderFailureDetector watch = new HolderFailureDetector(
                next.identity, () -> view, () -> next.holder, next.lease::takeOverFrom, next.thread, next.thread);
        watch.onSuspicion("n1", before.identity.memberName());
        watch.onSuspicion("n2", before.identity.memberName());
        time.advance(1_000);
        assertEquals(next.holder, Optional.of(before.identity), "half of the nodes are not enough");
        watch.onSuspicion("n3", before.identity.memberName());
        watch.onSuspicion("n2", before.identity.memberName());
        watch.onSuspicion("n1", before.identity.memberName());
        time.advance(2_200);
        assertTrue(next.lease.currentGrant().isPresent());
        before.thread.resume();
        time.advance(2_000);
        assertEquals(before.lease.currentGrant(), Optional.empty());
        assertEquals(violations, List.of());
    }

    @Test
    public void nodes_tell_of_a_holder_only_after_several_unanswered_reports() {
        Node reporter = nodes.get(0);
        Node reached = nodes.get(1);
        NodeView view = new NodeView(nodes.stream().map(node -> node.identity).toList(), generation);
        HolderFailureDetector watch = new HolderFailureDetector(
                reporter.identity, () -> view, () -> reporter.holder, silent -> {}, reporter.thread, reporter.thread);
        for (int i = 0; i < 3; i++) {
            assertEquals(watch.recordReportResult(reached.identity, false), List.of());
        }
        watch.recordReportResult(reached.identity, true);
        for (int i = 0; i < 3; i++) {
            assertEquals(watch.recordReportResult(reached.identity, false), List.of());
        }
        List<NodeIdentity> told = watch.recordReportResult(reached.identity, false);
        assertEquals(told.size(), 2);
        assertFalse(told.contains(reached.identity));
    }

    @Test
    public void a_frozen_holder_does_not_act_when_it_wakes_after_its_replacement() {
        Node before = holder();
        before.thread.pause();
        time.advance(LEASE_MILLIS);
        before.member = false;
        groupChanged();
        time.advance(5_000);
        assertEquals(before.lease.currentGrant(), Optional.empty());
        before.thread.resume();
        before.member = true;
        groupChanged();
        time.advance(5_000);
        assertTrue(holder().index != before.index);
        assertEquals(violations, List.of());
    }

    @Test
    public void where_runners_check_tokens_the_holder_goes_on_while_the_store_is_down() {
        runnersCheckTokens = true;
        start();
        Node before = holder();
        topic.down(true);
        time.advance(5_000);
        assertFalse(before.lease.currentGrant().orElseThrow().confirmed());
        topic.down(false);
        time.advance(LEASE_MILLIS);
        assertEquals(holder().index, before.index);
        assertTrue(before.lease.currentGrant().orElseThrow().confirmed());
    }

    @Test
    public void nobody_acts_while_the_claim_can_not_be_read() {
        topic.down(true);
        time.advance(LEASE_MILLIS);
        nodes.forEach(node -> assertEquals(node.lease.currentGrant(), Optional.empty()));
        topic.down(false);
        time.advance(LEASE_MILLIS);
        holder();
    }
}
