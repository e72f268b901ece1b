package org.agatehatch.internal.process;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.log.AppendLog;
import org.agatehatch.api.log.LogBatch;
import org.agatehatch.api.log.LogRecord;
import org.agatehatch.api.log.LogStreams;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Tails the log stream {@code accounts} into an {@link AccountLedger}. While this node holds the lease
 * {@code accounts}, the tailer also writes checkpoints: it appends the latest record of each incarnation again before
 * the log's retention drops it. Two lease holders at the same time do no harm, because merging a record is idempotent.
 *
 * <p>All methods must be called on the executor's thread.
 */
public final class AccountLogTailer {
    private static final int FIRST_READ_RECORDS = 16;
    private static final int READ_BATCH_RECORDS = 256;
    private static final int CHECKPOINTS_PER_RETENTION = 4;

    /** Maximum number of records in one append. A record with a few dozen owners is about 1 KiB. */
    private static final int RECORDS_PER_APPEND = 64;

    private final AppendLog log;
    private final MonotonicClock clock;
    private final BooleanSupplier holdsLease;
    private final Executor executor;
    private final long logRetentionMillis;
    private final long pollIntervalMillis;
    private final AccountLedger ledger = new AccountLedger();
    private final LogPageSize pageSize = new LogPageSize(FIRST_READ_RECORDS, READ_BATCH_RECORDS);
    private final Deque<List<AccountRecord>> checkpointParts = new ArrayDeque<>();
    private long nextOffset;
    private long droppedRecords;
    private long malformedRecords;
    private long lastReadStartMillis;
    private long lastCheckpointMillis;
    private boolean reading;
    private boolean appending;

    /**
     * Creates a tailer that starts to read on its first tick.
     *
     * @param holdsLease whether this node currently holds the lease {@code accounts}
     * @param logRetentionMillis how long the log keeps records; a checkpoint is written every quarter of this time
     * @param pollIntervalMillis interval between reads
     */
    public AccountLogTailer(
            AppendLog log,
            MonotonicClock clock,
            BooleanSupplier holdsLease,
            Executor executor,
            long logRetentionMillis,
            long pollIntervalMillis) {
        this.log = log;
        this.clock = clock;
        this.holdsLease = holdsLease;
        this.executor = executor;
        this.logRetentionMillis = logRetentionMillis;
        this.pollIntervalMillis = pollIntervalMillis;
        this.lastReadStartMillis = clock.millis() - pollIntervalMillis;
        this.lastCheckpointMillis = clock.millis();
    }

    /** Reads new records and appends a pending part of a checkpoint. Must be called at least once per poll interval. */
    public void tick() {
        long nowMillis = clock.millis();
        if (!reading && nowMillis - lastReadStartMillis >= pollIntervalMillis) {
            read(nowMillis);
        }
        if (!holdsLease.getAsBoolean()) {
            checkpointParts.clear();
            return;
        }
        if (nowMillis - lastCheckpointMillis >= logRetentionMillis / CHECKPOINTS_PER_RETENTION) {
            lastCheckpointMillis = nowMillis;
            queueCheckpoint(ledger.latestRecords());
        }
        appendCheckpointPart();
    }

    /** Returns the ledger of all records read so far. Callers may merge records from peer digests into it. */
    public AccountLedger ledger() {
        return ledger;
    }

    /** Returns the number of records that the log dropped before this tailer read them. */
    public long droppedRecords() {
        return droppedRecords;
    }

    /** Returns the number of records that could not be decoded and were skipped. */
    public long malformedRecords() {
        return malformedRecords;
    }

    private void read(long nowMillis) {
        reading = true;
        lastReadStartMillis = nowMillis;
        call(() -> log.read(LogStreams.ACCOUNTS, nextOffset, pageSize.records(), Duration.ZERO))
                .whenCompleteAsync(this::onRead, executor);
    }

    private void onRead(LogBatch batch, Throwable failure) {
        reading = false;
        if (failure != null) {
            // The answer may have been too large for the time-out.
            pageSize.onFailure();
            return;
        }
        pageSize.onRead(batch);
        droppedRecords += Math.max(0, batch.oldestOffset() - nextOffset);
        nextOffset = Math.max(nextOffset, batch.oldestOffset());
        for (LogRecord record : batch.records()) {
            if (record.offset() >= nextOffset) {
                merge(record);
                nextOffset = record.offset() + 1;
            }
        }
        if (nextOffset < batch.endOffset() && !batch.records().isEmpty()) {
            read(clock.millis());
        }
    }

    private void merge(LogRecord record) {
        try {
            AccountRecordCodec.decode(record.payload()).forEach(ledger::merge);
        } catch (AgatehatchException malformed) {
            malformedRecords++;
        }
    }

    private void queueCheckpoint(List<AccountRecord> records) {
        checkpointParts.clear();
        for (int from = 0; from < records.size(); from += RECORDS_PER_APPEND) {
            int to = Math.min(records.size(), from + RECORDS_PER_APPEND);
            checkpointParts.add(new ArrayList<>(records.subList(from, to)));
        }
    }

    private void appendCheckpointPart() {
        if (appending || checkpointParts.isEmpty()) {
            return;
        }
        appending = true;
        List<AccountRecord> part = checkpointParts.peek();
        call(() -> log.append(LogStreams.ACCOUNTS, AccountRecordCodec.encode(part)))
                .whenCompleteAsync(
                        (offset, failure) -> {
                            appending = false;
                            if (failure == null) {
                                checkpointParts.remove(part);
                            }
                        },
                        executor);
    }

    private static <T> CompletionStage<T> call(Supplier<CompletionStage<T>> operation) {
        try {
            return operation.get();
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }
}
