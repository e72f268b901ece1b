package org.agatehatch.internal.request;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.fleet.RecordLog;
import org.agatehatch.internal.request.StreamOrigins.Origin;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a node that does not know where a stream of another node began. */
public final class StreamOriginsTest {
    private static final Origin OLD = new Origin("svc", "v1");
    private static final Origin NEW = new Origin("svc", "v2");

    private final Map<String, Origin> knownToPeers = new HashMap<>();
    private FakeLog log;

    /** A log whose reads are answered on request, two records at a time. */
    private static final class FakeLog implements RecordLog {
        private static final int RECORDS_PER_READ = 2;

        private final List<byte[]> records = new ArrayList<>();
        private final List<Runnable> heldReads = new ArrayList<>();
        private long era = 1;
        private int reads;
        private boolean down;
        private boolean holding;

        @Override
        public CompletionStage<Void> append(byte[] record) {
            if (down) {
                return CompletableFuture.failedFuture(new IllegalStateException("the store is down"));
            }
            records.add(record);
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletionStage<Batch> read(long fromOffset) {
            reads++;
            CompletableFuture<Batch> result = new CompletableFuture<>();
            if (down) {
                result.completeExceptionally(new IllegalStateException("the store is down"));
                return result;
            }
            int from = (int) Math.min(fromOffset, records.size());
            int to = Math.min(records.size(), from + RECORDS_PER_READ);
            Batch batch = new Batch(records.subList(from, to), to, records.size(), era);
            if (holding) {
                heldReads.add(() -> result.complete(batch));
            } else {
                result.complete(batch);
            }
            return result;
        }

        private void release() {
            holding = false;
            List.copyOf(heldReads).forEach(Runnable::run);
            heldReads.clear();
        }
    }

    @BeforeMethod
    public void create() {
        log = new FakeLog();
        knownToPeers.clear();
    }

    private StreamOrigins node() {
        return new StreamOrigins(
                log, attemptId -> CompletableFuture.completedFuture(peerKnows(attemptId)), Runnable::run);
    }

    private Optional<Origin> peerKnows(String attemptId) {
        return Optional.ofNullable(knownToPeers.get(attemptId));
    }

    private static Optional<Origin> origin(StreamOrigins node, String attemptId) {
        return node.originOf(attemptId).toCompletableFuture().join();
    }

    @Test
    public void a_node_knows_the_streams_that_it_began_without_the_store() {
        log.down = true;
        StreamOrigins node = node();
        node.begun("a", OLD);
        assertEquals(origin(node, "a"), Optional.of(OLD));
    }

    @Test
    public void another_node_and_a_restarted_one_learn_where_a_stream_began() {
        StreamOrigins first = node();
        StreamOrigins second = node();
        for (int i = 0; i < 5; i++) {
            first.begun("a" + i, OLD);
        }
        assertEquals(origin(second, "a4"), Optional.of(OLD));
        first.begun("b", NEW);
        assertEquals(origin(second, "b"), Optional.of(NEW));
        assertEquals(origin(node(), "a0"), Optional.of(OLD));
    }

    @Test
    public void a_stream_that_is_not_recorded_or_can_not_be_looked_up_is_not_known() {
        StreamOrigins node = node();
        node().begun("a", OLD);
        assertEquals(origin(node, "other"), Optional.empty());
        assertEquals(origin(node, ""), Optional.empty());
        log.down = true;
        assertEquals(origin(node, "unread"), Optional.empty());
        log.down = false;
        assertEquals(origin(node, "a"), Optional.of(OLD));
    }

    @Test
    public void a_look_up_does_not_rely_on_a_read_that_began_before_it() {
        StreamOrigins node = node();
        log.holding = true;
        CompletionStage<Optional<Origin>> earlier = node.originOf("x");
        node().begun("a", OLD);
        CompletionStage<Optional<Origin>> later = node.originOf("a");
        log.release();
        assertEquals(earlier.toCompletableFuture().join(), Optional.empty());
        assertEquals(later.toCompletableFuture().join(), Optional.of(OLD));
    }

    @Test
    public void records_of_a_restored_store_are_read_from_the_start() {
        StreamOrigins node = node();
        node().begun("a", OLD);
        node().begun("b", OLD);
        assertEquals(origin(node, "b"), Optional.of(OLD));
        log.records.clear();
        log.era++;
        node().begun("c", NEW);
        assertEquals(origin(node, "c"), Optional.of(NEW));
    }

    // Guards against a stream that is refused or guessed at because one of two nodes does not reach the store.
    @Test
    public void a_stream_without_a_record_is_looked_up_at_the_other_nodes() {
        knownToPeers.put("a", NEW);
        assertEquals(origin(node(), "a"), Optional.of(NEW));
        log.down = true;
        StreamOrigins cut = node();
        assertEquals(origin(cut, "a"), Optional.of(NEW));
        knownToPeers.clear();
        assertEquals(origin(cut, "a"), Optional.of(NEW));
    }
}
