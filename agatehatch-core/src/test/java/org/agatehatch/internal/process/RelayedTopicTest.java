package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against changes that a node misses, or learns too late, because it reads a topic from another node. */
public final class RelayedTopicTest {
    /** Time in which a change has to reach every node. */
    private static final long CHANGE_MILLIS = 2_000;

    private VirtualTime time;
    private FakeKeyedTopic store;
    private FakeKeyedTopic ownWayToStore;
    private RelayedTopic relay;
    private boolean relayAnswers;
    private int questions;
    private int entriesSent;
    private Map<String, String> seen;

    @BeforeMethod
    public void start() {
        time = new VirtualTime();
        store = new FakeKeyedTopic(time, 4);
        ownWayToStore = store.secondConnection();
        relayAnswers = true;
        questions = 0;
        entriesSent = 0;
        seen = new TreeMap<>();
        store.put("r1", "ready 1");
        relay = new RelayedTopic(
                "t", store, Optional::empty, () -> true, RelayedTopicTest::sameState, time.node(1), time);
        follower(relay, 1, new TreeMap<>()).start();
        time.advance(1_500);
        RelayedTopic reader = new RelayedTopic(
                "t",
                ownWayToStore,
                () -> Optional.of(this::ask),
                () -> true,
                RelayedTopicTest::sameState,
                time.node(2),
                time);
        follower(reader, 2, seen).start();
        time.advance(100);
    }

    /** Values are a state and the number of the heartbeat. */
    private static boolean sameState(byte[] before, byte[] after) {
        return state(before).equals(state(after));
    }

    private static String state(byte[] value) {
        return new String(value, StandardCharsets.UTF_8).split(" ")[0];
    }

    private CompletionStage<TopicMessages.Response> ask(TopicMessages.Request question) {
        questions++;
        CompletableFuture<TopicMessages.Response> answer = new CompletableFuture<>();
        if (relayAnswers) {
            time.runAfter(2, () -> {
                TopicMessages.Response given = TopicMessages.decodeResponse(
                        TopicMessages.encode(relay.respond(TopicMessages.decodeRequest(TopicMessages.encode(question))
                                .fromOffset())));
                entriesSent += given.entries().size();
                answer.complete(given);
            });
        } else {
            time.runAfter(300, () -> answer.completeExceptionally(new IllegalStateException("no answer")));
        }
        return answer;
    }

    private TopicFollower follower(RelayedTopic topic, int node, Map<String, String> values) {
        TopicFollower.Listener listener = new TopicFollower.Listener() {
            @Override
            public void onValue(String key, byte[] value) {
                values.put(key, state(value));
            }

            @Override
            public void onRemoved(String key) {
                values.remove(key);
            }
        };
        return new TopicFollower(
                "t", topic, TopicFollowerSettings.PERIODIC, time.node(node), time, new Random(node), listener);
    }

    @Test
    public void a_reader_learns_changes_without_reading_the_store() {
        store.put("r2", "ready 1");
        store.put("r1", "draining 2");
        time.advance(CHANGE_MILLIS);
        assertEquals(seen, Map.of("r1", "draining", "r2", "ready"));
        store.drop("r1");
        time.advance(CHANGE_MILLIS);
        assertEquals(seen, Map.of("r2", "ready"));
        assertEquals(ownWayToStore.reads(), 0);
    }

    @Test
    public void records_that_only_renew_an_entry_are_not_relayed() {
        entriesSent = 0;
        for (int i = 2; i < 20; i++) {
            store.put("r1", "ready " + i);
            time.advance(500);
        }
        assertEquals(entriesSent, 0);
        store.put("r1", "draining 20");
        time.advance(CHANGE_MILLIS);
        assertEquals(seen, Map.of("r1", "draining"));
    }

    @Test
    public void a_relay_stays_current_between_changes_of_a_topic_that_is_otherwise_long_polled() {
        RelayedTopic config = new RelayedTopic(
                "c", store, Optional::empty, () -> true, RelayedTopicTest::sameState, time.node(3), time);
        new TopicFollower("c", config, TopicFollowerSettings.LONG_POLLING, time.node(3), time, new Random(3), (key, value) -> {})
                .start();
        for (int i = 0; i < 50; i++) {
            time.advance(200);
            assertTrue(config.respond(0).current(), "after " + time.millis() + " ms");
        }
    }

    @Test
    public void a_reader_whose_relay_is_silent_reads_the_store() {
        relayAnswers = false;
        store.put("r1", "draining 2");
        time.advance(CHANGE_MILLIS);
        assertEquals(seen, Map.of("r1", "draining"));
        relayAnswers = true;
        time.advance(5_000);
        int before = ownWayToStore.reads();
        time.advance(10_000);
        assertEquals(ownWayToStore.reads(), before, "goes back to the relay");
    }

    @Test
    public void a_relay_that_lost_the_store_is_not_used() {
        store.setDown(true);
        time.advance(1_500);
        store.put("r1", "draining 2");
        time.advance(CHANGE_MILLIS);
        assertEquals(seen, Map.of("r1", "draining"));
    }

    @Test
    public void a_reader_that_lost_the_store_keeps_using_its_relay() {
        ownWayToStore.setDown(true);
        store.put("r1", "draining 2");
        time.advance(CHANGE_MILLIS);
        assertEquals(seen, Map.of("r1", "draining"));
    }

    @Test
    public void keys_that_were_removed_while_the_relay_missed_records_are_removed_at_the_reader() {
        store.put("r2", "ready 1");
        time.advance(CHANGE_MILLIS);
        store.setDown(true);
        ownWayToStore.setDown(true);
        time.advance(3_000);
        store.drop("r1");
        store.compact();
        store.setDown(false);
        ownWayToStore.setDown(false);
        time.advance(5_000);
        assertEquals(seen, Map.of("r2", "ready"));
        assertTrue(questions > 0);
    }
}
