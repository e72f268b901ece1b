package org.agatehatch.internal.process;

import java.util.Map;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.version.record.DeflatedBytes;
import org.agatehatch.internal.version.record.Fields;
import org.agatehatch.internal.version.record.MessagePackValues;

/** Compression of whole messages, for those that are large because of many small records. */
final class LargeMessages {
    /** Smaller messages are sent as they are; half of the largest frame. */
    private static final int MIN_BYTES = 128 * 1024;

    /** Largest body that is accepted after decompression. */
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

    private LargeMessages() {}

    /** Returns the message, compressed if it is large. Only for nodes that accept it. */
    static PeerMessage compact(PeerMessage message) {
        byte[] body = message.body();
        if (body.length < MIN_BYTES) {
            return message;
        }
        return new PeerMessage(
                message.type(), MessagePackValues.encode(Map.of("w", DeflatedBytes.deflate(body), "s", body.length)));
    }

    /**
     * Returns the fields of a message, which may be compressed.
     *
     * @throws IllegalArgumentException if the message is malformed
     */
    static Fields fields(PeerMessage message) {
        Fields fields = decode(message.type(), message.body());
        return fields.has("w")
                ? decode(message.type(), DeflatedBytes.inflate(fields.bytes("w"), fields.integer("s"), MAX_BODY_BYTES))
                : fields;
    }

    private static Fields decode(String type, byte[] body) {
        try {
            return new Fields(MessagePackValues.decode(body));
        } catch (MessagePackValues.MalformedValueException e) {
            throw new IllegalArgumentException("the body of a '" + type + "' message is malformed", e);
        }
    }
}
