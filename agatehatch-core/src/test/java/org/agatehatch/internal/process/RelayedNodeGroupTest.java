package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.fleet.NodeGroup;
import org.agatehatch.api.peer.PeerMessage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a call to the store for each node and each change of a large group, and against views older than a node knows. */
public final class RelayedNodeGroupTest {
    private static final int READERS = 80;

    private FakeStore store;
    private RelayedNodeGroup relay;
    private boolean relayLost;

    /** A store whose group grows by a member with each generation, and whose reads are answered on request. */
    private static final class FakeStore implements NodeGroup {
        private final List<CompletableFuture<List<Ownership>>> heldReads = new ArrayList<>();
        private long generation = 1;
        private long era;
        private int reads;
        private boolean holding;
        private Runnable onCopy = () -> {};

        @Override
        public CompletionStage<Assignment> renew(String member, long known) {
            return CompletableFuture.completedFuture(new Assignment(generation, Set.of(), era));
        }

        @Override
        public CompletionStage<List<Ownership>> owners() {
            reads++;
            if (holding) {
                CompletableFuture<List<Ownership>> read = new CompletableFuture<>();
                heldReads.add(read);
                return read;
            }
            return CompletableFuture.completedFuture(present());
        }

        private List<Ownership> present() {
            List<Ownership> owners = new ArrayList<>();
            for (int i = 0; i < generation; i++) {
                owners.add(new Ownership("nodes/" + i, "member-" + i));
            }
            return new ArrayList<>(owners) {
                @Override
                public Object[] toArray() {
                    Runnable interleaved = onCopy;
                    onCopy = () -> {};
                    interleaved.run();
                    return super.toArray();
                }
            };
        }

        private void release() {
            holding = false;
            List.copyOf(heldReads).forEach(read -> read.complete(present()));
            heldReads.clear();
        }

        @Override
        public CompletionStage<Void> leave(String member) {
            return CompletableFuture.completedFuture(null);
        }
    }

    @BeforeMethod
    public void create() {
        store = new FakeStore();
        relay = new RelayedNodeGroup(store, Optional::empty, Runnable::run);
        relayLost = false;
        relay.renew("relay", 0);
    }

    private RelayedNodeGroup reader() {
        RelayedNodeGroup.Relay toRelay = question -> relayLost
                ? CompletableFuture.failedFuture(new IllegalStateException("no answer"))
                : relay.answer(question.encode()).thenApply(RelayedNodeGroup::decodeAnswer);
        RelayedNodeGroup reader = new RelayedNodeGroup(store, () -> Optional.of(toRelay), Runnable::run);
        reader.renew("reader", 0);
        return reader;
    }

    private static int members(CompletionStage<List<NodeGroup.Ownership>> owners) {
        return owners.toCompletableFuture().join().size();
    }

    // Load: eighty nodes that learn of the same change before their relay does.
    @Test
    public void a_change_costs_one_read_of_the_store_for_all_readers() {
        store.generation = 5;
        store.holding = true;
        List<CompletionStage<List<NodeGroup.Ownership>>> views = new ArrayList<>();
        for (int i = 0; i < READERS; i++) {
            views.add(reader().owners());
        }
        store.release();
        views.forEach(view -> assertEquals(members(view), 5));
        assertEquals(store.reads, 1);
        assertEquals(members(reader().owners()), 5);
        assertEquals(store.reads, 1);
    }

    @Test
    public void a_reader_gets_no_view_older_than_the_generation_that_it_knows() {
        assertEquals(members(reader().owners()), 1);
        store.generation = 2;
        assertEquals(members(reader().owners()), 2);
        store.generation = 3;
        store.holding = true;
        RelayedNodeGroup early = reader();
        CompletionStage<List<NodeGroup.Ownership>> first = early.owners();
        store.generation = 4;
        CompletionStage<List<NodeGroup.Ownership>> second = reader().owners();
        assertEquals(store.heldReads.size(), 2, "a read that began before the change is not taken for it");
        store.release();
        assertTrue(members(first) >= 3);
        assertEquals(members(second), 4);
    }

    @Test
    public void a_reader_whose_relay_is_lost_reads_the_store() {
        relayLost = true;
        store.generation = 7;
        assertEquals(members(reader().owners()), 7);
    }

    // A generation says nothing across eras: the store may have come back from an older copy.
    @Test
    public void a_view_of_another_era_is_not_used() {
        store.generation = 9;
        assertEquals(members(reader().owners()), 9);
        store.era = 1;
        store.generation = 3;
        assertEquals(members(reader().owners()), 3);
        store.era = 0;
        RelayedNodeGroup behind = reader();
        store.era = 1;
        relay.renew("relay", 0);
        assertEquals(members(behind.owners()), 3);
    }

    /**
     * Guards against an answer that names the members as of an earlier generation, given while another thread takes the read of
     * the newer one over.
     */
    @Test
    public void a_question_that_arrives_while_a_read_is_taken_over_gets_the_newer_members() {
        assertEquals(members(reader().owners()), 1);
        store.generation = 2;
        RelayedNodeGroup asking = reader();
        List<CompletionStage<List<NodeGroup.Ownership>>> views = new ArrayList<>();
        store.onCopy = () -> views.add(asking.owners());

        relay.renew("relay", 1);
        relay.owners();

        assertEquals(views.size(), 1);
        assertEquals(members(views.get(0)), 2);
    }

    @Test
    public void a_malformed_question_is_rejected() {
        PeerMessage odd = new PeerMessage(RelayedNodeGroup.QUESTION_TYPE, new byte[] {1, 2, 3});
        try {
            relay.answer(odd);
        } catch (IllegalArgumentException e) {
            assertTrue(e.getMessage().contains("malformed"), e.getMessage());
            return;
        }
        throw new AssertionError("the question was answered");
    }
}
