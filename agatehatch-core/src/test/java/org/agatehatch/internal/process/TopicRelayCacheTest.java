package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.agatehatch.api.fleet.KeyedTopic;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a relay that calls itself current although the store has records that the relay lacks. */
public final class TopicRelayCacheTest {
    private static final int ERA = 1;
    private static final int READS = 8;
    private static final long READ_INTERVAL_MILLIS = 600;

    private VirtualTime time;
    private ScriptedTopic store;
    private RelayedTopic relay;

    /** A topic whose answers are given by a test. */
    private static final class ScriptedTopic implements KeyedTopic {
        private Supplier<Snapshot> snapshot = () -> new Snapshot(List.of(entry(4)), 5, ERA);
        private Supplier<Changes> changes = () -> new Changes(List.of(), 5, 5, false, ERA);

        @Override
        public CompletionStage<Snapshot> snapshot() {
            return CompletableFuture.completedFuture(snapshot.get());
        }

        @Override
        public CompletionStage<Changes> changes(long fromOffset, long waitMillis) {
            return CompletableFuture.completedFuture(changes.get());
        }

        @Override
        public CompletionStage<AppendResult> appendAt(String key, byte[] value, long expectedEnd) {
            throw new UnsupportedOperationException("the tests append nothing");
        }
    }

    @BeforeMethod
    public void start() {
        time = new VirtualTime();
        store = new ScriptedTopic();
        relay = new RelayedTopic("t", store, Optional::empty, () -> true, Arrays::equals, time.node(1), time);
        relay.snapshot();
        time.advance(1);
    }

    private static KeyedTopic.Entry entry(long offset) {
        return entry("config", offset);
    }

    private static KeyedTopic.Entry entry(String key, long offset) {
        byte[] value = ("version " + offset).getBytes(StandardCharsets.UTF_8);
        return new KeyedTopic.Entry(key, Optional.of(value), offset);
    }

    private boolean isCurrent() {
        return relay.respond(new TopicMessages.Request("t", ERA, 5)).current();
    }

    private void read(Runnable read) {
        for (int i = 0; i < READS; i++) {
            time.advance(READ_INTERVAL_MILLIS);
            read.run();
            time.advance(1);
        }
    }

    @Test
    public void a_relay_that_reads_to_the_end_of_the_topic_is_current() {
        read(() -> relay.changes(5, 0));
        assertTrue(isCurrent());
    }

    @Test
    public void a_relay_whose_reads_are_truncated_is_not_current() {
        store.changes = () -> new KeyedTopic.Changes(List.of(), 5, 5, true, ERA);
        read(() -> relay.changes(5, 0));
        assertFalse(isCurrent());
    }

    @Test
    public void a_relay_that_gets_older_snapshots_is_not_current() {
        store.snapshot = () -> new KeyedTopic.Snapshot(List.of(entry(2)), 3, ERA);
        read(relay::snapshot);
        assertFalse(isCurrent());
    }

    @Test
    public void a_relay_that_has_read_one_page_of_several_is_not_current() {
        store.changes = () -> new KeyedTopic.Changes(List.of(entry(5)), 6, 40, false, ERA);
        read(() -> relay.changes(5, 0));
        assertFalse(isCurrent());
    }

    @Test
    public void a_relay_is_current_again_once_it_has_read_the_last_page() {
        store.changes = () -> new KeyedTopic.Changes(List.of(entry(5)), 6, 40, false, ERA);
        read(() -> relay.changes(5, 0));
        store.changes = () -> new KeyedTopic.Changes(List.of(entry(39)), 40, 40, false, ERA);
        relay.changes(6, 0);
        time.advance(1);
        TopicMessages.Response response = relay.respond(new TopicMessages.Request("t", ERA, 5));
        assertTrue(response.current());
        assertEquals(response.nextOffset(), 40);
    }

    // Guards against a reader that is not told of servers which came and went in changes that its relay skipped.
    @Test
    public void a_reader_behind_a_snapshot_that_skipped_changes_is_told_of_the_gap() {
        store.snapshot = () -> new KeyedTopic.Snapshot(List.of(entry(4), entry("other", 39)), 40, ERA);
        relay.snapshot();
        time.advance(1);
        assertTrue(relay.respond(new TopicMessages.Request("t", ERA, 5)).truncated());
    }

    // Guards against readers that all turn to the store while versions follow each other at the pace of the reads.
    @Test
    public void a_relay_stays_current_while_each_page_leaves_one_record() {
        FakeKeyedTopic topic = new FakeKeyedTopic(time, 4);
        topic.put("config", "0");
        topic.setPageRecords(1);
        VirtualTime.Node node = time.node(1);
        relay = new RelayedTopic("t", topic, Optional::empty, () -> true, Arrays::equals, node, time);
        new TopicFollower("t", relay, TopicFollowerSettings.LONG_POLLING, node, time, new Random(1), (key, value) -> {})
                .start();
        time.advance(100);
        topic.put("config", "1");
        List<Integer> notCurrent = new ArrayList<>();
        for (int version = 2; version < 14; version++) {
            topic.put("config", Integer.toString(version));
            time.advance(504);
            if (!relay.respond(new TopicMessages.Request("t", -1, -1)).current()) {
                notCurrent.add(version);
            }
        }
        assertEquals(notCurrent, List.of());
    }

    // Guards against a node that was frozen during a long poll and takes the answer from before for a new one.
    @Test
    public void a_relay_that_was_frozen_during_a_long_poll_is_not_current() {
        FakeKeyedTopic topic = new FakeKeyedTopic(time, 4);
        topic.put("config", "1");
        VirtualTime.Node node = time.node(1);
        relay = new RelayedTopic("t", topic, Optional::empty, () -> false, Arrays::equals, node, time);
        new TopicFollower("t", relay, TopicFollowerSettings.LONG_POLLING, node, time, new Random(1), (key, value) -> {})
                .start();
        time.advance(100);
        node.pause();
        topic.put("config", "2");
        time.advance(50);
        topic.put("config", "3");
        time.advance(10_000);
        node.resume();
        time.advance(1);
        assertFalse(relay.respond(new TopicMessages.Request("t", -1, -1)).current());
    }
}
