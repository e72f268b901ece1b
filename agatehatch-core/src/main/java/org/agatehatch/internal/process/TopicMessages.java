package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agatehatch.api.fleet.KeyedTopic;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.version.record.Fields;
import org.agatehatch.internal.version.record.MessagePackValues;

/** Messages between a node that reads a topic of the store and those that read it from there. */
public final class TopicMessages {
    /** Type of a {@link Request}. */
    public static final String REQUEST_TYPE = "topic_wanted";
    /** Type of an {@link Response}. */
    public static final String RESPONSE_TYPE = "topic";

    private TopicMessages() {}

    /**
     * Asks for the records of a topic.
     *
     * @param fromOffset first offset that the asking node has not read; negative if it has read nothing
     */
    public record Request(String topic, long fromOffset) {}

    /**
     * The records of a topic that have changed.
     *
     * @param current whether the answering node has read the store lately and is not behind the asking one
     * @param truncated whether changes are missing, so that the asking node has to start over
     * @param nextOffset first offset that the answer does not cover
     */
    public record Response(boolean current, boolean truncated, List<KeyedTopic.Entry> entries, long nextOffset) {
        /** The answer of a node that knows too little. */
        public static final Response NOT_CURRENT = new Response(false, false, List.of(), -1);

        public Response {
            entries = List.copyOf(entries);
        }
    }

    /** Encodes a question. */
    public static PeerMessage encode(Request question) {
        return new PeerMessage(
                REQUEST_TYPE, MessagePackValues.encode(Map.of("t", question.topic(), "f", question.fromOffset())));
    }

    /** Decodes a question. */
    public static Request decodeRequest(PeerMessage message) {
        Fields fields = fields(message);
        return new Request(fields.text("t"), fields.integer("f"));
    }

    /** Encodes an answer. */
    public static PeerMessage encode(Response answer) {
        List<Object> entries = new ArrayList<>();
        for (KeyedTopic.Entry entry : answer.entries()) {
            entries.add(Map.of("k", entry.key(), "v", entry.value().orElse(new byte[0]), "o", entry.offset()));
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("c", answer.current());
        body.put("g", answer.truncated());
        body.put("n", answer.nextOffset());
        body.put("e", entries);
        return new PeerMessage(RESPONSE_TYPE, MessagePackValues.encode(body));
    }

    /** Decodes an answer. */
    public static Response decodeResponse(PeerMessage message) {
        Fields fields = fields(message);
        List<KeyedTopic.Entry> entries = fields.maps("e").stream()
                .map(entry -> new KeyedTopic.Entry(entry.text("k"), value(entry.bytes("v")), entry.integer("o")))
                .toList();
        return new Response(fields.flag("c"), fields.flag("g"), entries, fields.integer("n"));
    }

    private static Optional<byte[]> value(byte[] bytes) {
        return bytes.length == 0 ? Optional.empty() : Optional.of(bytes);
    }

    private static Fields fields(PeerMessage message) {
        try {
            return new Fields(MessagePackValues.decode(message.body()));
        } catch (MessagePackValues.MalformedValueException e) {
            throw new IllegalArgumentException("the body of a '" + message.type() + "' message is malformed", e);
        }
    }
}
