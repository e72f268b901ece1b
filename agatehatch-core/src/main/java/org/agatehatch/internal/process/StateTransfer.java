package org.agatehatch.internal.process;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.peer.PeerTransport;
import org.agatehatch.internal.process.ReadinessGate.PeerState;

/**
 * Serves this node's replicated state to nodes that start while the log is unavailable, and fetches the state of
 * other nodes. A state is compressed and sent in parts that fit into frames. All methods are called on the executor's
 * thread.
 */
public final class StateTransfer {
    private static final String REQUEST_TYPE = "state";
    private static final String RESPONSE_TYPE = "state_part";
    private static final int VERSION = 1;
    private static final int PART_BYTES = 200 * 1024;
    private static final int MAX_PARTS = 128;
    /** Limits the decompressed size of a malformed response; the state at design size has some MB. */
    private static final int MAX_STATE_BYTES = 64 * 1024 * 1024;

    private static final long RESPONSE_TIMEOUT_MILLIS = 3_000;

    private final Supplier<Optional<PeerSnapshot>> localSnapshot;
    private final PeerTransport peers;
    private final Executor executor;
    private Optional<CompressedSnapshot> compressed = Optional.empty();

    /**
     * A node's replicated state.
     *
     * @param peerState the node, and how far and how recently it has read the log
     * @param snapshot encoded state
     */
    @SuppressWarnings("ArrayRecordComponent") // Passed on and never compared.
    public record PeerSnapshot(PeerState peerState, byte[] snapshot) {}

    @SuppressWarnings("ArrayRecordComponent") // Passed on and never compared.
    private record CompressedSnapshot(PeerState peerState, byte[] bytes) {}

    @SuppressWarnings("ArrayRecordComponent") // Passed on and never compared.
    private record Part(PeerState peerState, int number, int count, byte[] bytes) {}

    /** @param localSnapshot this node's state; empty while this node does not serve yet */
    public StateTransfer(Supplier<Optional<PeerSnapshot>> localSnapshot, PeerTransport peers, Executor executor) {
        this.localSnapshot = localSnapshot;
        this.peers = peers;
        this.executor = executor;
    }

    /** Handles a message of another node; empty if the message does not request the state. */
    public Optional<CompletionStage<PeerMessage>> handle(PeerMessage message) {
        if (!message.type().equals(REQUEST_TYPE)) {
            return Optional.empty();
        }
        int part = singleRecord(message, REQUEST_TYPE).smallNumber("part");
        if (part == 0) {
            compressed = localSnapshot.get().map(StateTransfer::compress);
        }
        if (compressed.isEmpty()) {
            return Optional.of(CompletableFuture.failedFuture(unavailable("this node does not serve yet")));
        }
        return Optional.of(CompletableFuture.completedFuture(response(compressed.get(), part)));
    }

    /** Fetches the state of a node. Fails if the node cannot provide it or its state changes during the transfer. */
    public CompletionStage<PeerSnapshot> fetch(String address) {
        return fetch(address, 0, new ByteArrayOutputStream(), Optional.empty());
    }

    private CompletionStage<PeerSnapshot> fetch(
            String address, int part, ByteArrayOutputStream collected, Optional<PeerState> first) {
        PeerMessage request = message(REQUEST_TYPE, Map.of("part", (long) part));
        return peers.ask(address, request, RESPONSE_TIMEOUT_MILLIS)
                .thenComposeAsync(
                        reply -> {
                            Part received = part(reply);
                            boolean sameState = first.isEmpty()
                                    || first.get().throughOffset()
                                            == received.peerState().throughOffset();
                            if (received.number() != part || received.count() > MAX_PARTS || !sameState) {
                                return CompletableFuture.failedFuture(unavailable("the state of " + address
                                        + " changed during the transfer, or a part is invalid"));
                            }
                            collected.writeBytes(received.bytes());
                            if (part + 1 < received.count()) {
                                return fetch(address, part + 1, collected, Optional.of(received.peerState()));
                            }
                            return CompletableFuture.completedFuture(
                                    new PeerSnapshot(received.peerState(), decompress(collected.toByteArray())));
                        },
                        executor);
    }

    private static CompressedSnapshot compress(PeerSnapshot state) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(output)) {
            deflater.write(state.snapshot());
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return new CompressedSnapshot(state.peerState(), output.toByteArray());
    }

    private static byte[] decompress(byte[] bytes) {
        try (InflaterInputStream inflater = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
            byte[] state = inflater.readNBytes(MAX_STATE_BYTES);
            if (inflater.read() >= 0) {
                throw TypedRecord.badFrame("the state decompresses to more than " + MAX_STATE_BYTES + " bytes", null);
            }
            return state;
        } catch (IOException e) {
            throw TypedRecord.badFrame("the state is not valid deflate data", e);
        }
    }

    private static PeerMessage response(CompressedSnapshot state, int part) {
        int parts = Math.max(1, (state.bytes().length + PART_BYTES - 1) / PART_BYTES);
        if (part < 0 || part >= parts) {
            throw TypedRecord.badFrame("part " + part + " of " + parts + " does not exist", null);
        }
        int from = part * PART_BYTES;
        byte[] bytes = Arrays.copyOfRange(state.bytes(), from, Math.min(state.bytes().length, from + PART_BYTES));
        return message(
                RESPONSE_TYPE,
                Map.of(
                        "node", state.peerState().node(),
                        "failure_domain", state.peerState().failureDomain(),
                        "through_offset", state.peerState().throughOffset(),
                        "log_end_read_ago_millis", state.peerState().logEndReadAgoMillis(),
                        "part", (long) part,
                        "parts", (long) parts,
                        "bytes", bytes));
    }

    private static Part part(PeerMessage reply) {
        TypedRecord record = singleRecord(reply, RESPONSE_TYPE);
        PeerState peerState = new PeerState(
                record.text("node"),
                record.text("failure_domain"),
                record.number("through_offset"),
                record.number("log_end_read_ago_millis"));
        return new Part(peerState, record.smallNumber("part"), record.smallNumber("parts"), record.bytes("bytes"));
    }

    private static PeerMessage message(String type, Map<String, Object> body) {
        return new PeerMessage(type, BatchCodec.encode(List.of(new TypedRecord(type, VERSION, body))));
    }

    private static TypedRecord singleRecord(PeerMessage message, String type) {
        List<TypedRecord> records = BatchCodec.decode(message.body());
        if (records.size() != 1 || !records.get(0).type().equals(type)) {
            throw TypedRecord.badFrame("the message is not a single record of type '" + type + "'", null);
        }
        return records.get(0);
    }

    private static AgatehatchException unavailable(String message) {
        return new AgatehatchException(
                ErrorCode.NODE_STARTING, "fetch state", "peer", Outcome.NOT_RUN, message + "; ask another node");
    }
}
