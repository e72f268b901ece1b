package org.agatehatch.internal.process;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.agatehatch.api.fleet.KeyedTopic;
import org.agatehatch.api.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A keyed topic that a few nodes read from the store, and the others from those nodes. A node whose relay does not answer, or
 * is behind, reads the store itself for a while. Runs on the control thread.
 */
public final class RelayedTopic implements KeyedTopic {
    /** Pause that takes the place of a waiting read in a large group. A change takes two pauses at most. */
    static final long POLL_INTERVAL_MILLIS = 500;

    /** Time for which a node reads the store after its relay has failed it. */
    static final long AVOID_RELAY_MILLIS = 3_000;

    private static final Logger log = LoggerFactory.getLogger(RelayedTopic.class);

    /** Asks a relay for what has changed from an offset on. */
    public interface Relay extends Function<TopicMessages.Request, CompletionStage<TopicMessages.Response>> {}

    private final String name;
    private final KeyedTopic store;
    private final Supplier<Optional<Relay>> relay;
    private final BooleanSupplier relaying;
    private final ControlThread control;
    private final MonotonicClock clock;
    private final TopicRelayCache read;
    private boolean relayFailed;
    private long relayFailedNanos;

    /**
     * Creates a topic of which nothing is known.
     *
     * @param relay the node to read from; empty if this node reads the store
     * @param relaying whether the group has relays; reads of the store then don't wait, since an answer that is being
     *     waited for would leave the relay's knowledge of unknown age
     * @param sameMeaning whether a record only renews another one of its key
     */
    public RelayedTopic(
            String name,
            KeyedTopic store,
            Supplier<Optional<Relay>> relay,
            BooleanSupplier relaying,
            BiPredicate<byte[], byte[]> sameMeaning,
            ControlThread control,
            MonotonicClock clock) {
        this.name = name;
        this.store = store;
        this.relay = relay;
        this.relaying = relaying;
        this.control = control;
        this.clock = clock;
        this.read = new TopicRelayCache(sameMeaning, clock);
    }

    /** Returns the answer to another node's question. */
    public TopicMessages.Response respond(long fromOffset) {
        return read.respond(fromOffset);
    }

    @Override
    public CompletionStage<Snapshot> snapshot() {
        Optional<Relay> source = usableRelay();
        if (source.isEmpty()) {
            return storeSnapshot();
        }
        return fromRelay(
                source.get(),
                -1,
                answer -> new Snapshot(answer.entries(), answer.nextOffset()),
                read::add,
                this::storeSnapshot);
    }

    @Override
    public CompletionStage<Changes> changes(long fromOffset, long waitMillis) {
        Optional<Relay> source = usableRelay();
        if (source.isEmpty() && !relaying.getAsBoolean()) {
            return storeChanges(fromOffset, waitMillis);
        }
        Supplier<CompletionStage<Changes>> store = () -> storeChanges(fromOffset, 0);
        Supplier<CompletionStage<Changes>> ask =
                source.map(from -> relayChanges(from, fromOffset, store)).orElse(store);
        if (waitMillis == 0) {
            return ask.get();
        }
        CompletableFuture<Changes> result = new CompletableFuture<>();
        control.schedule(
                Math.min(waitMillis, POLL_INTERVAL_MILLIS),
                () -> ask.get().whenComplete((changes, failure) -> complete(result, changes, failure)));
        return result;
    }

    private Supplier<CompletionStage<Changes>> relayChanges(
            Relay source, long fromOffset, Supplier<CompletionStage<Changes>> fallback) {
        return () -> fromRelay(
                source,
                fromOffset,
                answer -> new Changes(answer.entries(), answer.nextOffset(), answer.nextOffset(), answer.truncated()),
                read::add,
                fallback);
    }

    @Override
    public CompletionStage<Boolean> appendAt(String key, byte[] value, long expectedEnd) {
        return store.appendAt(key, value, expectedEnd);
    }

    private Optional<Relay> usableRelay() {
        boolean avoided = relayFailed && (clock.nanos() - relayFailedNanos) / 1_000_000 < AVOID_RELAY_MILLIS;
        return avoided ? Optional.empty() : relay.get();
    }

    private <T> CompletionStage<T> fromRelay(
            Relay source,
            long fromOffset,
            Function<TopicMessages.Response, T> reader,
            Consumer<T> recorder,
            Supplier<CompletionStage<T>> fallback) {
        CompletableFuture<T> result = new CompletableFuture<>();
        source.apply(new TopicMessages.Request(name, fromOffset))
                .whenComplete((answer, failure) -> control.execute(() -> {
                    if (failure == null && answer.current()) {
                        T value = reader.apply(answer);
                        recorder.accept(value);
                        result.complete(value);
                        return;
                    }
                    noteFailure(failure);
                    fallback.get().whenComplete((value, storeFailure) -> complete(result, value, storeFailure));
                }));
        return result;
    }

    private void noteFailure(Throwable failure) {
        if (!relayFailed) {
            log.info(
                    "event=relay_avoided topic={} for_ms={} cause=\"{}\"",
                    name,
                    AVOID_RELAY_MILLIS,
                    failure == null ? "not current" : failure.getMessage());
        }
        relayFailed = true;
        relayFailedNanos = clock.nanos();
    }

    private CompletionStage<Snapshot> storeSnapshot() {
        long askedNanos = clock.nanos();
        return store.snapshot()
                .thenApplyAsync(
                        snapshot -> {
                            read.onStoreRead(askedNanos);
                            read.add(snapshot);
                            return snapshot;
                        },
                        control::execute);
    }

    private CompletionStage<Changes> storeChanges(long fromOffset, long waitMillis) {
        long askedNanos = clock.nanos();
        return store.changes(fromOffset, waitMillis)
                .thenApplyAsync(
                        changes -> {
                            read.onStoreRead(waitMillis > 0 ? clock.nanos() : askedNanos);
                            read.add(changes);
                            relayFailed = relayFailed && usableRelay().isEmpty();
                            return changes;
                        },
                        control::execute);
    }

    private static <T> void complete(CompletableFuture<T> result, T value, Throwable failure) {
        if (failure == null) {
            result.complete(value);
        } else {
            result.completeExceptionally(failure);
        }
    }
}
