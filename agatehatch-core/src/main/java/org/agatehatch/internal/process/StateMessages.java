package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.version.record.DeflatedBytes;
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

    /** Largest configuration record that is accepted after decompression; the store accepts no larger record. */
    private static final int MAX_CONFIG_BYTES = 8 * 1024 * 1024;

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

    /** Creates a request, whose response may contain a compressed configuration. */
    public static PeerMessage request() {
        return new PeerMessage(REQUEST_TYPE, MessagePackValues.encode(Map.of("z", true)));
    }

    /** Encodes the response to a request. A large configuration is compressed if the requesting node accepts it. */
    public static PeerMessage respond(PeerMessage request, StoredState state, ValueDeflater deflater) {
        byte[] config = state.config().orElse(new byte[0]);
        if (!acceptsDeflated(request)) {
            return encode(state, Map.of("c", config));
        }
        return LargeMessages.compact(
                ValueDeflater.applies(config)
                        ? encode(state, Map.of("c", deflater.deflate(config), "z", config.length))
                        : encode(state, Map.of("c", config)));
    }

    private static boolean acceptsDeflated(PeerMessage request) {
        Fields fields = LargeMessages.fields(request);
        return fields.has("z") && fields.flag("z");
    }

    private static PeerMessage encode(StoredState state, Map<String, Object> config) {
        List<Object> servers = new ArrayList<>();
        state.servers().forEach((key, value) -> servers.add(Map.of("k", key, "v", value)));
        Map<String, Object> body = new LinkedHashMap<>(config);
        body.put("s", servers);
        return new PeerMessage(RESPONSE_TYPE, MessagePackValues.encode(body));
    }

    /** Decodes a response. */
    public static StoredState decode(PeerMessage message) {
        Fields fields = LargeMessages.fields(message);
        byte[] config = fields.has("z")
                ? DeflatedBytes.inflate(fields.bytes("c"), fields.integer("z"), MAX_CONFIG_BYTES)
                : fields.bytes("c");
        Map<String, byte[]> servers = new LinkedHashMap<>();
        fields.maps("s").forEach(entry -> servers.put(entry.text("k"), entry.bytes("v")));
        return new StoredState(config.length == 0 ? Optional.empty() : Optional.of(config), servers);
    }
}
