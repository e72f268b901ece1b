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
 * Follows the stream of accounts. While this node holds the lease {@code accounts}, it also appends the records that
 * count again before the log drops them. Two holders at once do no harm, since merging a record twice changes nothing.
 *
 * <p>All methods are called on the thread of the executor.
 */
public final class AccountLogTailer {
    private static final int READ_BATCH_RECORDS = 256;
    private static final int CHECKPOINTS_PER_RETENTION = 4;

    /** Records of one append; a record of an incarnation with some dozen owners has about 1 KiB. */
    private static final int RECORDS_PER_APPEND = 64;

    private final AppendLog log;
    private final MonotonicClock clock;
    private final BooleanSupplier holdsLease;
    private final Executor executor;
    private final long logRetentionMillis;
    private final long pollIntervalMillis;
    private final AccountLedger ledger = new AccountLedger();
    private final Deque<List<AccountRecord>> checkpointParts = new ArrayDeque<>();
    private long nextOffset;
    private long droppedRecords;
    private long malformedRecords;
    private long lastReadStartMillis;
    private long lastCheckpointMillis;
    private boolean reading;
    private boolean appending;

    /**
     * Creates a book that starts reading with its first tick.
     *
     * @param holdsLease whether this node holds the lease now
     * @param logRetentionMillis how long the log keeps records; checkpoints are written four times as often
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

    /** Reads what is new, and appends a part of a checkpoint if one is due. Called at least once per poll time. */
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

    /** Returns the accounts as they were read. Records from the digest may be merged into them. */
    public AccountLedger ledger() {
        return ledger;
    }

    /** Returns the number of records that the log dropped before they were read. */
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
        call(() -> log.read(LogStreams.ACCOUNTS, nextOffset, READ_BATCH_RECORDS, Duration.ZERO))
                .whenCompleteAsync(this::onRead, executor);
    }

    private void onRead(LogBatch batch, Throwable failure) {
        reading = false;
        if (failure != null) {
            return;
        }
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
