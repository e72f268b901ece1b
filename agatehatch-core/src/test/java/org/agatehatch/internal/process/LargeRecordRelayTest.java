package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.connection.PeerFrame;
import org.agatehatch.internal.connection.PeerFrameCodec;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a record that a relay has and cannot pass on, so that all its readers read the store instead. */
public final class LargeRecordRelayTest {
    private static final int ROUTES = 1_400;
    private static final long MAX_PROPAGATION_MILLIS = 2_000;
    private static final long RELAY_TIMEOUT_MILLIS = 300;

    private VirtualTime time;
    private FakeKeyedTopic store;
    private FakeKeyedTopic readerConnection;
    private RelayedTopic relay;
    private Map<String, Integer> lengthByKey;

    @BeforeMethod
    public void start() {
        time = new VirtualTime();
        store = new FakeKeyedTopic(time, 4);
        readerConnection = store.secondConnection();
        lengthByKey = new TreeMap<>();
        store.put("config", configuration(1, 10));
        relay = new RelayedTopic("c", store, Optional::empty, () -> true, Arrays::equals, time.node(1), time);
        follow(relay, (key, value) -> {});
        time.advance(1_500);
        RelayedTopic reader = new RelayedTopic(
                "c",
                readerConnection,
                () -> Optional.of(this::askRelay),
                () -> true,
                Arrays::equals,
                time.node(1),
                time);
        follow(reader, (key, value) -> lengthByKey.put(key, value.length));
        time.advance(1_000);
    }

    private void follow(RelayedTopic topic, TopicFollower.Listener listener) {
        new TopicFollower("c", topic, TopicFollowerSettings.LONG_POLLING, time.node(1), time, new Random(1), listener)
                .start();
    }

    private static String configuration(int version, int routes) {
        StringBuilder json = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        for (int i = 0; i < routes; i++) {
            json.append("{\"name\":\"route-")
                    .append(i)
                    .append("\",\"host\":\"host")
                    .append(i * 7919 % routes);
            json.append(".example\",\"pathPrefix\":\"/path").append(i * 104_729L % 65_536);
            json.append("/\",\"routeKind\":\"safe\",\"timeoutMs\":2000,\"targetLatencyMs\":193,\"priority\":1,");
            json.append("\"trafficSplit\":[{\"service\":\"order-desk\",\"weight\":100}],\"maxAttempts\":2,");
            json.append("\"resumable\":false,\"gapTargetMs\":0},");
        }
        return json.append("{}]}").toString();
    }

    private CompletionStage<TopicMessages.Response> askRelay(TopicMessages.Request request) {
        CompletableFuture<TopicMessages.Response> response = new CompletableFuture<>();
        PeerMessage answer = relay.answer(TopicMessages.decodeRequest(TopicMessages.encode(request)));
        try {
            byte[] frame = PeerFrameCodec.encode(new PeerFrame(PeerFrame.Kind.ANSWER, 1, answer));
            PeerMessage received =
                    PeerFrameCodec.decode(frame, frame.length, "relay").message();
            time.runAfter(4, () -> response.complete(TopicMessages.decodeResponse(received)));
        } catch (AgatehatchException e) {
            time.runAfter(RELAY_TIMEOUT_MILLIS, () -> response.completeExceptionally(e));
        }
        return response;
    }

    @Test
    public void a_configuration_above_the_frame_limit_reaches_readers_through_their_relay() {
        String configuration = configuration(2, ROUTES);
        assertTrue(configuration.length() > PeerFrameCodec.MAX_FRAME_BYTES, "larger than a frame");
        store.put("config", configuration);
        time.advance(MAX_PROPAGATION_MILLIS);
        assertEquals(lengthByKey, Map.of("config", configuration.length()));
        assertEquals(readerConnection.reads(), 0, "reads of the store by the reader");
    }
}
