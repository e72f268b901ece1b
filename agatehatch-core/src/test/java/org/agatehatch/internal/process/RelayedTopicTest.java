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

/** Guards against changes that a node misses or sees too late because it reads a topic from a relay. */
public final class RelayedTopicTest {
    /** Maximum time within which a change must reach every node. */
    private static final long MAX_PROPAGATION_MILLIS = 2_000;

    private VirtualTime time;
    private FakeKeyedTopic store;
    private FakeKeyedTopic readerConnection;
    private RelayedTopic relay;
    private boolean relayResponds;
    private int requests;
    private int entriesSent;
    private Map<String, String> stateByKey;

    @BeforeMethod
    public void start() {
        time = new VirtualTime();
        store = new FakeKeyedTopic(time, 4);
        readerConnection = store.secondConnection();
        relayResponds = true;
        requests = 0;
        entriesSent = 0;
        stateByKey = new TreeMap<>();
        store.put("r1", "ready 1");
        relay = new RelayedTopic(
                "t", store, Optional::empty, () -> true, RelayedTopicTest::sameState, time.node(1), time);
        follower(relay, 1, new TreeMap<>()).start();
        time.advance(1_500);
        RelayedTopic reader = new RelayedTopic(
                "t",
                readerConnection,
                () -> Optional.of(this::askRelay),
                () -> true,
                RelayedTopicTest::sameState,
                time.node(2),
                time);
        follower(reader, 2, stateByKey).start();
        time.advance(100);
    }

    /** A value consists of a state and a heartbeat number; values with the same state have the same meaning. */
    private static boolean sameState(byte[] before, byte[] after) {
        return state(before).equals(state(after));
    }

    private static String state(byte[] value) {
        return new String(value, StandardCharsets.UTF_8).split(" ")[0];
    }

    private CompletionStage<TopicMessages.Response> askRelay(TopicMessages.Request request) {
        requests++;
        CompletableFuture<TopicMessages.Response> response = new CompletableFuture<>();
        if (relayResponds) {
            time.runAfter(2, () -> {
                TopicMessages.Response decoded = TopicMessages.decodeResponse(TopicMessages.encode(
                        relay.respond(TopicMessages.decodeRequest(TopicMessages.encode(request)))));
                entriesSent += decoded.entries().size();
                response.complete(decoded);
            });
        } else {
            time.runAfter(300, () -> response.completeExceptionally(new IllegalStateException("no response")));
        }
        return response;
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
        time.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(stateByKey, Map.of("r1", "draining", "r2", "ready"));
        store.drop("r1");
        time.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(stateByKey, Map.of("r2", "ready"));
        assertEquals(readerConnection.reads(), 0);
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
        time.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(stateByKey, Map.of("r1", "draining"));
    }

    @Test
    public void a_relay_stays_current_between_changes_of_a_topic_that_is_otherwise_long_polled() {
        RelayedTopic config = new RelayedTopic(
                "c", store, Optional::empty, () -> true, RelayedTopicTest::sameState, time.node(3), time);
        new TopicFollower(
                        "c",
                        config,
                        TopicFollowerSettings.LONG_POLLING,
                        time.node(3),
                        time,
                        new Random(3),
                        (key, value) -> {})
                .start();
        for (int i = 0; i < 50; i++) {
            time.advance(200);
            assertTrue(
                    config.respond(new TopicMessages.Request("c", 1, 0)).current(), "after " + time.millis() + " ms");
        }
    }

    @Test
    public void a_reader_whose_relay_is_silent_reads_the_store() {
        relayResponds = false;
        store.put("r1", "draining 2");
        time.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(stateByKey, Map.of("r1", "draining"));
        relayResponds = true;
        time.advance(5_000);
        int before = readerConnection.reads();
        time.advance(10_000);
        assertEquals(readerConnection.reads(), before, "the reader returns to the relay");
    }

    @Test
    public void a_relay_that_lost_the_store_is_not_used() {
        store.setDown(true);
        time.advance(1_500);
        store.put("r1", "draining 2");
        time.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(stateByKey, Map.of("r1", "draining"));
    }

    @Test
    public void a_reader_that_lost_the_store_keeps_using_its_relay() {
        readerConnection.setDown(true);
        store.put("r1", "draining 2");
        time.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(stateByKey, Map.of("r1", "draining"));
    }

    @Test
    public void keys_that_were_removed_while_the_relay_missed_records_are_removed_at_the_reader() {
        store.put("r2", "ready 1");
        time.advance(MAX_PROPAGATION_MILLIS);
        store.setDown(true);
        readerConnection.setDown(true);
        time.advance(3_000);
        store.drop("r1");
        store.compact();
        store.setDown(false);
        readerConnection.setDown(false);
        time.advance(5_000);
        assertEquals(stateByKey, Map.of("r2", "ready"));
        assertTrue(requests > 0);
    }

    // Guards against a relay or a reader that goes on with the offsets of a lost history.
    @Test
    public void a_reader_learns_changes_after_a_restore_from_its_relay() {
        store.put("r2", "ready 1");
        time.advance(MAX_PROPAGATION_MILLIS);
        store.restoreTo(1);
        store.put("r3", "ready 1");
        time.advance(2 * MAX_PROPAGATION_MILLIS);
        assertEquals(stateByKey, Map.of("r1", "ready", "r3", "ready"));
        assertEquals(readerConnection.reads(), 0);
    }

    @Test
    public void a_relay_that_has_not_seen_a_restore_is_not_read_by_a_node_that_has() {
        store.put("r2", "ready 1");
        time.advance(MAX_PROPAGATION_MILLIS);
        relayResponds = false;
        time.advance(1_000);
        store.restoreTo(1);
        store.put("r3", "ready 1");
        store.holdAnswers();
        time.advance(1_500);
        relayResponds = true;
        time.advance(5_000);
        assertEquals(stateByKey, Map.of("r1", "ready", "r3", "ready"));
    }
}
