package org.agatehatch.internal.process;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiPredicate;
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
    /** Pause between two questions to a relay. With the relay's own pause, a change takes about a second. */
    static final long RELAY_PAUSE_MILLIS = 500;

    /** Time for which a node reads the store after its relay has failed it. */
    static final long AVOID_RELAY_MILLIS = 3_000;

    private static final Logger log = LoggerFactory.getLogger(RelayedTopic.class);

    /** Asks a relay for what has changed from an offset on. */
    public interface Relay extends Function<TopicMessages.Question, CompletionStage<TopicMessages.Answer>> {}

    private final String name;
    private final KeyedTopic store;
    private final Supplier<Optional<Relay>> relay;
    private final ControlThread control;
    private final MonotonicClock clock;
    private final TopicRelay read;
    private boolean relayFailed;
    private long relayFailedNanos;

    /**
     * Creates a topic of which nothing is known.
     *
     * @param relay the node to read from; empty if this node reads the store
     * @param sameMeaning whether a record only renews another one of its key
     */
    public RelayedTopic(
            String name,
            KeyedTopic store,
            Supplier<Optional<Relay>> relay,
            BiPredicate<byte[], byte[]> sameMeaning,
            ControlThread control,
            MonotonicClock clock) {
        this.name = name;
        this.store = store;
        this.relay = relay;
        this.control = control;
        this.clock = clock;
        this.read = new TopicRelay(sameMeaning, clock);
    }

    /** Returns the answer to another node's question. */
    public TopicMessages.Answer answer(long fromOffset) {
        return read.answer(fromOffset);
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
        if (source.isEmpty()) {
            return storeChanges(fromOffset, waitMillis);
        }
        CompletableFuture<Changes> result = new CompletableFuture<>();
        Runnable ask = () -> fromRelay(
                        source.get(),
                        fromOffset,
                        answer -> new Changes(
                                answer.entries(), answer.nextOffset(), answer.nextOffset(), answer.truncated()),
                        read::add,
                        () -> storeChanges(fromOffset, 0))
                .whenComplete((changes, failure) -> complete(result, changes, failure));
        if (waitMillis == 0) {
            ask.run();
        } else {
            control.schedule(Math.min(waitMillis, RELAY_PAUSE_MILLIS), ask);
        }
        return result;
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
            Function<TopicMessages.Answer, T> reader,
            java.util.function.Consumer<T> recorder,
            Supplier<CompletionStage<T>> fallback) {
        CompletableFuture<T> result = new CompletableFuture<>();
        source.apply(new TopicMessages.Question(name, fromOffset))
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
                            read.storeRead(askedNanos);
                            read.add(snapshot);
                            return snapshot;
                        },
                        control::execute);
    }

    private CompletionStage<Changes> storeChanges(long fromOffset, long waitMillis) {
        return store.changes(fromOffset, waitMillis)
                .thenApplyAsync(
                        changes -> {
                            // A read that waits is answered with what is newest at its end.
                            read.storeRead(clock.nanos());
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
