package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.version.record.Fields;
import org.agatehatch.internal.version.record.MessagePackValues;

/** What a node that can't reach the store asks another one for: the newest records that it has read there. */
public final class StateMessages {
    /** Type of the question. */
    public static final String REQUEST_TYPE = "state_wanted";
    /** Type of the answer. */
    public static final String RESPONSE_TYPE = "state";

    private StateMessages() {}

    /**
     * Records as they lie in the store.
     *
     * @param config empty if none is known
     * @param servers records of backend servers by key
     */
    public record StoredState(Optional<byte[]> config, Map<String, byte[]> servers) {
        public StoredState {
            servers = Map.copyOf(servers);
        }
    }

    /** Returns the question. */
    public static PeerMessage request() {
        return new PeerMessage(REQUEST_TYPE, MessagePackValues.encode(Map.of()));
    }

    /** Encodes an answer. */
    public static PeerMessage encode(StoredState state) {
        List<Object> servers = new ArrayList<>();
        state.servers().forEach((key, value) -> servers.add(Map.of("k", key, "v", value)));
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("c", state.config().orElse(new byte[0]));
        body.put("s", servers);
        return new PeerMessage(RESPONSE_TYPE, MessagePackValues.encode(body));
    }

    /** Decodes an answer. */
    public static StoredState decode(PeerMessage message) {
        try {
            Fields fields = new Fields(MessagePackValues.decode(message.body()));
            byte[] config = fields.bytes("c");
            Map<String, byte[]> servers = new LinkedHashMap<>();
            fields.maps("s").forEach(entry -> servers.put(entry.text("k"), entry.bytes("v")));
            return new StoredState(config.length == 0 ? Optional.empty() : Optional.of(config), servers);
        } catch (MessagePackValues.MalformedValueException e) {
            throw new IllegalArgumentException("the state that a node sent is malformed", e);
        }
    }
}
