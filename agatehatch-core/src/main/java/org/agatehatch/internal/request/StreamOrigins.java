package org.agatehatch.internal.request;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import org.agatehatch.api.fleet.RecordLog;
import org.agatehatch.internal.process.InputGuard;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Remembers where resumable streams began, so that a caller that goes on with one, at any node and also after all nodes have
 * restarted, gets a server of the same service and software version. Each node appends the streams that it begins to a log of
 * the store, and reads what the others appended when a caller asks for a stream that it does not know. Runs on one executor.
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

    private final RecordLog shared;
    private final Peers peers;
    private final Executor executor;
    private final InputGuard guard = new InputGuard("stream_origin");
    private final Map<String, Origin> origins = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Origin> eldest) {
            return size() > MAX_ORIGINS;
        }
    };
    private long era;
    private long nextOffset;
    private Optional<CompletableFuture<Void>> readInFlight = Optional.empty();

    /**
     * Creates an instance that remembers no stream.
     *
     * @param peers asks the other nodes for a stream of which the log has no record
     */
    public StreamOrigins(RecordLog shared, Peers peers, Executor executor) {
        this.shared = shared;
        this.peers = peers;
        this.executor = executor;
    }

    /** Records that the first event of a caller's attempt came from a server of this origin. */
    public void begun(String attemptId, Origin origin) {
        origins.put(attemptId, origin);
        shared.append(encode(attemptId, origin)).whenComplete((done, failure) -> {
            if (failure != null) {
                log.info("event=stream_origin_not_shared id={} cause={}", attemptId, failure.toString());
            }
        });
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
