package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.version.record.Fields;
import org.agatehatch.internal.version.record.MessagePackValues;

/**
 * Messages with which a node that cannot reach the store requests, from another node, the newest records that the
 * other node has read from the store.
 */
public final class StateMessages {
    /** Message type of the request. */
    public static final String REQUEST_TYPE = "state_wanted";
    /** Message type of the response. */
    public static final String RESPONSE_TYPE = "state";

    private StateMessages() {}

    /**
     * Newest records of the store, in the form in which they are stored.
     *
     * @param config configuration record; empty if none is known
     * @param servers records of backend servers, by key
     */
    public record StoredState(Optional<byte[]> config, Map<String, byte[]> servers) {
        public StoredState {
            servers = Map.copyOf(servers);
        }
    }

    /** Creates a request. */
    public static PeerMessage request() {
        return new PeerMessage(REQUEST_TYPE, MessagePackValues.encode(Map.of()));
    }

    /** Encodes a response. */
    public static PeerMessage encode(StoredState state) {
        List<Object> servers = new ArrayList<>();
        state.servers().forEach((key, value) -> servers.add(Map.of("k", key, "v", value)));
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("c", state.config().orElse(new byte[0]));
        body.put("s", servers);
        return new PeerMessage(RESPONSE_TYPE, MessagePackValues.encode(body));
    }

    /** Decodes a response. */
    public static StoredState decode(PeerMessage message) {
        try {
            Fields fields = new Fields(MessagePackValues.decode(message.body()));
            byte[] config = fields.bytes("c");
            Map<String, byte[]> servers = new LinkedHashMap<>();
            fields.maps("s").forEach(entry -> servers.put(entry.text("k"), entry.bytes("v")));
            return new StoredState(config.length == 0 ? Optional.empty() : Optional.of(config), servers);
        } catch (MessagePackValues.MalformedValueException e) {
            throw new IllegalArgumentException("a peer sent a malformed copy of the store's records", e);
        }
    }
}
