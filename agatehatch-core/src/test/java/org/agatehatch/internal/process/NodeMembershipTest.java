package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.fleet.NodeGroup;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against callers that are directed to nodes that have left, and against needless calls to the group. */
public final class NodeMembershipTest {
    private static final long TIME_TO_LIVE_MILLIS = 3_000;
    private static final int PARTITIONS_PER_MEMBER = 3;

    private VirtualTime time;
    private FakeGroup group;
    private NodeView view;

    private final class FakeGroup implements NodeGroup {
        private final Map<String, Long> expiryMillisByMember = new LinkedHashMap<>();
        private long generation;
        private long era;
        private int ownersCalls;
        private int leaveCalls;
        private boolean down;

        private void expire() {
            if (expiryMillisByMember.values().removeIf(until -> until < time.millis())) {
                generation++;
            }
        }

        @Override
        public CompletionStage<Assignment> renew(String member, long known) {
            return answer(() -> {
                expire();
                if (expiryMillisByMember.put(member, time.millis() + TIME_TO_LIVE_MILLIS) == null) {
                    generation++;
                }
                return new Assignment(generation, Set.of(), era);
            });
        }

        @Override
        public CompletionStage<List<Ownership>> owners() {
            ownersCalls++;
            return answer(() -> {
                expire();
                List<Ownership> owners = new ArrayList<>();
                for (int i = 0; i < PARTITIONS_PER_MEMBER; i++) {
                    expiryMillisByMember
                            .keySet()
                            .forEach(member -> owners.add(new Ownership("nodes/" + owners.size(), member)));
                }
                return owners;
            });
        }

        @Override
        public CompletionStage<Void> leave(String member) {
            leaveCalls++;
            return answer(() -> {
                if (expiryMillisByMember.remove(member) != null) {
                    generation++;
                }
                return null;
            });
        }

        private <T> CompletionStage<T> answer(java.util.function.Supplier<T> result) {
            CompletableFuture<T> answer = new CompletableFuture<>();
            time.runAfter(4, () -> {
                if (down) {
                    answer.completeExceptionally(new IllegalStateException("the store is down"));
                } else {
                    answer.complete(result.get());
                }
            });
            return answer;
        }
    }

    /** The members of the group at one time. */
    private record Copy(Map<String, Long> expiryMillisByMember, long generation) {}

    private Copy copy() {
        return new Copy(new LinkedHashMap<>(group.expiryMillisByMember), group.generation);
    }

    private void restore(Copy copy) {
        group.expiryMillisByMember.clear();
        group.expiryMillisByMember.putAll(copy.expiryMillisByMember());
        group.generation = copy.generation();
        group.era++;
    }

    @BeforeMethod
    public void create() {
        time = new VirtualTime();
        group = new FakeGroup();
        view = NodeView.EMPTY;
    }

    private NodeMembership join(String name, String incarnation) {
        NodeMembership membership = new NodeMembership(
                new NodeIdentity(name, "d1", "10.0.0.1", incarnation, 75),
                group,
                new MembershipSettings(900, TIME_TO_LIVE_MILLIS, 400),
                time.node(1),
                time,
                new Random(1),
                published -> {
                    if (name.equals("a")) {
                        view = published;
                    }
                });
        membership.start();
        return membership;
    }

    private List<String> names() {
        return view.nodes().stream().map(NodeIdentity::name).sorted().toList();
    }

    @Test
    public void joins_and_leaves_are_seen_within_one_renewal() {
        join("a", "1");
        NodeMembership other = join("b", "1");
        time.advance(1_500);
        assertEquals(names(), List.of("a", "b"));
        other.leave();
        time.advance(1_000);
        assertEquals(names(), List.of("a"));
    }

    @Test
    public void owners_are_not_read_while_the_group_does_not_change() {
        join("a", "1");
        time.advance(2_000);
        int callsBefore = group.ownersCalls;
        time.advance(30_000);
        assertEquals(group.ownersCalls, callsBefore);
    }

    @Test
    public void a_membership_is_invalid_once_other_nodes_may_have_dropped_it() {
        NodeMembership membership = join("a", "1");
        assertFalse(membership.isValid());
        time.advance(1_000);
        assertTrue(membership.isValid());
        group.down = true;
        time.advance(TIME_TO_LIVE_MILLIS);
        assertFalse(membership.isValid());
    }

    @Test
    public void the_membership_of_a_previous_incarnation_is_removed() {
        group.renew(new NodeIdentity("a", "d1", "10.0.0.1", "0", 75).memberName(), 0);
        join("a", "1");
        time.advance(1_500);
        assertEquals(group.expiryMillisByMember.size(), 1);
        assertEquals(group.leaveCalls, 1, "number of leave calls for the previous incarnation");
        assertEquals(names(), List.of("a"));
    }

    @Test
    public void a_node_that_cannot_reach_the_group_still_lists_itself() {
        group.down = true;
        join("a", "1");
        time.advance(5_000);
        assertEquals(names(), List.of("a"));
    }

    // Guards against a view that is kept because a restored group has the same generation by chance.
    @Test
    public void members_are_read_again_after_a_restore_although_the_generation_is_the_same() {
        join("a", "1");
        time.advance(1_500);
        Copy copy = copy();
        NodeMembership lost = join("b", "1");
        time.advance(1_500);
        lost.leave();
        restore(copy);
        join("c", "1");
        time.advance(TIME_TO_LIVE_MILLIS + 2_500);
        assertEquals(names(), List.of("a", "c"));
    }

    @Test
    public void members_that_a_restored_group_lacks_stay_listed_until_they_must_have_renewed() {
        join("a", "1");
        time.advance(1_500);
        Copy copy = copy();
        join("b", "1");
        time.advance(1_500);
        restore(copy);
        for (int i = 0; i < 60; i++) {
            time.advance(100);
            assertEquals(names(), List.of("a", "b"));
        }
    }

    @Test
    public void a_member_that_left_before_a_restore_is_not_listed_again() {
        join("a", "1");
        NodeMembership left = join("b", "1");
        time.advance(1_500);
        Copy copy = copy();
        left.leave();
        time.advance(1_000);
        assertEquals(names(), List.of("a"));
        restore(copy);
        for (int i = 0; i < 60; i++) {
            time.advance(100);
            assertEquals(names(), List.of("a"));
        }
    }

    @Test
    public void members_stay_listed_through_two_restores_in_a_row() {
        join("a", "1");
        time.advance(1_500);
        Copy copy = copy();
        join("b", "1");
        time.advance(1_500);
        restore(copy);
        time.advance(TIME_TO_LIVE_MILLIS - 100);
        restore(copy);
        for (int i = 0; i < 60; i++) {
            time.advance(100);
            assertEquals(names(), List.of("a", "b"));
        }
    }
}
