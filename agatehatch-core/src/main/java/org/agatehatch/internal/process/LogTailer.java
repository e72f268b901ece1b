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
 * Reads one stream of the log by long poll and feeds it to a target in order, each record once. Survives outages: waits
 * between failed reads, longer each time and with jitter, so that nodes do not return to the log all at once.
 */
public final class LogTailer {
    private static final Logger log = LoggerFactory.getLogger(LogTailer.class);

    private final String stream;
    private final AppendLog appendLog;
    private final ControlThread control;
    private final RandomGenerator random;
    private final Settings settings;
    private final LogConsumer target;

    private boolean running;
    /** Number of the read or recovery that is awaited; answers to earlier ones are ignored. */
    private long step;

    private int consecutiveFailures;
    private boolean answered;

    public LogTailer(
            String stream,
            AppendLog appendLog,
            ControlThread control,
            RandomGenerator random,
            Settings settings,
            LogConsumer target) {
        this.stream = stream;
        this.appendLog = appendLog;
        this.control = control;
        this.random = random;
        this.settings = settings;
        this.target = target;
    }

    /** Starts reading at the target's next offset. */
    public void start() {
        control.execute(() -> {
            if (!running) {
                running = true;
                readNext();
            }
        });
    }

    /** Stops reading; the answer to a read in flight is ignored. */
    public void stop() {
        control.execute(() -> {
            running = false;
            step++;
        });
    }

    /** Returns how many reads failed since the last answered one. To be called on the control thread. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    private void readNext() {
        if (!running) {
            return;
        }
        // The first read tells where the log ends, so it must not wait for a record.
        long waitMillis = answered ? settings.waitMillis() : 0;
        await(
                () -> appendLog.read(stream, target.nextOffset(), settings.maxRecords(), Duration.ofMillis(waitMillis)),
                waitMillis + settings.answerTimeoutMillis(),
                this::handleBatch);
    }

    private void handleBatch(LogBatch batch) {
        long next = target.nextOffset();
        if (batch.endOffset() < next) {
            fail(new AgatehatchException(
                    ErrorCode.LOG_UNAVAILABLE,
                    "tail",
                    stream,
                    Outcome.UNKNOWN,
                    "stream " + stream + " ends at " + batch.endOffset() + ", but " + next
                            + " records were read from it before; check that the log was not replaced"));
            return;
        }
        if (batch.oldestOffset() > next) {
            log.warn(
                    "stream {}: oldest kept record is {}, next wanted is {}; loading a snapshot",
                    stream,
                    batch.oldestOffset(),
                    next);
            await(
                    () -> target.recoverFromGap(batch.oldestOffset()),
                    settings.recoveryTimeoutMillis(),
                    ignored -> endRecovery(batch.oldestOffset()));
            return;
        }
        for (LogRecord record : batch.records()) {
            if (record.offset() == target.nextOffset()) {
                target.apply(record);
            }
        }
        consecutiveFailures = 0;
        answered = true;
        target.onBatchRead(batch);
        readNext();
    }

    private void endRecovery(long oldestOffset) {
        if (target.nextOffset() >= oldestOffset) {
            readNext();
            return;
        }
        fail(new AgatehatchException(
                ErrorCode.LOG_UNAVAILABLE,
                "tail",
                stream,
                Outcome.UNKNOWN,
                "log gap in stream " + stream + ": oldest kept record " + oldestOffset + ", need " + target.nextOffset()
                        + "; waiting for a newer snapshot or a peer"));
    }

    private void fail(Throwable cause) {
        consecutiveFailures++;
        target.onReadFailed(cause);
        long backoffMillis =
                Backoff.millis(consecutiveFailures, settings.initialBackoffMillis(), settings.maxBackoffMillis(), random);
        log.warn(
                "stream {}: read {} in a row failed, next in {} ms: {}",
                stream,
                consecutiveFailures,
                backoffMillis,
                cause.toString());
        long awaited = step;
        control.schedule(backoffMillis, () -> {
            if (awaited == step) {
                readNext();
            }
        });
    }

    private <T> void await(Supplier<CompletionStage<T>> call, long timeoutMillis, Consumer<T> onAnswer) {
        long awaited = ++step;
        ControlThread.ScheduledTask timeout = control.schedule(timeoutMillis, () -> {
            if (awaited == step) {
                step++;
                fail(new AgatehatchException(
                        ErrorCode.LOG_UNAVAILABLE,
                        "tail",
                        stream,
                        Outcome.UNKNOWN,
                        "no answer from the log within " + timeoutMillis + " ms; check the network path to it"));
            }
        });
        started(call)
                .whenComplete((answer, error) -> control.execute(() -> {
                    if (awaited != step) {
                        return;
                    }
                    timeout.cancel();
                    step++;
                    if (error == null) {
                        onAnswer.accept(answer);
                    } else {
                        fail(error);
                    }
                }));
    }

    // A client may throw instead of returning a failed stage; both count as a failed read.
    private static <T> CompletionStage<T> started(Supplier<CompletionStage<T>> call) {
        try {
            return call.get();
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /**
     * Times and sizes of reads.
     *
     * @param maxRecords most records that one read asks for
     * @param waitMillis longest time that the log holds a read without records
     * @param answerTimeoutMillis time beyond {@code waitMillis} after which a read counts as failed
     * @param recoveryTimeoutMillis longest time for loading a snapshot
     */
    public record Settings(
            int maxRecords,
            long waitMillis,
            long answerTimeoutMillis,
            long recoveryTimeoutMillis,
            long initialBackoffMillis,
            long maxBackoffMillis) {
        /** Settings for production: a long poll of 5 s, and a backoff from 200 ms to 5 s. */
        public static final Settings DEFAULT = new Settings(256, 5_000, 3_000, 30_000, 200, 5_000);
    }
}
