package org.agatehatch.internal.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import org.agatehatch.api.fleet.RecordLog;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.process.InputGuard;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Remembers where resumable streams began, so that a caller that goes on with one, at any node and also after all nodes have
 * restarted, gets a server of the same service and software version. A node that takes up a stream it does not know asks the
 * others. The streams of a service that may have more than one version are also appended to a log of the store, because the
 * memory of the nodes may be lost; without a record, a service's only version is the version of all its streams. Runs on one
 * executor.
 */
public final class StreamOrigins {
    /** Streams last some seconds; a node begins few resumable ones in a second. */
    private static final int MAX_ORIGINS = 20_000;

    private static final Logger log = LoggerFactory.getLogger(StreamOrigins.class);

    /** The service and the version of the software of the server that began a stream. */
    public record Origin(String service, String softwareVersion) {}

    /** The other nodes. */
    @FunctionalInterface
    public interface Peers {
        /** Completes with the origin of the stream that a caller's attempt began, if another node remembers it. */
        CompletionStage<Optional<Origin>> originOf(String attemptId);
    }

    /** The software versions that this node has seen. */
    @FunctionalInterface
    public interface VersionHistory {
        /** Returns whether this node saw the service for this whole span of time until now, and one version only. */
        boolean hadOneVersion(String service, long spanMillis);
    }

    /** A stream of this node of which the store has no record; it can be taken up until {@code endsMillis}. */
    private record Unrecorded(String attemptId, Origin origin, long spanMillis, long endsMillis) {}

    private final RecordLog shared;
    private final Peers peers;
    private final VersionHistory versions;
    private final MonotonicClock clock;
    private final Executor executor;
    private final InputGuard guard = new InputGuard("stream_origin");
    private final Map<String, Origin> origins = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Origin> eldest) {
            return size() > MAX_ORIGINS;
        }
    };
    private final ArrayDeque<Unrecorded> unrecorded = new ArrayDeque<>();
    private List<Unrecorded> waitingForAppend = new ArrayList<>();
    private boolean appendInFlight;
    private long era;
    private long nextOffset;
    private Optional<CompletableFuture<Void>> readInFlight = Optional.empty();

    /**
     * Creates an instance that remembers no stream.
     *
     * @param peers asks the other nodes for a stream of which the log has no record
     * @param versions tells in which services a stream without a record could have begun at several versions
     */
    public StreamOrigins(
            RecordLog shared, Peers peers, VersionHistory versions, MonotonicClock clock, Executor executor) {
        this.shared = shared;
        this.peers = peers;
        this.versions = versions;
        this.clock = clock;
        this.executor = executor;
    }

    /**
     * Remembers that the first event of a caller's attempt came from a server of this origin.
     *
     * @param spanMillis time for which the stream may be taken up
     */
    public void begun(String attemptId, Origin origin, long spanMillis) {
        origins.put(attemptId, origin);
        Unrecorded stream = new Unrecorded(attemptId, origin, spanMillis, clock.millis() + spanMillis);
        if (versions.hadOneVersion(origin.service(), spanMillis)) {
            unrecorded.add(stream);
            dropEnded();
        } else {
            record(List.of(stream));
        }
    }

    /** Records the streams of the services of which this node has seen a further version. */
    public void onVersionsSeen() {
        dropEnded();
        List<Unrecorded> ambiguous = unrecorded.stream()
                .filter(stream -> !versions.hadOneVersion(stream.origin().service(), stream.spanMillis()))
                .toList();
        if (!ambiguous.isEmpty()) {
            unrecorded.removeAll(new HashSet<>(ambiguous));
            log.info("event=stream_origins_recorded streams={}", ambiguous.size());
            record(ambiguous);
        }
    }

    private void dropEnded() {
        long nowMillis = clock.millis();
        while (!unrecorded.isEmpty()
                && (unrecorded.size() > MAX_ORIGINS || unrecorded.peek().endsMillis() <= nowMillis)) {
            unrecorded.poll();
        }
    }

    private void record(List<Unrecorded> streams) {
        waitingForAppend.addAll(streams);
        appendWaiting();
    }

    /** Appends all that waits in one call, since calls are limited and priced; one call is in flight at a time. */
    private void appendWaiting() {
        if (appendInFlight || waitingForAppend.isEmpty()) {
            return;
        }
        List<Unrecorded> batch = waitingForAppend;
        waitingForAppend = new ArrayList<>();
        appendInFlight = true;
        shared.append(batch.stream()
                        .map(stream -> encode(stream.attemptId(), stream.origin()))
                        .toList())
                .whenCompleteAsync((done, failure) -> onAppended(batch, failure), executor);
    }

    private void onAppended(List<Unrecorded> batch, Throwable failure) {
        appendInFlight = false;
        if (failure == null) {
            appendWaiting();
            return;
        }
        log.info("event=stream_origins_not_shared streams={} cause={}", batch.size(), failure.toString());
        // They go with the next append; the store may be away for longer than a stream lasts.
        long nowMillis = clock.millis();
        batch.stream().filter(stream -> stream.endsMillis() > nowMillis).forEach(waitingForAppend::add);
        if (waitingForAppend.size() > MAX_ORIGINS) {
            waitingForAppend.subList(0, waitingForAppend.size() - MAX_ORIGINS).clear();
        }
    }

    /** Completes with the origin of the stream that a caller's attempt began; empty if it is not known. */
    public CompletionStage<Optional<Origin>> originOf(String attemptId) {
        if (attemptId.isEmpty() || origins.containsKey(attemptId)) {
            return CompletableFuture.completedFuture(Optional.ofNullable(origins.get(attemptId)));
        }
        // A read that began earlier may have missed the record.
        CompletionStage<Void> earlier = readInFlight
                .<CompletionStage<Void>>map(read -> read.handle((done, failure) -> null))
                .orElse(CompletableFuture.completedFuture(null));
        return earlier.thenCompose(ignored -> readInFlight.orElseGet(this::startRead))
                .handle((done, failure) -> {
                    if (failure != null) {
                        log.info("event=stream_origins_not_read cause={}", failure.toString());
                    }
                    return remembered(attemptId);
                })
                .thenCompose(
                        known -> known.isPresent() ? CompletableFuture.completedFuture(known) : askPeers(attemptId));
    }

    /** Returns the origin of a stream if this node knows it without asking. */
    public Optional<Origin> remembered(String attemptId) {
        return Optional.ofNullable(origins.get(attemptId));
    }

    private CompletionStage<Optional<Origin>> askPeers(String attemptId) {
        return peers.originOf(attemptId)
                .thenApplyAsync(
                        origin -> {
                            origin.ifPresent(found -> origins.put(attemptId, found));
                            return origin;
                        },
                        executor);
    }

    private CompletableFuture<Void> startRead() {
        CompletableFuture<Void> read = new CompletableFuture<>();
        readInFlight = Optional.of(read);
        readOn(read);
        return read;
    }

    private void readOn(CompletableFuture<Void> read) {
        shared.read(nextOffset).whenCompleteAsync((batch, failure) -> onBatch(read, batch, failure), executor);
    }

    private void onBatch(CompletableFuture<Void> read, RecordLog.Batch batch, Throwable failure) {
        if (failure != null) {
            readInFlight = Optional.empty();
            read.completeExceptionally(failure);
            return;
        }
        batch.records().forEach(record -> guard.run("record", () -> add(record)));
        boolean newEra = batch.era() != era && nextOffset > 0;
        era = batch.era();
        // Records of a new era may stand below the position in the old one.
        nextOffset = newEra ? 0 : batch.nextOffset();
        if (newEra || nextOffset < batch.endOffset()) {
            readOn(read);
            return;
        }
        readInFlight = Optional.empty();
        read.complete(null);
    }

    private void add(byte[] record) {
        String[] fields = new String(record, StandardCharsets.UTF_8).split("\n", -1);
        if (fields.length != 3) {
            guard.reportUnusable("record", record.length + " bytes that are no stream's origin");
            return;
        }
        origins.put(fields[0], new Origin(fields[1], fields[2]));
    }

    private static byte[] encode(String attemptId, Origin origin) {
        return String.join("\n", attemptId, origin.service(), origin.softwareVersion())
                .getBytes(StandardCharsets.UTF_8);
    }
}
