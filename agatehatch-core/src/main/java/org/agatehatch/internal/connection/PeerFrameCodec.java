package org.agatehatch.internal.connection;

import java.io.IOException;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.peer.PeerMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes frames as MessagePack arrays {@code [protocolVersion, kind, correlation, type, body]}. Decoding
 * ignores elements after the known ones, so that a later release can add elements.
 */
public final class PeerFrameCodec {
    /** Largest frame that a link accepts, without the length and the message authentication code that a link may add. */
    public static final int MAX_FRAME_BYTES = 256 * 1024;
    /** Protocol version that this release writes. */
    public static final int PROTOCOL_VERSION = 1;

    private static final int KNOWN_ELEMENTS = 5;
    private static final int MAX_TYPE_BYTES = 64;

    private PeerFrameCodec() {}

    /**
     * Encodes a frame.
     *
     * @throws AgatehatchException {@code BAD_FRAME} above {@link #MAX_FRAME_BYTES}
     */
    public static byte[] encode(PeerFrame frame) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(KNOWN_ELEMENTS);
            packer.packInt(PROTOCOL_VERSION);
            packer.packInt(frame.kind().ordinal());
            packer.packLong(frame.correlationId());
            packer.packString(frame.message().type());
            packer.packBinaryHeader(frame.message().body().length);
            packer.writePayload(frame.message().body());
            byte[] encoded = packer.toByteArray();
            if (encoded.length > MAX_FRAME_BYTES) {
                throw badFrame("self", "frame of " + encoded.length + " bytes exceeds the limit of " + MAX_FRAME_BYTES);
            }
            return encoded;
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /**
     * Decodes the first {@code length} bytes.
     *
     * @param peer name of the sending node, used in error messages
     * @throws AgatehatchException {@code BAD_FRAME} if the bytes are not a frame
     */
    public static PeerFrame decode(byte[] bytes, int length, String peer) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, 0, length)) {
            int elements = unpacker.unpackArrayHeader();
            if (elements < KNOWN_ELEMENTS) {
                throw badFrame(peer, "frame has " + elements + " elements, expected " + KNOWN_ELEMENTS + " or more");
            }
            unpacker.unpackInt();
            int kind = unpacker.unpackInt();
            if (kind < 0 || kind >= PeerFrame.Kind.values().length) {
                throw badFrame(peer, "frame kind " + kind + " is unknown");
            }
            long correlation = unpacker.unpackLong();
            int typeLength = unpacker.unpackRawStringHeader();
            if (typeLength > MAX_TYPE_BYTES) {
                throw badFrame(peer, "type name of " + typeLength + " bytes exceeds the limit of " + MAX_TYPE_BYTES);
            }
            String type =
                    new String(payload(unpacker, typeLength, length, peer), java.nio.charset.StandardCharsets.UTF_8);
            byte[] body = payload(unpacker, unpacker.unpackBinaryHeader(), length, peer);
            return new PeerFrame(PeerFrame.Kind.values()[kind], correlation, new PeerMessage(type, body));
        } catch (IOException | MessagePackException e) {
            throw badFrame(peer, "not a MessagePack frame: " + e.getMessage());
        }
    }

    private static byte[] payload(MessageUnpacker unpacker, int size, int frameLength, String peer) throws IOException {
        if (size < 0 || size > frameLength - unpacker.getTotalReadBytes()) {
            throw badFrame(peer, "field of " + size + " bytes extends beyond the end of the frame");
        }
        return unpacker.readPayload(size);
    }

    static AgatehatchException badFrame(String peer, String message) {
        return new AgatehatchException(ErrorCode.BAD_FRAME, "peer link", peer, Outcome.NOT_RUN, message);
    }
}
