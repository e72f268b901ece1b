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
 * Writes snapshots while this node holds the lease {@code snapshots}. Concurrent writers are harmless: readers use
 * the snapshot that covers the highest offset of the control stream.
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
     * @param worker compresses and appends the snapshot, so that the control thread is not blocked
     * @param snapshotIds generates random snapshot ids
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

    /** Starts to write a snapshot if one is due. Must be called on the control thread, about once a second. */
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
        written.whenComplete(
                (ignored, error) -> control.execute(() -> onWritten(throughOffset, snapshot.length, error)));
    }

    private boolean isDue() {
        long elapsedMillis = clock.millis() - lastMillis;
        long records = state.state().throughOffset() - lastOffset;
        if (records == 0) {
            return false;
        }
        return elapsedMillis >= settings.maxIntervalMillis()
                || (records >= settings.recordThreshold() && elapsedMillis >= settings.minIntervalMillis());
    }

    private void onWritten(long throughOffset, int bytes, Throwable error) {
        writing = false;
        lastMillis = clock.millis();
        if (error != null) {
            log.warn(
                    "writing the snapshot through offset {} failed, retrying when the next snapshot is due: {}",
                    throughOffset,
                    error.toString());
            return;
        }
        lastOffset = throughOffset;
        log.info("wrote snapshot through offset {}, {} bytes before compression", throughOffset, bytes);
    }

    /**
     * Determines when a snapshot is due.
     *
     * @param recordThreshold number of new batches of the control stream after which a snapshot is due
     * @param minIntervalMillis minimum time between snapshots, however many batches were appended
     * @param maxIntervalMillis time after which a snapshot is due if there is any new batch
     */
    public record Settings(long recordThreshold, long minIntervalMillis, long maxIntervalMillis) {
        private static final long RECORD_THRESHOLD = 1_000;
        /**
         * At design size a snapshot took 0.66 MB. The planned 35 batches per second (design section 4.8) reach 1,000
         * batches every 30 s, so without this minimum the lease holder alone would write 22 KB/s.
         */
        private static final long MIN_INTERVAL_MILLIS = 300_000;

        /** Returns the settings for a log that retains records for the given time. */
        public static Settings forRetention(long retentionMillis) {
            long maxIntervalMillis = retentionMillis / 3;
            return new Settings(RECORD_THRESHOLD, Math.min(MIN_INTERVAL_MILLIS, maxIntervalMillis), maxIntervalMillis);
        }
    }
}
