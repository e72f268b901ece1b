package org.agatehatch.internal.connection;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Authenticates a link between two nodes and its frames. In the handshake, both ends send a hello with a random nonce
 * and then a proof that they know the shared key. After the handshake, each frame carries a message authentication code
 * over its sequence number and content, so frames cannot be forged, replayed or reordered.
 *
 * <p>One session belongs to one connection. Receiving and sending may happen on different threads.
 */
public final class PeerSession {
    /** Length of the handshake nonce. */
    public static final int NONCE_BYTES = 16;

    private static final int MAC_BYTES = 16;

    /** Largest result of {@link #seal}. */
    public static final int MAX_SEALED_BYTES = PeerFrameCodec.MAX_FRAME_BYTES + MAC_BYTES;

    private static final int MAX_NAME_BYTES = 256;
    private static final String ALGORITHM = "HmacSHA256";

    private final String sharedKey;
    private final boolean initiator;
    private final String ownName;
    private final byte[] ownNonce;
    private State state = State.EXPECT_HELLO;
    private String peerName = "unknown";
    private byte[] expectedProof = new byte[0];
    private Mac receiveMac;
    private Mac sendMac;
    private long receivedFrames;
    private long sentFrames;

    private enum State {
        EXPECT_HELLO,
        EXPECT_PROOF,
        OPEN
    }

    /**
     * Creates a session that has not exchanged any bytes.
     *
     * @param initiator whether this end opened the connection
     * @param ownNonce fresh random bytes, {@value #NONCE_BYTES} of them
     */
    public PeerSession(String sharedKey, boolean initiator, String ownName, byte[] ownNonce) {
        this.sharedKey = sharedKey;
        this.initiator = initiator;
        this.ownName = ownName;
        this.ownNonce = ownNonce.clone();
    }

    /** Returns the handshake hello, which is the first message to send. */
    public byte[] hello() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(3);
            packer.packInt(PeerFrameCodec.PROTOCOL_VERSION);
            packer.packString(ownName);
            packer.packBinaryHeader(ownNonce.length);
            packer.writePayload(ownNonce);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /**
     * Processes one received message: the peer's hello, its proof, or a frame.
     *
     * @throws AgatehatchException {@code PEER_REJECTED} or {@code BAD_FRAME}; the caller must then close the link
     */
    public ReceiveResult receive(byte[] bytes) {
        return switch (state) {
            case EXPECT_HELLO -> receiveHello(bytes);
            case EXPECT_PROOF -> receiveProof(bytes);
            case OPEN -> new ReceiveResult(Optional.empty(), Optional.of(open(bytes)), false);
        };
    }

    /** Encodes and authenticates a frame. Call only after the session is open. */
    public synchronized byte[] seal(PeerFrame frame) {
        byte[] content = PeerFrameCodec.encode(frame);
        byte[] sealed = Arrays.copyOf(content, content.length + MAC_BYTES);
        byte[] mac = computeMac(sendMac, sentFrames, content, content.length);
        sentFrames++;
        System.arraycopy(mac, 0, sealed, content.length, MAC_BYTES);
        return sealed;
    }

    /** Returns the name that the peer claims; it is authenticated only once the session is open. */
    public String peerName() {
        return peerName;
    }

    private ReceiveResult receiveHello(byte[] bytes) {
        byte[] peerNonce;
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            unpacker.unpackArrayHeader();
            unpacker.unpackInt();
            int nameLength = unpacker.unpackRawStringHeader();
            if (nameLength > MAX_NAME_BYTES) {
                throw PeerFrameCodec.badFrame(peerName, "node name of " + nameLength + " bytes is too long");
            }
            peerName = new String(unpacker.readPayload(nameLength), StandardCharsets.UTF_8);
            int nonceLength = unpacker.unpackBinaryHeader();
            if (nonceLength != NONCE_BYTES) {
                throw PeerFrameCodec.badFrame(peerName, "handshake nonce must have " + NONCE_BYTES + " bytes");
            }
            peerNonce = unpacker.readPayload(nonceLength);
        } catch (IOException | MessagePackException e) {
            throw PeerFrameCodec.badFrame(peerName, "malformed handshake hello: " + e.getMessage());
        }
        if (Arrays.equals(peerNonce, ownNonce)) {
            throw rejected("the peer reflected this node's own nonce");
        }
        byte[] transcript = transcript(peerNonce);
        sendMac = mac(derive("frames", initiator, transcript));
        receiveMac = mac(derive("frames", !initiator, transcript));
        expectedProof = derive("proof", !initiator, transcript);
        state = State.EXPECT_PROOF;
        return new ReceiveResult(Optional.of(derive("proof", initiator, transcript)), Optional.empty(), false);
    }

    private ReceiveResult receiveProof(byte[] bytes) {
        if (!MessageDigest.isEqual(bytes, expectedProof)) {
            throw rejected("the peer does not know the shared key; set the same --peer-key on all nodes");
        }
        state = State.OPEN;
        return new ReceiveResult(Optional.empty(), Optional.empty(), true);
    }

    private PeerFrame open(byte[] bytes) {
        int contentLength = bytes.length - MAC_BYTES;
        if (contentLength <= 0) {
            throw PeerFrameCodec.badFrame(peerName, "frame of " + bytes.length + " bytes is too short");
        }
        byte[] expected = computeMac(receiveMac, receivedFrames, bytes, contentLength);
        receivedFrames++;
        byte[] actual = Arrays.copyOfRange(bytes, contentLength, bytes.length);
        if (!MessageDigest.isEqual(Arrays.copyOf(expected, MAC_BYTES), actual)) {
            throw rejected("message authentication code of a frame does not match");
        }
        return PeerFrameCodec.decode(bytes, contentLength, peerName);
    }

    private byte[] transcript(byte[] peerNonce) {
        byte[] ownBytes = ownName.getBytes(StandardCharsets.UTF_8);
        byte[] peerBytes = peerName.getBytes(StandardCharsets.UTF_8);
        byte[] first = initiator ? ownBytes : peerBytes;
        byte[] second = initiator ? peerBytes : ownBytes;
        return ByteBuffer.allocate(2 * NONCE_BYTES + 8 + first.length + second.length)
                .put(initiator ? ownNonce : peerNonce)
                .put(initiator ? peerNonce : ownNonce)
                .putInt(first.length)
                .put(first)
                .putInt(second.length)
                .put(second)
                .array();
    }

    private byte[] derive(String purpose, boolean fromInitiator, byte[] transcript) {
        Mac mac = mac(sharedKey.getBytes(StandardCharsets.UTF_8));
        mac.update(purpose.getBytes(StandardCharsets.UTF_8));
        mac.update((byte) (fromInitiator ? 1 : 0));
        return mac.doFinal(transcript);
    }

    private static byte[] computeMac(Mac mac, long sequence, byte[] content, int length) {
        mac.update(ByteBuffer.allocate(Long.BYTES).putLong(sequence).array());
        mac.update(content, 0, length);
        return mac.doFinal();
    }

    private static Mac mac(byte[] key) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("the Java runtime has no " + ALGORITHM, e);
        }
    }

    private AgatehatchException rejected(String message) {
        return new AgatehatchException(ErrorCode.PEER_REJECTED, "peer link", peerName, Outcome.NOT_RUN, message);
    }

    /**
     * Result of processing a received message.
     *
     * @param reply handshake bytes to send immediately
     * @param frame authenticated frame; empty during the handshake
     * @param opened whether this message completed the handshake
     */
    public record ReceiveResult(Optional<byte[]> reply, Optional<PeerFrame> frame, boolean opened) {}
}
