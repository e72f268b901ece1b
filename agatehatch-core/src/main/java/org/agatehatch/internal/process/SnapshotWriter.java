package org.agatehatch.internal.process;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.agatehatch.api.log.LogStreams;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.version.SnapshotCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes snapshots while this node holds the lease {@code snapshots}. Two writers at once do no harm: readers take the
 * snapshot that is furthest in the control stream.
 */
public final class SnapshotWriter {
    private static final Logger log = LoggerFactory.getLogger(SnapshotWriter.class);

    private final SnapshotStore store;
    private final ControlState state;
    private final LeaseManager leases;
    private final MonotonicClock clock;
    private final Executor worker;
    private final ControlThread control;
    private final Supplier<String> snapshotIds;
    private final Settings settings;

    private long lastOffset = -1;
    private long lastMillis;
    private boolean writing;

    /**
     * Creates a writer.
     *
     * @param worker compresses and appends, so that the control thread does not wait
     * @param snapshotIds makes random ids
     */
    public SnapshotWriter(
            SnapshotStore store,
            ControlState state,
            LeaseManager leases,
            MonotonicClock clock,
            Executor worker,
            ControlThread control,
            Supplier<String> snapshotIds,
            Settings settings) {
        this.store = store;
        this.state = state;
        this.leases = leases;
        this.clock = clock;
        this.worker = worker;
        this.control = control;
        this.snapshotIds = snapshotIds;
        this.settings = settings;
        this.lastMillis = clock.millis();
    }

    /** Starts a snapshot if one is due. To be called on the control thread, about once a second. */
    public void tick() {
        if (writing || !leases.isHeld(LogStreams.SNAPSHOTS) || !isDue()) {
            return;
        }
        writing = true;
        long throughOffset = state.state().throughOffset();
        byte[] snapshot = SnapshotCodec.encode(state.state());
        CompletionStage<Void> written = CompletableFuture.supplyAsync(
                        () -> store.write(snapshotIds.get(), throughOffset, snapshot), worker)
                .thenCompose(stage -> stage);
        written.whenComplete((ignored, error) -> control.execute(() -> end(throughOffset, snapshot.length, error)));
    }

    private boolean isDue() {
        long elapsedMillis = clock.millis() - lastMillis;
        long records = state.state().throughOffset() - lastOffset;
        if (records == 0) {
            return false;
        }
        return elapsedMillis >= settings.longestIntervalMillis()
                || (records >= settings.records() && elapsedMillis >= settings.shortestIntervalMillis());
    }

    private void end(long throughOffset, int bytes, Throwable error) {
        writing = false;
        lastMillis = clock.millis();
        if (error != null) {
            log.warn("snapshot through offset {} failed, next try later: {}", throughOffset, error.toString());
            return;
        }
        lastOffset = throughOffset;
        log.info("wrote snapshot through offset {} of {} bytes before compression", throughOffset, bytes);
    }

    /**
     * When snapshots are due.
     *
     * @param records batches of the control stream after which a snapshot is due
     * @param shortestIntervalMillis time between snapshots however many batches there are
     * @param longestIntervalMillis time after which a snapshot is due if there is any new batch
     */
    public record Settings(long records, long shortestIntervalMillis, long longestIntervalMillis) {
        private static final long RECORDS = 1_000;
        /**
         * At design size a snapshot took 0.66 MB. The planned 35 batches a second (design 4.8) would make 1,000 of them
         * every 30 s, so without this time the lease holder alone would write 22 KB/s.
         */
        private static final long SHORTEST_INTERVAL_MILLIS = 300_000;

        /** Returns the settings for a log that keeps records for a time. */
        public static Settings forRetention(long retentionMillis) {
            long longest = retentionMillis / 3;
            return new Settings(RECORDS, Math.min(SHORTEST_INTERVAL_MILLIS, longest), longest);
        }
    }
}
