package org.agatehatch.internal.process;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.agatehatch.api.fleet.KeyedTopic;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A keyed topic that a few nodes, the relays, read from the store, and the other nodes read from a relay. A node
 * whose relay does not respond or is not current reads the store itself for a while. Runs on the control thread.
 */
public final class RelayedTopic implements KeyedTopic {
    /**
     * Delay that replaces the long poll in a group with relays. A change reaches a reader after at most two delays:
     * that of its relay and its own.
     */
    static final long POLL_INTERVAL_MILLIS = 500;

    /** Time for which a node reads the store after a read from its relay has failed. */
    static final long AVOID_RELAY_MILLIS = 3_000;

    private static final Logger log = LoggerFactory.getLogger(RelayedTopic.class);

    /** Size from which a read is logged. */
    private static final int LARGE_READ_BYTES = 64 * 1024;

    /** Requests the changes from an offset on from a relay. */
    public interface Relay extends Function<TopicMessages.Request, CompletionStage<TopicMessages.Response>> {}

    private final String name;
    private final KeyedTopic store;
    private final Supplier<Optional<Relay>> relay;
    private final BooleanSupplier usesRelays;
    private final ControlThread control;
    private final MonotonicClock clock;
    private final TopicRelayCache cache;
    private final ValueDeflater deflater = new ValueDeflater();
    private boolean relayFailed;
    private long relayFailedNanos;

    /**
     * Creates a topic of which no record has been read yet.
     *
     * @param relay supplies the relay to read from; empty if this node reads the store
     * @param usesRelays whether the group has relays; reads of the store then do not wait for changes, since the age
     *     of a relay's cache would be unknown during a long poll
     * @param sameMeaning whether a new value of a key has the same meaning as the old one, so that its record is only
     *     a renewal
     */
    public RelayedTopic(
            String name,
            KeyedTopic store,
            Supplier<Optional<Relay>> relay,
            BooleanSupplier usesRelays,
            BiPredicate<byte[], byte[]> sameMeaning,
            ControlThread control,
            MonotonicClock clock) {
        this.name = name;
        this.store = store;
        this.relay = relay;
        this.usesRelays = usesRelays;
        this.control = control;
        this.clock = clock;
        this.cache = new TopicRelayCache(sameMeaning, clock);
    }

    /** Returns the response to another node's request. */
    TopicMessages.Response respond(TopicMessages.Request request) {
        return cache.respond(request.era(), request.fromOffset());
    }

    /** Returns the response to another node's request as a message. */
    public PeerMessage answer(TopicMessages.Request request) {
        TopicMessages.Response response = respond(request);
        return request.acceptsDeflated()
                ? TopicMessages.encodeDeflated(response, deflater)
                : TopicMessages.encode(response);
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
                response ->
                        new Snapshot(response.entries(), response.nextOffset(), response.era(), response.ageMillis()),
                cache::add,
                this::storeSnapshot);
    }

    @Override
    public CompletionStage<Changes> changes(long fromOffset, long waitMillis) {
        Optional<Relay> source = usableRelay();
        if (source.isEmpty() && !usesRelays.getAsBoolean()) {
            return storeChanges(fromOffset, waitMillis);
        }
        Supplier<CompletionStage<Changes>> store = () -> storeChanges(fromOffset, 0);
        Supplier<CompletionStage<Changes>> poll =
                source.map(node -> relayChanges(node, fromOffset, store)).orElse(store);
        if (waitMillis == 0) {
            return poll.get();
        }
        CompletableFuture<Changes> result = new CompletableFuture<>();
        control.schedule(
                Math.min(waitMillis, POLL_INTERVAL_MILLIS),
                () -> poll.get().whenComplete((changes, failure) -> complete(result, changes, failure)));
        return result;
    }

    private Supplier<CompletionStage<Changes>> relayChanges(
            Relay source, long fromOffset, Supplier<CompletionStage<Changes>> fallback) {
        return () -> fromRelay(
                source,
                fromOffset,
                response -> new Changes(
                        response.entries(),
                        response.nextOffset(),
                        response.nextOffset(),
                        response.truncated(),
                        response.era(),
                        response.ageMillis()),
                cache::add,
                fallback);
    }

    @Override
    public CompletionStage<AppendResult> appendAt(String key, byte[] value, long expectedEnd) {
        return store.appendAt(key, value, expectedEnd);
    }

    private Optional<Relay> usableRelay() {
        boolean avoided = relayFailed && (clock.nanos() - relayFailedNanos) / 1_000_000 < AVOID_RELAY_MILLIS;
        return avoided ? Optional.empty() : relay.get();
    }

    private <T> CompletionStage<T> fromRelay(
            Relay source,
            long fromOffset,
            Function<TopicMessages.Response, T> converter,
            Consumer<T> cacheUpdate,
            Supplier<CompletionStage<T>> fallback) {
        CompletableFuture<T> result = new CompletableFuture<>();
        long sentNanos = clock.nanos();
        source.apply(new TopicMessages.Request(name, cache.era(), fromOffset))
                .whenComplete((response, failure) -> control.execute(() -> {
                    if (failure == null && response.current()) {
                        logRead("relay", sentNanos, fromOffset, response.entries(), response.nextOffset());
                        T value = converter.apply(response);
                        cacheUpdate.accept(value);
                        result.complete(value);
                        return;
                    }
                    onRelayFailure(failure);
                    fallback.get().whenComplete((value, storeFailure) -> complete(result, value, storeFailure));
                }));
        return result;
    }

    private void logRead(String source, long sentNanos, long fromOffset, List<Entry> entries, long nextOffset) {
        long bytes = entries.stream()
                .mapToLong(entry -> entry.value().map(value -> value.length).orElse(0))
                .sum();
        if (bytes >= LARGE_READ_BYTES) {
            log.info(
                    "event=large_topic_read topic={} source={} from={} next={} entries={} bytes={} took_ms={}",
                    name,
                    source,
                    fromOffset,
                    nextOffset,
                    entries.size(),
                    bytes,
                    (clock.nanos() - sentNanos) / 1_000_000);
        }
    }

    private void onRelayFailure(Throwable failure) {
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
        long sentNanos = clock.nanos();
        return store.snapshot()
                .thenApplyAsync(
                        snapshot -> {
                            logRead("store", sentNanos, -1, snapshot.entries(), snapshot.endOffset());
                            if (cache.add(snapshot)) {
                                cache.onStoreRead(sentNanos);
                            }
                            return snapshot;
                        },
                        control::execute);
    }

    private CompletionStage<Changes> storeChanges(long fromOffset, long waitMillis) {
        long sentNanos = clock.nanos();
        return store.changes(fromOffset, waitMillis)
                .thenApplyAsync(
                        changes -> {
                            logRead("store", sentNanos, fromOffset, changes.entries(), changes.nextOffset());
                            if (cache.add(changes)) {
                                // A node that was frozen may take an answer from long before for a new one.
                                cache.onStoreRead(
                                        sentNanos + Math.min(clock.nanos() - sentNanos, waitMillis * 1_000_000));
                            }
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
