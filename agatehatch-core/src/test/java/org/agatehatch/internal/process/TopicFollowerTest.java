package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.fleet.KeyedTopic;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against changes of a topic that a node misses, reverts or sees too late. */
public final class TopicFollowerTest {
    private static final long MAX_PROPAGATION_MILLIS = 2_000;

    private VirtualTime time;
    private FakeKeyedTopic topic;
    private Map<String, String> valueByKey;
    private TopicFollower follower;

    @BeforeMethod
    public void start() {
        time = new VirtualTime();
        topic = new FakeKeyedTopic(time, 4);
        valueByKey = new TreeMap<>();
        topic.put("config", "1");
        follower = follower(TopicFollowerSettings.LONG_POLLING);
        follower.start();
        time.advance(100);
    }

    private TopicFollower follower(TopicFollowerSettings settings) {
        TopicFollower.Listener listener = new TopicFollower.Listener() {
            @Override
            public void onValue(String key, byte[] value) {
                valueByKey.put(key, new String(value, StandardCharsets.UTF_8));
            }

            @Override
            public void onRemoved(String key) {
                valueByKey.remove(key);
            }
        };
        return new TopicFollower("test", topic, settings, time.node(1), time, new Random(1), listener);
    }

    @Test
    public void a_change_is_seen_at_once_during_a_long_poll() {
        topic.put("config", "2");
        time.advance(50);
        assertEquals(valueByKey, Map.of("config", "2"));
    }

    // Guards against a follower that reads all records between although only the newest of each key counts.
    @Test
    public void a_follower_that_is_far_behind_reads_the_newest_records_instead_of_all_pages() {
        topic.setDown(true);
        time.advance(3_000);
        for (int version = 2; version <= 100; version++) {
            topic.put("config", Integer.toString(version));
        }
        topic.setPageRecords(1);
        topic.setDown(false);
        int before = topic.reads();
        time.advance(1_000);
        assertEquals(valueByKey, Map.of("config", "100"));
        assertTrue(topic.reads() - before <= 3, "reads: " + (topic.reads() - before));
    }

    // Guards against reading the same position in a loop if the next record is larger than a page.
    @Test
    public void a_record_that_is_larger_than_a_page_is_read_as_the_newest_one() {
        topic.setPageRecords(0);
        int before = topic.reads();
        topic.put("config", "2");
        time.advance(1_000);
        assertEquals(valueByKey, Map.of("config", "2"));
        assertTrue(topic.reads() - before <= 3, "reads: " + (topic.reads() - before));
    }

    // Guards against servers that come and go within the skipped changes, and count as never present.
    @Test
    public void a_follower_that_skips_changes_says_so_before_it_applies_the_snapshot() {
        List<String> events = new ArrayList<>();
        TopicFollower.Listener listener = new TopicFollower.Listener() {
            @Override
            public void onValue(String key, byte[] value) {
                events.add(key);
            }

            @Override
            public void onHistoryMissing() {
                events.add("gap");
            }
        };
        new TopicFollower("test", topic, TopicFollowerSettings.PERIODIC, time.node(1), time, new Random(1), listener)
                .start();
        time.advance(100);
        topic.setPageRecords(1);
        topic.put("first", "1");
        topic.put("server", "2");
        topic.drop("server");
        topic.put("last", "3");
        time.advance(2_000);
        assertEquals(events, List.of("config", "first", "gap", "last"));
    }

    // Guards against an answer of a relay that counts as younger than what the relay knew.
    @Test
    public void an_answer_of_a_relay_after_a_wait_counts_as_of_the_relays_read() {
        KeyedTopic relayed = new KeyedTopic() {
            @Override
            public CompletionStage<Snapshot> snapshot() {
                return CompletableFuture.completedFuture(new Snapshot(List.of(), 0, 0, 700));
            }

            @Override
            public CompletionStage<Changes> changes(long fromOffset, long waitMillis) {
                CompletableFuture<Changes> answer = new CompletableFuture<>();
                time.runAfter(500, () -> answer.complete(new Changes(List.of(), 0, 0, false, 0, 700)));
                return answer;
            }

            @Override
            public CompletionStage<AppendResult> appendAt(String key, byte[] value, long expectedEnd) {
                throw new UnsupportedOperationException("the test appends nothing");
            }
        };
        TopicFollower reader = new TopicFollower(
                "test",
                relayed,
                TopicFollowerSettings.LONG_POLLING,
                time.node(1),
                time,
                new Random(1),
                (key, value) -> valueByKey.put(key, ""));
        reader.start();
        time.advance(501);
        long answeredNanos = time.nanos() - 1_000_000;
        assertFalse(reader.wasAnsweredSince(answeredNanos - 699_000_000));
        assertTrue(reader.wasAnsweredSince(answeredNanos - 700_000_000));
    }

    // Guards against a view that counts as younger than the relay's own read of the store.
    @Test
    public void a_view_is_as_old_as_the_read_of_the_node_that_answered() {
        KeyedTopic relayed = new KeyedTopic() {
            @Override
            public CompletionStage<Snapshot> snapshot() {
                return CompletableFuture.completedFuture(new Snapshot(List.of(), 0, 0, 700));
            }

            @Override
            public CompletionStage<Changes> changes(long fromOffset, long waitMillis) {
                return CompletableFuture.completedFuture(new Changes(List.of(), 0, 0, false, 0, 700));
            }

            @Override
            public CompletionStage<AppendResult> appendAt(String key, byte[] value, long expectedEnd) {
                throw new UnsupportedOperationException("the test appends nothing");
            }
        };
        TopicFollower reader = new TopicFollower(
                "test",
                relayed,
                TopicFollowerSettings.PERIODIC,
                time.node(1),
                time,
                new Random(1),
                (key, value) -> valueByKey.put(key, ""));
        long startNanos = time.nanos();
        reader.start();
        time.advance(100);
        assertFalse(reader.isCurrentAsOf(startNanos - 699_000_000));
        assertTrue(reader.isCurrentAsOf(startNanos - 700_000_000));
        assertFalse(reader.wasAnsweredSince(startNanos - 699_000_000));
    }

    @Test
    public void long_polling_makes_one_call_in_two_seconds() {
        int before = topic.reads();
        time.advance(20_000);
        assertTrue(topic.reads() - before <= 11, "reads: " + (topic.reads() - before));
    }

    @Test
    public void polling_sees_a_change_within_a_second() {
        valueByKey.clear();
        follower(TopicFollowerSettings.PERIODIC).start();
        time.advance(100);
        topic.put("server", "draining");
        time.advance(1_000);
        assertEquals(valueByKey.get("server"), "draining");
    }

    @Test
    public void changes_made_in_an_outage_are_seen_soon_after_it() {
        topic.setDown(true);
        time.advance(10_000);
        topic.put("config", "2");
        topic.drop("gone");
        topic.setDown(false);
        time.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(valueByKey, Map.of("config", "2"));
    }

    @Test
    public void compacted_history_is_replaced_by_the_newest_records() {
        topic.put("server", "a");
        time.advance(50);
        topic.setDown(true);
        time.advance(3_000);
        topic.drop("server");
        topic.put("config", "7");
        topic.compact();
        topic.setDown(false);
        time.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(valueByKey, Map.of("config", "7"));
    }

    // Guards against a healthy node that takes itself for one without contact during long polls, and against the
    // reverse.
    @Test
    public void the_source_counts_as_answering_during_long_polls_and_not_in_an_outage() {
        for (int i = 0; i < 100; i++) {
            time.advance(100);
            assertTrue(answeredWithin(3_000), "after " + i + " steps");
        }
        topic.setDown(true);
        time.advance(5_100);
        assertFalse(answeredWithin(3_000));
        topic.setDown(false);
        time.advance(1_000);
        assertTrue(answeredWithin(3_000));
    }

    @Test
    public void a_source_that_was_never_read_has_not_answered() {
        topic.setDown(true);
        follower = follower(TopicFollowerSettings.LONG_POLLING);
        follower.start();
        time.advance(100);
        assertFalse(answeredWithin(3_000));
    }

    private boolean answeredWithin(long millis) {
        return follower.wasAnsweredSince(time.nanos() - millis * 1_000_000);
    }

    @Test
    public void time_since_recovery_is_zero_during_an_outage_and_grows_after_it() {
        assertEquals(follower.sinceRecoveryMillis(), Long.MAX_VALUE);
        topic.setDown(true);
        time.advance(5_000);
        assertEquals(follower.sinceRecoveryMillis(), 0);
        topic.setDown(false);
        time.advance(3_000);
        assertTrue(follower.sinceRecoveryMillis() >= 2_000);
    }

    // Guards against records that are skipped because the store gave their offsets out before.
    @Test
    public void records_after_a_restore_are_applied_although_their_offsets_were_read_before() {
        topic.put("config", "2");
        topic.put("server", "a");
        time.advance(50);
        topic.restoreTo(1);
        topic.put("config", "3");
        time.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(valueByKey, Map.of("config", "3"));
        topic.put("server", "b");
        time.advance(50);
        assertEquals(valueByKey, Map.of("config", "3", "server", "b"));
    }

    @Test
    public void a_restore_to_a_copy_that_has_grown_past_the_position_is_noticed() {
        topic.put("config", "2");
        time.advance(50);
        topic.setDown(true);
        topic.restoreTo(1);
        topic.put("config", "3");
        topic.put("server", "b");
        topic.put("other", "c");
        topic.setDown(false);
        time.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(valueByKey, Map.of("config", "3", "server", "b", "other", "c"));
    }

    @Test
    public void two_restores_in_a_row_lose_no_record() {
        for (int i = 2; i < 6; i++) {
            topic.put("config", "lost " + i);
            time.advance(30);
            topic.restoreTo(1);
            topic.put("config", Integer.toString(i));
        }
        time.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(valueByKey, Map.of("config", "5"));
    }

    @Test
    public void a_restore_causes_two_reads_and_no_loop() {
        topic.put("config", "2");
        time.advance(50);
        topic.restoreTo(1);
        int before = topic.reads();
        time.advance(1_900);
        assertTrue(topic.reads() - before <= 3, "reads: " + (topic.reads() - before));
    }

    @Test
    public void an_answer_of_an_earlier_era_changes_nothing() {
        FakeKeyedTopic slowConnection = topic.secondConnection();
        topic = slowConnection;
        valueByKey.clear();
        TopicFollower slow = follower(TopicFollowerSettings.LONG_POLLING);
        slow.start();
        time.advance(100);
        slowConnection.put("config", "lost");
        slowConnection.holdAnswers();
        time.advance(100);
        slowConnection.restoreTo(1);
        slowConnection.put("config", "3");
        slowConnection.releaseAnswers();
        time.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(valueByKey, Map.of("config", "3"));
    }

    @Test
    public void a_new_era_counts_as_a_recovery() {
        topic.put("config", "2");
        time.advance(50);
        topic.restoreTo(1);
        time.advance(500);
        assertTrue(follower.sinceRecoveryMillis() <= 500);
    }

    // Guards against a server that a node learned from a peer while the store was silent, and that never goes away.
    @Test
    public void a_key_that_is_known_from_elsewhere_is_removed_if_the_topic_lacks_it() {
        topic.setDown(true);
        valueByKey.clear();
        TopicFollower starting = follower(TopicFollowerSettings.LONG_POLLING);
        starting.start();
        valueByKey.put("gone", "from a peer");
        starting.addKnownKeys(Set.of("gone"));
        time.advance(1_000);
        topic.setDown(false);
        time.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(valueByKey, Map.of("config", "1"));
    }

    // Guards against a topic that is no longer followed after a listener has failed on one entry.
    @Test
    public void a_failing_listener_loses_the_entry_that_it_failed_on_and_no_other() {
        for (Runnable failure : List.<Runnable>of(
                () -> {
                    throw new IllegalStateException("expected by the test");
                },
                () -> {
                    throw new StackOverflowError("expected by the test");
                },
                () -> {
                    throw new AssertionError("expected by the test");
                })) {
            start();
            FailingListener failing = new FailingListener(failure);
            new TopicFollower(
                            "test",
                            topic,
                            TopicFollowerSettings.LONG_POLLING,
                            time.node(1),
                            time,
                            new Random(1),
                            failing)
                    .start();
            time.advance(100);
            topic.put("odd", "x");
            topic.put("sound", "1");
            time.advance(MAX_PROPAGATION_MILLIS);
            topic.drop("odd");
            topic.put("sound", "2");
            time.advance(MAX_PROPAGATION_MILLIS);
            topic.restoreTo(2);
            topic.put("sound", "3");
            time.advance(MAX_PROPAGATION_MILLIS);
            topic.put("sound", "4");
            time.advance(MAX_PROPAGATION_MILLIS);
            assertEquals(failing.seen, List.of("config=1", "sound=1", "sound=2", "config=1", "sound=3", "sound=4"));
        }
    }

    /** Fails on each event but those of sound entries. */
    private static final class FailingListener implements TopicFollower.Listener {
        private final List<String> seen = new ArrayList<>();
        private final Runnable failure;

        private FailingListener(Runnable failure) {
            this.failure = failure;
        }

        @Override
        public void onBatch(Runnable changes) {
            changes.run();
            failure.run();
        }

        @Override
        public void onValue(String key, byte[] value) {
            if (key.equals("odd")) {
                failure.run();
            }
            seen.add(key + '=' + new String(value, StandardCharsets.UTF_8));
        }

        @Override
        public void onRemoved(String key) {
            failure.run();
        }

        @Override
        public void onNewEra(long era) {
            failure.run();
        }

        @Override
        public void onCaughtUp() {
            failure.run();
        }
    }
}
