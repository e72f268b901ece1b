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

/** Guards against callers who are sent to nodes that are gone, and against needless calls. */
public final class NodeMembershipTest {
    private static final long TIME_TO_LIVE_MILLIS = 3_000;
    private static final int PARTITIONS_EACH = 3;

    private VirtualTime time;
    private FakeGroup group;
    private NodeView view;

    private final class FakeGroup implements NodeGroup {
        private final Map<String, Long> untilMillis = new LinkedHashMap<>();
        private long generation;
        private int ownerReads;
        private int leaves;
        private boolean down;

        private void expire() {
            if (untilMillis.values().removeIf(until -> until < time.millis())) {
                generation++;
            }
        }

        @Override
        public CompletionStage<Assignment> renew(String member, long known) {
            return answer(() -> {
                expire();
                if (untilMillis.put(member, time.millis() + TIME_TO_LIVE_MILLIS) == null) {
                    generation++;
                }
                return new Assignment(generation, Set.of());
            });
        }

        @Override
        public CompletionStage<List<Ownership>> owners() {
            ownerReads++;
            return answer(() -> {
                expire();
                List<Ownership> owners = new ArrayList<>();
                for (int i = 0; i < PARTITIONS_EACH; i++) {
                    untilMillis.keySet().forEach(member -> owners.add(new Ownership("nodes/" + owners.size(), member)));
                }
                return owners;
            });
        }

        @Override
        public CompletionStage<Void> leave(String member) {
            leaves++;
            return answer(() -> {
                if (untilMillis.remove(member) != null) {
                    generation++;
                }
                return null;
            });
        }

        private <T> CompletionStage<T> answer(java.util.function.Supplier<T> result) {
            CompletableFuture<T> answer = new CompletableFuture<>();
            time.at(4, () -> {
                if (down) {
                    answer.completeExceptionally(new IllegalStateException("the store is down"));
                } else {
                    answer.complete(result.get());
                }
            });
            return answer;
        }
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
    public void nodes_that_join_and_leave_are_seen_within_a_renewal() {
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
        int before = group.ownerReads;
        time.advance(30_000);
        assertEquals(group.ownerReads, before);
    }

    @Test
    public void a_membership_is_not_valid_once_other_nodes_may_count_it_as_gone() {
        NodeMembership membership = join("a", "1");
        assertFalse(membership.valid());
        time.advance(1_000);
        assertTrue(membership.valid());
        group.down = true;
        time.advance(TIME_TO_LIVE_MILLIS);
        assertFalse(membership.valid());
    }

    @Test
    public void the_membership_of_an_earlier_process_is_ended() {
        group.renew(new NodeIdentity("a", "d1", "10.0.0.1", "0", 75).memberName(), 0);
        join("a", "1");
        time.advance(1_500);
        assertEquals(group.untilMillis.size(), 1);
        assertEquals(group.leaves, 1, "calls for one earlier process");
        assertEquals(names(), List.of("a"));
    }

    @Test
    public void a_node_that_can_not_reach_the_group_still_names_itself() {
        group.down = true;
        join("a", "1");
        time.advance(5_000);
        assertEquals(names(), List.of("a"));
    }
}
