package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.agatehatch.api.fleet.KeyedTopic;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.version.record.DeflatedBytes;
import org.agatehatch.internal.version.record.Fields;
import org.agatehatch.internal.version.record.MessagePackValues;

/** Messages between a relay, which reads a topic from the store, and the nodes that read the topic from the relay. */
public final class TopicMessages {
    /** Message type of a {@link Request}. */
    public static final String REQUEST_TYPE = "topic_wanted";
    /** Message type of a {@link Response}. */
    public static final String RESPONSE_TYPE = "topic";

    /** Largest value that is accepted after decompression; the store accepts no larger record. */
    private static final int MAX_VALUE_BYTES = 8 * 1024 * 1024;

    /** Nodes of the former release do not say how old their view is. */
    private static final long MAX_AGE_OF_FORMER_RELEASE_MILLIS = 1_200;

    private TopicMessages() {}

    /**
     * Requests the changed records of a topic.
     *
     * @param era era of the store in which the requesting node has read the topic; negative if it has not
     * @param fromOffset first offset that the requesting node has not read; negative to request all records
     * @param acceptsDeflated whether large values may be compressed in the response
     */
    public record Request(String topic, long era, long fromOffset, boolean acceptsDeflated) {
        /** Creates a request of this release, which accepts compressed values. */
        public Request(String topic, long era, long fromOffset) {
            this(topic, era, fromOffset, true);
        }
    }

    /**
     * The changed records of a topic.
     *
     * @param current whether the responding node has read the store recently and is not behind the requesting node
     * @param truncated whether changes are missing, so that the requesting node must read a snapshot again
     * @param nextOffset first offset that the response does not cover
     * @param era era of the store in which the responding node has read the records
     * @param ageMillis time since the responding node knew all records of the store
     */
    public record Response(
            boolean current,
            boolean truncated,
            List<KeyedTopic.Entry> entries,
            long nextOffset,
            long era,
            long ageMillis) {
        /** Response of a node that is not current. */
        public static final Response NOT_CURRENT = new Response(false, false, List.of(), -1, -1, 0);

        public Response {
            entries = List.copyOf(entries);
        }
    }

    /** Encodes a request. */
    public static PeerMessage encode(Request request) {
        return new PeerMessage(
                REQUEST_TYPE,
                MessagePackValues.encode(Map.of(
                        "t",
                        request.topic(),
                        "a",
                        request.era(),
                        "f",
                        request.fromOffset(),
                        "z",
                        request.acceptsDeflated())));
    }

    /** Decodes a request. */
    public static Request decodeRequest(PeerMessage message) {
        Fields fields = LargeMessages.fields(message);
        return new Request(
                fields.text("t"), fields.integer("a"), fields.integer("f"), fields.has("z") && fields.flag("z"));
    }

    /** Encodes a response without compression. */
    public static PeerMessage encode(Response response) {
        return encode(response, TopicMessages::plainEntry);
    }

    /** Encodes a response whose large values are compressed: a record may be larger than a message between nodes. */
    static PeerMessage encodeDeflated(Response response, ValueDeflater deflater) {
        PeerMessage message = encode(
                response,
                entry -> entry.value().filter(ValueDeflater::applies).isPresent()
                        ? deflatedEntry(entry, entry.value().get(), deflater)
                        : plainEntry(entry));
        return LargeMessages.compact(message);
    }

    private static Map<String, Object> plainEntry(KeyedTopic.Entry entry) {
        return Map.of("k", entry.key(), "v", entry.value().orElse(new byte[0]), "o", entry.offset());
    }

    private static Map<String, Object> deflatedEntry(KeyedTopic.Entry entry, byte[] value, ValueDeflater deflater) {
        return Map.of("k", entry.key(), "v", deflater.deflate(value), "o", entry.offset(), "z", value.length);
    }

    private static PeerMessage encode(Response response, Function<KeyedTopic.Entry, Map<String, Object>> encoder) {
        List<Object> entries = new ArrayList<>();
        response.entries().forEach(entry -> entries.add(encoder.apply(entry)));
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("c", response.current());
        body.put("g", response.truncated());
        body.put("n", response.nextOffset());
        body.put("a", response.era());
        body.put("y", response.ageMillis());
        body.put("e", entries);
        return new PeerMessage(RESPONSE_TYPE, MessagePackValues.encode(body));
    }

    /** Decodes a response. */
    public static Response decodeResponse(PeerMessage message) {
        Fields fields = LargeMessages.fields(message);
        List<KeyedTopic.Entry> entries = fields.maps("e").stream()
                .map(entry -> new KeyedTopic.Entry(entry.text("k"), value(entry), entry.integer("o")))
                .toList();
        return new Response(
                fields.flag("c"),
                fields.flag("g"),
                entries,
                fields.integer("n"),
                fields.integer("a"),
                fields.has("y") ? fields.integer("y") : MAX_AGE_OF_FORMER_RELEASE_MILLIS);
    }

    private static Optional<byte[]> value(Fields entry) {
        byte[] bytes = entry.has("z")
                ? DeflatedBytes.inflate(entry.bytes("v"), entry.integer("z"), MAX_VALUE_BYTES)
                : entry.bytes("v");
        return bytes.length == 0 ? Optional.empty() : Optional.of(bytes);
    }
}
