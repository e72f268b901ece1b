package org.agatehatch.internal.process;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.log.AppendLog;
import org.agatehatch.api.log.LogBatch;
import org.agatehatch.api.log.LogRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads one stream of the log by long polling and passes each record to a {@link LogConsumer} once and in order.
 * Retries failed reads with exponential backoff and jitter, so that the nodes do not all reconnect to the log at the
 * same time after an outage.
 */
public final class LogTailer {
    private static final Logger log = LoggerFactory.getLogger(LogTailer.class);

    /** Records of the first page, before their size is known. */
    private static final int FIRST_RECORDS = 16;

    private final String stream;
    private final AppendLog appendLog;
    private final ControlThread control;
    private final RandomGenerator random;
    private final Settings settings;
    private final LogConsumer consumer;
    private final LogPageSize pageSize;

    private boolean running;
    /** Number of the read or recovery in flight; responses to earlier ones are ignored. */
    private long callNumber;

    private int consecutiveFailures;
    private boolean readSucceeded;

    public LogTailer(
            String stream,
            AppendLog appendLog,
            ControlThread control,
            RandomGenerator random,
            Settings settings,
            LogConsumer consumer) {
        this.stream = stream;
        this.appendLog = appendLog;
        this.control = control;
        this.random = random;
        this.settings = settings;
        this.consumer = consumer;
        this.pageSize = new LogPageSize(FIRST_RECORDS, settings.maxRecords());
    }

    /** Starts reading at the consumer's next offset. */
    public void start() {
        control.execute(() -> {
            if (!running) {
                running = true;
                readNext();
            }
        });
    }

    /** Stops reading; the response to a read in flight is ignored. */
    public void stop() {
        control.execute(() -> {
            running = false;
            callNumber++;
        });
    }

    /** Returns how many reads failed since the last successful one. Must be called on the control thread. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    private void readNext() {
        if (!running) {
            return;
        }
        // The first read reports where the log ends, so it must not wait for a record.
        long waitMillis = readSucceeded ? settings.waitMillis() : 0;
        await(
                () -> appendLog.read(stream, consumer.nextOffset(), pageSize.records(), Duration.ofMillis(waitMillis)),
                waitMillis + settings.answerTimeoutMillis(),
                this::handleBatch,
                this::onReadFailed);
    }

    private void handleBatch(LogBatch batch) {
        long next = consumer.nextOffset();
        if (batch.endOffset() < next) {
            fail(new AgatehatchException(
                    ErrorCode.LOG_UNAVAILABLE,
                    "tail",
                    stream,
                    Outcome.UNKNOWN,
                    "stream " + stream + " ends at offset " + batch.endOffset() + ", but the next offset to read is "
                            + next + "; check that the log was not replaced"));
            return;
        }
        if (batch.oldestOffset() > next) {
            log.warn(
                    "stream {}: oldest kept record is {}, next record to read is {}; loading a snapshot",
                    stream,
                    batch.oldestOffset(),
                    next);
            await(
                    () -> consumer.recoverFromGap(batch.oldestOffset()),
                    settings.recoveryTimeoutMillis(),
                    ignored -> endRecovery(batch.oldestOffset()),
                    this::fail);
            return;
        }
        for (LogRecord record : batch.records()) {
            if (record.offset() == consumer.nextOffset()) {
                consumer.apply(record);
            }
        }
        pageSize.onRead(batch);
        consecutiveFailures = 0;
        readSucceeded = true;
        consumer.onBatchRead(batch);
        readNext();
    }

    private void endRecovery(long oldestOffset) {
        if (consumer.nextOffset() >= oldestOffset) {
            readNext();
            return;
        }
        fail(new AgatehatchException(
                ErrorCode.LOG_UNAVAILABLE,
                "tail",
                stream,
                Outcome.UNKNOWN,
                "log gap in stream " + stream + ": oldest kept record " + oldestOffset + ", need "
                        + consumer.nextOffset() + "; waiting for a newer snapshot or a peer"));
    }

    private void onReadFailed(Throwable cause) {
        // The answer may have been too large for the time-out.
        pageSize.onFailure();
        fail(cause);
    }

    private void fail(Throwable cause) {
        consecutiveFailures++;
        consumer.onReadFailed(cause);
        long backoffMillis = Backoff.millis(
                consecutiveFailures, settings.initialBackoffMillis(), settings.maxBackoffMillis(), random);
        log.warn(
                "stream {}: {} consecutive reads failed, retrying in {} ms: {}",
                stream,
                consecutiveFailures,
                backoffMillis,
                cause.toString());
        long thisCall = callNumber;
        control.schedule(backoffMillis, () -> {
            if (thisCall == callNumber) {
                readNext();
            }
        });
    }

    private <T> void await(
            Supplier<CompletionStage<T>> call,
            long timeoutMillis,
            Consumer<T> onSuccess,
            Consumer<Throwable> onFailure) {
        long thisCall = ++callNumber;
        ControlThread.ScheduledTask timeout = control.schedule(timeoutMillis, () -> {
            if (thisCall == callNumber) {
                callNumber++;
                onFailure.accept(new AgatehatchException(
                        ErrorCode.LOG_UNAVAILABLE,
                        "tail",
                        stream,
                        Outcome.UNKNOWN,
                        "no answer from the log within " + timeoutMillis + " ms; check the network path to it"));
            }
        });
        startCall(call)
                .whenComplete((result, error) -> control.execute(() -> {
                    if (thisCall != callNumber) {
                        return;
                    }
                    timeout.cancel();
                    callNumber++;
                    if (error == null) {
                        onSuccess.accept(result);
                    } else {
                        onFailure.accept(error);
                    }
                }));
    }

    // A client may throw instead of returning a failed stage; both count as a failed read.
    private static <T> CompletionStage<T> startCall(Supplier<CompletionStage<T>> call) {
        try {
            return call.get();
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /**
     * Time-outs and sizes of reads.
     *
     * @param maxRecords maximum number of records per read
     * @param waitMillis long-poll timeout: maximum time for which the log holds a read without records
     * @param answerTimeoutMillis time beyond {@code waitMillis} after which a read counts as failed even if the log's client has
     *     not given it up, which it does much earlier if no more of the answer arrives
     * @param recoveryTimeoutMillis maximum time for loading a snapshot
     */
    public record Settings(
            int maxRecords,
            long waitMillis,
            long answerTimeoutMillis,
            long recoveryTimeoutMillis,
            long initialBackoffMillis,
            long maxBackoffMillis) {
        /** Production settings: a long poll of 5 s, and a backoff from 200 ms to 5 s. */
        public static final Settings DEFAULT = new Settings(256, 5_000, 30_000, 30_000, 200, 5_000);
    }
}
