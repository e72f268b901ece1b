package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agatehatch.api.fleet.KeyedTopic;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.connection.PeerFrame;
import org.agatehatch.internal.connection.PeerFrameCodec;
import org.testng.annotations.Test;

/** Guards against messages that are too large for a link because of many small records, none of which is worth compressing. */
public final class ManyServersMessageTest {
    private static final int SERVERS = 1_500;

    private static byte[] serverRecord(int number) {
        return ("{\"service\":\"service-" + number % 40 + "\",\"addr\":\"10.1." + number / 250 + "." + number % 250
                        + ":8080\",\"zone\":\"almaty-" + number % 4
                        + "\",\"slots\":8,\"state\":\"ready\",\"born\":1790000000000,\"version\":\"2.4.1\","
                        + "\"models\":[{\"name\":\"model-a\"}],\"atHand\":[],\"seq\":" + number + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    private static PeerMessage roundTrip(PeerMessage message) {
        byte[] encoded = PeerFrameCodec.encode(new PeerFrame(PeerFrame.Kind.ANSWER, 1, message));
        return PeerFrameCodec.decode(encoded, encoded.length, "peer").message();
    }

    // Guards against a node that cannot start while the store is away, although other nodes know all servers.
    @Test
    public void the_state_of_many_servers_fits_a_frame() {
        Map<String, byte[]> servers = new LinkedHashMap<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.put("server-" + i, serverRecord(i));
        }
        PeerMessage message = StateMessages.respond(
                StateMessages.request(), new StateMessages.StoredState(Optional.empty(), servers), new ValueDeflater());
        assertEquals(StateMessages.decode(roundTrip(message)).servers().size(), SERVERS);
    }

    // Guards against readers that never get a first view of the servers from their relay, and all read the store.
    @Test
    public void a_relays_snapshot_of_many_servers_fits_a_frame() {
        List<KeyedTopic.Entry> entries = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            entries.add(new KeyedTopic.Entry("server-" + i, Optional.of(serverRecord(i)), i));
        }
        PeerMessage message = TopicMessages.encodeDeflated(
                new TopicMessages.Response(true, false, entries, SERVERS, 1, 0), new ValueDeflater());
        assertEquals(TopicMessages.decodeResponse(roundTrip(message)).entries().size(), SERVERS);
    }
}
