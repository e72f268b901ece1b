package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.Supplier;
import org.agatehatch.api.fleet.NodeGroup;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.version.record.Fields;
import org.agatehatch.internal.version.record.MessagePackValues;

/**
 * A group whose members are read from the store by a few nodes, the relays; the other nodes ask their relay. Each change of a
 * large group would otherwise cost a call for each of its nodes. Renewals go to the store. Runs on the control thread.
 */
public final class RelayedNodeGroup implements NodeGroup {
    /** Message type of a {@link Question}. */
    public static final String QUESTION_TYPE = "group_wanted";

    private static final String ANSWER_TYPE = "group";

    /** Asks for the members as of a generation or a later one. */
    public record Question(long era, long generation) {
        /** Encodes the question. */
        public PeerMessage encode() {
            return new PeerMessage(QUESTION_TYPE, MessagePackValues.encode(Map.of("a", era, "g", generation)));
        }

        /** Decodes a question. */
        public static Question decode(PeerMessage message) {
            Fields fields = fields(message);
            return new Question(fields.integer("a"), fields.integer("g"));
        }
    }

    /** Sends a question to this node's relay. */
    public interface Relay extends Function<Question, CompletionStage<List<Ownership>>> {}

    private final NodeGroup store;
    private final Supplier<Optional<Relay>> relay;
    private final Executor control;
    private Question known = new Question(-1, -1);
    private Question cachedAs = new Question(-1, -1);
    private List<Ownership> cached = List.of();
    private Optional<CompletableFuture<List<Ownership>>> readInFlight = Optional.empty();
    private Question readInFlightAs = new Question(-1, -1);

    /**
     * Creates a group of which nothing has been read.
     *
     * @param relay supplies the relay to ask; empty if this node reads the store
     * @param control runs tasks on the control thread, on which the methods are called
     */
    public RelayedNodeGroup(NodeGroup store, Supplier<Optional<Relay>> relay, Executor control) {
        this.store = store;
        this.relay = relay;
        this.control = control;
    }

    @Override
    public CompletionStage<Assignment> renew(String member, long generation) {
        return store.renew(member, generation)
                .thenApplyAsync(
                        assignment -> {
                            known = new Question(assignment.era(), assignment.generation());
                            return assignment;
                        },
                        control);
    }

    @Override
    public CompletionStage<List<Ownership>> owners() {
        Question wanted = known;
        Optional<Relay> source = relay.get();
        if (source.isEmpty()) {
            return readStore(wanted);
        }
        CompletableFuture<List<Ownership>> result = new CompletableFuture<>();
        source.get()
                .apply(wanted)
                .whenCompleteAsync(
                        (owners, failure) -> {
                            if (failure == null) {
                                result.complete(owners);
                                return;
                            }
                            readStore(wanted).whenComplete((read, storeFailure) -> {
                                if (storeFailure == null) {
                                    result.complete(read);
                                } else {
                                    result.completeExceptionally(storeFailure);
                                }
                            });
                        },
                        control);
        return result;
    }

    @Override
    public CompletionStage<Void> leave(String member) {
        return store.leave(member);
    }

    /** Answers another node's question; fails if this node has no view of the same era, so that the other one reads the store. */
    public CompletionStage<PeerMessage> answer(PeerMessage message) {
        Question wanted = Question.decode(message);
        if (covers(cachedAs, wanted)) {
            return CompletableFuture.completedFuture(encode(cached));
        }
        if (known.era() > wanted.era()) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("the store's era is " + known.era() + ", not " + wanted.era()));
        }
        return readStore(wanted).thenApply(RelayedNodeGroup::encode);
    }

    /** Reads the members once for all that want the same generation or an earlier one. */
    private CompletionStage<List<Ownership>> readStore(Question wanted) {
        if (readInFlight.isPresent() && covers(readInFlightAs, wanted)) {
            return readInFlight.get();
        }
        CompletableFuture<List<Ownership>> read = new CompletableFuture<>();
        readInFlight = Optional.of(read);
        // The store knows each generation that it has told anybody, so that a read that begins now covers both.
        readInFlightAs = covers(known, wanted) ? known : wanted;
        Question readAs = readInFlightAs;
        store.owners()
                .whenCompleteAsync(
                        (owners, failure) -> {
                            if (readInFlight.filter(read::equals).isPresent()) {
                                readInFlight = Optional.empty();
                            }
                            if (failure != null) {
                                read.completeExceptionally(failure);
                                return;
                            }
                            if (readAs.era() > cachedAs.era() || covers(readAs, cachedAs)) {
                                cached = List.copyOf(owners);
                                cachedAs = readAs;
                            }
                            read.complete(owners);
                        },
                        control);
        return read;
    }

    /** Returns whether what was read as of one generation is recent enough for another; across eras neither says anything. */
    private static boolean covers(Question read, Question wanted) {
        return read.era() == wanted.era() && read.generation() >= wanted.generation();
    }

    private static PeerMessage encode(List<Ownership> owners) {
        List<Object> rows = new ArrayList<>();
        owners.forEach(owner -> rows.add(Map.of("p", owner.partition(), "m", owner.member())));
        return new PeerMessage(ANSWER_TYPE, MessagePackValues.encode(Map.of("o", rows)));
    }

    /** Decodes the answer to a question. */
    public static List<Ownership> decodeAnswer(PeerMessage message) {
        return fields(message).maps("o").stream()
                .map(row -> new Ownership(row.text("p"), row.text("m")))
                .toList();
    }

    private static Fields fields(PeerMessage message) {
        try {
            return new Fields(MessagePackValues.decode(message.body()));
        } catch (MessagePackValues.MalformedValueException e) {
            throw new IllegalArgumentException("the body of a '" + message.type() + "' message is malformed", e);
        }
    }
}
