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
 * Gives this node's replicated state to nodes that start while the log is down, and fetches that of others. A state
 * travels in parts that fit into frames. All methods are called on the thread of the executor.
 */
public final class StateTransfer {
    private static final String QUESTION = "state";
    private static final String ANSWER = "state_part";
    private static final int VERSION = 1;
    private static final int PART_BYTES = 200 * 1024;
    private static final int MAX_PARTS = 128;
    /** Bounds what a malformed answer can unpack to; the state at design size has some MB. */
    private static final int MAX_STATE_BYTES = 64 * 1024 * 1024;

    private static final long ANSWER_TIMEOUT_MILLIS = 3_000;

    private final Supplier<Optional<Offer>> offer;
    private final PeerTransport peers;
    private final Executor executor;
    private Optional<Packed> packed = Optional.empty();

    /**
     * What this node can give.
     *
     * @param snapshot encoded state
     */
    @SuppressWarnings("ArrayRecordComponent") // Passed on and never compared.
    public record Offer(PeerState proof, byte[] snapshot) {}

    @SuppressWarnings("ArrayRecordComponent") // Passed on and never compared.
    private record Packed(PeerState proof, byte[] bytes) {}

    @SuppressWarnings("ArrayRecordComponent") // Passed on and never compared.
    private record Part(PeerState proof, int number, int count, byte[] bytes) {}

    /** @param offer this node's state; empty while the node itself does not serve */
    public StateTransfer(Supplier<Optional<Offer>> offer, PeerTransport peers, Executor executor) {
        this.offer = offer;
        this.peers = peers;
        this.executor = executor;
    }

    /** Answers a message of another node; empty if it does not ask for the state. */
    public Optional<CompletionStage<PeerMessage>> handle(PeerMessage message) {
        if (!message.type().equals(QUESTION)) {
            return Optional.empty();
        }
        int part = only(message, QUESTION).smallNumber("part");
        if (part == 0) {
            packed = offer.get().map(StateTransfer::pack);
        }
        if (packed.isEmpty()) {
            return Optional.of(CompletableFuture.failedFuture(unavailable("this node does not serve yet")));
        }
        return Optional.of(CompletableFuture.completedFuture(answer(packed.get(), part)));
    }

    /** Fetches the state of a node. Fails if the node cannot give it, or its state changed meanwhile. */
    public CompletionStage<Offer> fetch(String address) {
        return fetch(address, 0, new ByteArrayOutputStream(), Optional.empty());
    }

    private CompletionStage<Offer> fetch(
            String address, int part, ByteArrayOutputStream collected, Optional<PeerState> first) {
        PeerMessage question = message(QUESTION, Map.of("part", (long) part));
        return peers.ask(address, question, ANSWER_TIMEOUT_MILLIS)
                .thenComposeAsync(
                        reply -> {
                            Part received = part(reply);
                            boolean sameState = first.isEmpty()
                                    || first.get().throughOffset()
                                            == received.proof().throughOffset();
                            if (received.number() != part || received.count() > MAX_PARTS || !sameState) {
                                return CompletableFuture.failedFuture(
                                        unavailable("the state of " + address + " changed while it was read"));
                            }
                            collected.writeBytes(received.bytes());
                            if (part + 1 < received.count()) {
                                return fetch(address, part + 1, collected, Optional.of(received.proof()));
                            }
                            return CompletableFuture.completedFuture(
                                    new Offer(received.proof(), inflate(collected.toByteArray())));
                        },
                        executor);
    }

    private static Packed pack(Offer offer) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(output)) {
            deflater.write(offer.snapshot());
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return new Packed(offer.proof(), output.toByteArray());
    }

    private static byte[] inflate(byte[] bytes) {
        try (InflaterInputStream inflater = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
            byte[] state = inflater.readNBytes(MAX_STATE_BYTES);
            if (inflater.read() >= 0) {
                throw TypedRecord.badFrame("a state unpacks to more than " + MAX_STATE_BYTES + " bytes", null);
            }
            return state;
        } catch (IOException e) {
            throw TypedRecord.badFrame("a state is not deflated data", e);
        }
    }

    private static PeerMessage answer(Packed state, int part) {
        int parts = Math.max(1, (state.bytes().length + PART_BYTES - 1) / PART_BYTES);
        if (part < 0 || part >= parts) {
            throw TypedRecord.badFrame("part " + part + " of " + parts + " does not exist", null);
        }
        int from = part * PART_BYTES;
        byte[] bytes = Arrays.copyOfRange(state.bytes(), from, Math.min(state.bytes().length, from + PART_BYTES));
        return message(
                ANSWER,
                Map.of(
                        "node", state.proof().node(),
                        "failure_domain", state.proof().failureDomain(),
                        "through_offset", state.proof().throughOffset(),
                        "log_end_read_ago_millis", state.proof().logEndReadAgoMillis(),
                        "part", (long) part,
                        "parts", (long) parts,
                        "bytes", bytes));
    }

    private static Part part(PeerMessage reply) {
        TypedRecord record = only(reply, ANSWER);
        PeerState proof = new PeerState(
                record.text("node"),
                record.text("failure_domain"),
                record.number("through_offset"),
                record.number("log_end_read_ago_millis"));
        return new Part(proof, record.smallNumber("part"), record.smallNumber("parts"), record.bytes("bytes"));
    }

    private static PeerMessage message(String type, Map<String, Object> body) {
        return new PeerMessage(type, BatchCodec.encode(List.of(new TypedRecord(type, VERSION, body))));
    }

    private static TypedRecord only(PeerMessage message, String type) {
        List<TypedRecord> records = BatchCodec.decode(message.body());
        if (records.size() != 1 || !records.get(0).type().equals(type)) {
            throw TypedRecord.badFrame("a message is not one record of type '" + type + "'", null);
        }
        return records.get(0);
    }

    private static AgatehatchException unavailable(String message) {
        return new AgatehatchException(
                ErrorCode.NODE_STARTING, "fetch state", "peer", Outcome.NOT_RUN, message + "; ask another node");
    }
}
