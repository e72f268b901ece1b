package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against two nodes that both send orders, and against none that does. */
public final class PlacementLeaseTest {
    private static final int NODES = 4;
    private static final long LEASE_MILLIS = 3_000;

    private VirtualTime time;
    private FakeKeyedTopic topic;
    private List<Node> nodes;
    private long generation;
    private boolean runnersCheckTokens;
    private long lastGrantMillis;
    private int lastHolderIndex;
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
        lastHolderIndex = -1;
        violations = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Node(i));
        }
        nodes.forEach(node -> node.lease.start());
        publishMembership();
        checkGrants();
        time.advance(8_000);
    }

    private void publishMembership() {
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
        time.runAfter(20, this::checkGrants);
    }

    private void checkMutualExclusion(Node node) {
        long nowMillis = time.millis();
        if (lastHolderIndex >= 0 && lastHolderIndex != node.index && nowMillis - lastGrantMillis < 300) {
            violations.add("node " + node.index + " acts " + (nowMillis - lastGrantMillis) + " ms after node "
                    + lastHolderIndex);
        }
        lastHolderIndex = node.index;
        lastGrantMillis = nowMillis;
    }

    private Node holder() {
        List<Node> holders = nodes.stream()
                .filter(node -> node.lease.currentGrant().isPresent())
                .toList();
        assertEquals(holders.size(), 1, "nodes with a grant");
        return holders.get(0);
    }

    @Test
    public void one_node_holds_the_lease_and_all_nodes_know_it() {
        Node holder = holder();
        nodes.forEach(node -> assertEquals(node.holder, Optional.of(holder.identity)));
    }

    @Test
    public void the_holder_keeps_the_lease_when_other_nodes_leave_and_join() {
        Node holder = holder();
        Node other = nodes.get((holder.index + 1) % NODES);
        other.member = false;
        publishMembership();
        time.advance(5_000);
        other.member = true;
        publishMembership();
        time.advance(5_000);
        assertEquals(holder().index, holder.index);
    }

    @Test
    public void a_holder_that_left_the_group_is_replaced_with_a_higher_token() {
        Node oldHolder = holder();
        long token = oldHolder.lease.currentGrant().orElseThrow().token();
        oldHolder.member = false;
        publishMembership();
        time.advance(4_000);
        assertTrue(holder().lease.currentGrant().orElseThrow().token() > token);
        assertEquals(violations, List.of());
    }

    /** Guards against a failed holder that leaves the runners without orders until its group membership expires. */
    @Test
    public void a_holder_that_a_majority_suspects_is_replaced_before_it_leaves_the_group() {
        Node oldHolder = holder();
        oldHolder.thread.pause();
        NodeView view = new NodeView(nodes.stream().map(node -> node.identity).toList(), generation);
        Node next = nodes.stream().filter(node -> node != oldHolder).findFirst().orElseThrow();
        HolderFailureDetector detector = new HolderFailureDetector(
                next.identity, () -> view, () -> next.holder, next.lease::takeOverFrom, next.thread, next.thread);
        detector.onSuspicion("n1", oldHolder.identity.memberName());
        detector.onSuspicion("n2", oldHolder.identity.memberName());
        time.advance(1_000);
        assertEquals(next.holder, Optional.of(oldHolder.identity), "suspicions of half of the nodes are no majority");
        detector.onSuspicion("n3", oldHolder.identity.memberName());
        detector.onSuspicion("n2", oldHolder.identity.memberName());
        detector.onSuspicion("n1", oldHolder.identity.memberName());
        time.advance(2_200);
        assertTrue(next.lease.currentGrant().isPresent());
        oldHolder.thread.resume();
        time.advance(2_000);
        assertEquals(oldHolder.lease.currentGrant(), Optional.empty());
        assertEquals(violations, List.of());
    }

    @Test
    public void a_node_suspects_the_holder_only_after_several_unanswered_reports() {
        Node reporter = nodes.get(0);
        Node holder = nodes.get(1);
        NodeView view = new NodeView(nodes.stream().map(node -> node.identity).toList(), generation);
        HolderFailureDetector detector = new HolderFailureDetector(
                reporter.identity,
                () -> view,
                () -> reporter.holder,
                suspected -> {},
                reporter.thread,
                reporter.thread);
        for (int i = 0; i < 3; i++) {
            assertEquals(detector.recordReportResult(holder.identity, false), List.of());
        }
        detector.recordReportResult(holder.identity, true);
        for (int i = 0; i < 3; i++) {
            assertEquals(detector.recordReportResult(holder.identity, false), List.of());
        }
        List<NodeIdentity> notified = detector.recordReportResult(holder.identity, false);
        assertEquals(notified.size(), 2);
        assertFalse(notified.contains(holder.identity));
    }

    @Test
    public void a_paused_holder_has_no_grant_when_it_resumes_after_its_replacement() {
        Node oldHolder = holder();
        oldHolder.thread.pause();
        time.advance(LEASE_MILLIS);
        oldHolder.member = false;
        publishMembership();
        time.advance(5_000);
        assertEquals(oldHolder.lease.currentGrant(), Optional.empty());
        oldHolder.thread.resume();
        oldHolder.member = true;
        publishMembership();
        time.advance(5_000);
        assertTrue(holder().index != oldHolder.index);
        assertEquals(violations, List.of());
    }

    @Test
    public void the_holder_keeps_an_unconfirmed_grant_while_the_store_is_down_if_runners_check_tokens() {
        runnersCheckTokens = true;
        start();
        Node oldHolder = holder();
        topic.setDown(true);
        time.advance(5_000);
        assertFalse(oldHolder.lease.currentGrant().orElseThrow().confirmed());
        topic.setDown(false);
        time.advance(LEASE_MILLIS);
        assertEquals(holder().index, oldHolder.index);
        assertTrue(oldHolder.lease.currentGrant().orElseThrow().confirmed());
    }

    @Test
    public void no_node_has_a_grant_while_the_lease_can_not_be_read() {
        topic.setDown(true);
        time.advance(LEASE_MILLIS);
        nodes.forEach(node -> assertEquals(node.lease.currentGrant(), Optional.empty()));
        topic.setDown(false);
        time.advance(LEASE_MILLIS);
        holder();
    }

    // Guards against a lease whose record a restored store has lost or replaced by an older one.
    @Test
    public void the_holder_writes_its_lease_again_after_a_restore_and_goes_on() {
        Node first = holder();
        first.member = false;
        publishMembership();
        time.advance(4_000);
        Node second = holder();
        long token = second.lease.currentGrant().orElseThrow().token();
        first.member = true;
        publishMembership();
        time.advance(2_000);
        topic.restoreTo(1);
        nodes.forEach(node -> node.thread.execute(node.lease::onNewEra));
        for (int i = 0; i < 60; i++) {
            time.advance(100);
            assertEquals(holder().index, second.index);
        }
        assertTrue(second.lease.currentGrant().orElseThrow().token() > token);
        nodes.forEach(node -> assertEquals(node.holder, Optional.of(second.identity)));
        assertEquals(topic.size(), 2, "records: that of the copy, and the one written again");
        assertEquals(violations, List.of());
    }

    @Test
    public void a_holder_that_is_lost_with_the_restore_is_replaced_with_a_token_above_all_lost_ones() {
        Node first = holder();
        first.member = false;
        publishMembership();
        time.advance(4_000);
        Node second = holder();
        long lostToken = second.lease.currentGrant().orElseThrow().token();
        second.thread.pause();
        topic.restoreTo(1);
        nodes.clear();
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Node(i + 10));
        }
        nodes.forEach(node -> node.lease.start());
        publishMembership();
        time.advance(8_000);
        assertTrue(holder().lease.currentGrant().orElseThrow().token() > lostToken);
    }

    @Test
    public void a_former_holder_that_the_copy_names_does_not_act_beside_the_present_one() {
        Node first = holder();
        first.thread.pause();
        time.advance(LEASE_MILLIS);
        first.member = false;
        publishMembership();
        time.advance(5_000);
        Node second = holder();
        topic.restoreTo(1);
        first.member = true;
        first.thread.resume();
        publishMembership();
        nodes.forEach(node -> node.thread.execute(node.lease::onNewEra));
        time.advance(8_000);
        holder();
        assertTrue(second.lease.currentGrant().isPresent()
                || first.lease.currentGrant().isPresent());
        assertEquals(violations, List.of());
    }

    @Test
    public void an_append_of_the_old_era_that_meets_its_condition_by_chance_gives_no_grant() {
        Node oldHolder = holder();
        topic.restoreTo(0);
        topic.put(
                "placement",
                new PlacementLease.LeaseRecord(nodes.get(3).identity.memberName(), 1).toString());
        topic.appendAt(
                "placement",
                new PlacementLease.LeaseRecord(nodes.get(2).identity.memberName(), 9).encode(),
                1);
        time.advance(5_000);
        assertEquals(holder().index, oldHolder.index);
        assertEquals(violations, List.of());
    }

    @Test
    public void a_take_over_whose_answer_is_lost_waits_like_any_other() {
        Node oldHolder = holder();
        Node next = nodes.get((oldHolder.index + 1) % NODES);
        topic.loseNextAppendAnswer();
        next.thread.execute(() -> next.lease.takeOverFrom(oldHolder.identity));
        time.advance(6_000);
        assertEquals(holder().index, next.index);
        assertEquals(violations, List.of());
    }
}
