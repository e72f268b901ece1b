package org.agatehatch.internal.process;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.log.AppendLog;
import org.agatehatch.api.log.InMemoryAppendLog;
import org.agatehatch.api.log.LogBatch;

/** A node's connection to a log, under virtual time and with injected faults. */
final class VirtualLog implements AppendLog {
    private static final long LATENCY_MILLIS = 5;
    private static final long READ_TIMEOUT_MILLIS = 3_000;

    private final VirtualTime time;
    private final AppendLog store;
    private boolean down;
    private int responsesToLose;
    private long appendDelayMillis;
    private long readDelayMillis;
    private long readBytesPerSecond = Long.MAX_VALUE;
    private int appends;

    VirtualLog(VirtualTime time, AppendLog store) {
        this.time = time;
        this.store = store;
    }

    static AppendLog store(int keptRecords) {
        return new InMemoryAppendLog(keptRecords);
    }

    /** While down, every call fails and no append takes effect. */
    void setDown(boolean isDown) {
        down = isDown;
    }

    /** The next appends take effect, but their responses are lost. */
    void loseResponses(int count) {
        responsesToLose = count;
    }

    /** Delays the time at which appends take effect. */
    void delayAppends(long millis) {
        appendDelayMillis = millis;
    }

    /** Delays the responses to reads; their content is that of the undelayed time. */
    void delayReads(long millis) {
        readDelayMillis = millis;
    }

    /** Answers to reads arrive at this rate, and fail if one takes longer than the time-out of the log's client. */
    void setReadRate(long bytesPerSecond) {
        readBytesPerSecond = bytesPerSecond;
    }

    int appends() {
        return appends;
    }

    @Override
    public CompletionStage<Long> append(String stream, byte[] payload) {
        appends++;
        CompletableFuture<Long> reply = new CompletableFuture<>();
        if (down) {
            time.runAfter(LATENCY_MILLIS, () -> reply.completeExceptionally(unavailable()));
            return reply;
        }
        boolean lost = responsesToLose > 0;
        responsesToLose = Math.max(0, responsesToLose - 1);
        time.runAfter(LATENCY_MILLIS + appendDelayMillis, () -> {
            long offset = store.append(stream, payload).toCompletableFuture().join();
            if (lost) {
                reply.completeExceptionally(unavailable());
            } else {
                reply.complete(offset);
            }
        });
        return reply;
    }

    @Override
    public CompletionStage<LogBatch> read(String stream, long fromOffset, int maxRecords, Duration wait) {
        CompletableFuture<LogBatch> reply = new CompletableFuture<>();
        time.runAfter(LATENCY_MILLIS, () -> poll(stream, fromOffset, maxRecords, wait.toMillis(), reply));
        return reply;
    }

    private void poll(
            String stream, long fromOffset, int maxRecords, long waitMillis, CompletableFuture<LogBatch> reply) {
        if (down) {
            reply.completeExceptionally(unavailable());
            return;
        }
        LogBatch batch = store.read(stream, fromOffset, maxRecords, Duration.ZERO)
                .toCompletableFuture()
                .join();
        if (batch.records().isEmpty() && waitMillis > 0) {
            time.runAfter(50, () -> poll(stream, fromOffset, maxRecords, waitMillis - 50, reply));
            return;
        }
        long bytes = batch.records().stream()
                .mapToLong(record -> record.payload().length)
                .sum();
        long transferMillis = readBytesPerSecond == Long.MAX_VALUE ? 0 : bytes * 1_000 / readBytesPerSecond;
        if (transferMillis > READ_TIMEOUT_MILLIS) {
            time.runAfter(READ_TIMEOUT_MILLIS, () -> reply.completeExceptionally(unavailable()));
            return;
        }
        time.runAfter(readDelayMillis + transferMillis, () -> reply.complete(batch));
    }

    private static AgatehatchException unavailable() {
        return new AgatehatchException(ErrorCode.LOG_UNAVAILABLE, "log", "log", Outcome.UNKNOWN, "the log is down");
    }
}
