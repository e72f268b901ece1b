package org.agatehatch.internal.process;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.log.AppendLog;
import org.agatehatch.api.log.LogBatch;
import org.agatehatch.api.log.LogRecord;

/** An in-memory log that loses responses, stores records late or twice, drops old records and has outages. */
final class FaultyLog implements AppendLog {
    enum AppendFault {
        NONE,
        RESPONSE_LOST,
        STORED_LATE,
        STORED_TWICE,
        REFUSED
    }

    private static final long LATENCY_MILLIS = 10;
    private static final long RESPONSE_TIMEOUT_MILLIS = 2_000;
    private static final long READ_TIMEOUT_MILLIS = 3_000;

    private final VirtualTime time;
    private final Map<String, List<LogRecord>> streams = new HashMap<>();
    private final Map<String, Long> oldest = new HashMap<>();
    private final Deque<AppendFault> plannedFaults = new ArrayDeque<>();
    private long downUntilMillis;
    private long lateMillis = 30_000;
    private long readBytesPerSecond = Long.MAX_VALUE;
    private int appends;

    FaultyLog(VirtualTime time) {
        this.time = time;
    }

    void planNextAppends(AppendFault... faults) {
        plannedFaults.addAll(List.of(faults));
    }

    void startOutage(long millis) {
        downUntilMillis = time.millis() + millis;
    }

    void setLateMillis(long millis) {
        lateMillis = millis;
    }

    /** Answers to reads arrive at this rate, and fail if one takes longer than the time-out of the log's client. */
    void setReadRate(long bytesPerSecond) {
        readBytesPerSecond = bytesPerSecond;
    }

    int appends() {
        return appends;
    }

    long end(String stream) {
        return streams.getOrDefault(stream, List.of()).size();
    }

    void dropBefore(String stream, long offset) {
        oldest.merge(stream, Math.min(offset, end(stream)), Math::max);
    }

    List<ClaimRecord> claims(String stream) {
        return streams.getOrDefault(stream, List.of()).stream()
                .flatMap(record -> ClaimRecordCodec.decode(record.payload()).stream())
                .toList();
    }

    @Override
    public CompletionStage<Long> append(String stream, byte[] payload) {
        appends++;
        CompletableFuture<Long> response = new CompletableFuture<>();
        AppendFault fault = time.millis() < downUntilMillis
                ? AppendFault.REFUSED
                : plannedFaults.isEmpty() ? AppendFault.NONE : plannedFaults.poll();
        switch (fault) {
            case NONE, STORED_TWICE ->
                time.runAfter(LATENCY_MILLIS, () -> {
                    long offset = store(stream, payload);
                    if (fault == AppendFault.STORED_TWICE) {
                        time.runAfter(lateMillis, () -> store(stream, payload));
                    }
                    time.runAfter(LATENCY_MILLIS, () -> response.complete(offset));
                });
            case RESPONSE_LOST -> {
                time.runAfter(LATENCY_MILLIS, () -> store(stream, payload));
                fail(response);
            }
            case STORED_LATE -> {
                time.runAfter(lateMillis, () -> store(stream, payload));
                fail(response);
            }
            case REFUSED -> fail(response);
        }
        return response;
    }

    @Override
    public CompletionStage<LogBatch> read(String stream, long fromOffset, int maxRecords, Duration wait) {
        CompletableFuture<LogBatch> response = new CompletableFuture<>();
        if (time.millis() < downUntilMillis) {
            fail(response);
            return response;
        }
        time.runAfter(LATENCY_MILLIS, () -> {
            List<LogRecord> all = streams.getOrDefault(stream, List.of());
            long first = oldest.getOrDefault(stream, 0L);
            int from = (int) Math.min(all.size(), Math.max(fromOffset, first));
            int to = Math.min(all.size(), from + maxRecords);
            LogBatch batch = new LogBatch(new ArrayList<>(all.subList(from, to)), first, all.size());
            long bytes = batch.records().stream()
                    .mapToLong(record -> record.payload().length)
                    .sum();
            long transferMillis = readBytesPerSecond == Long.MAX_VALUE ? 0 : bytes * 1_000 / readBytesPerSecond;
            if (transferMillis > READ_TIMEOUT_MILLIS) {
                fail(response);
                return;
            }
            time.runAfter(LATENCY_MILLIS + transferMillis, () -> response.complete(batch));
        });
        return response;
    }

    private long store(String stream, byte[] payload) {
        List<LogRecord> records = streams.computeIfAbsent(stream, unused -> new ArrayList<>());
        records.add(new LogRecord(records.size(), payload));
        return records.size() - 1L;
    }

    private void fail(CompletableFuture<?> response) {
        time.runAfter(
                RESPONSE_TIMEOUT_MILLIS,
                () -> response.completeExceptionally(new AgatehatchException(
                        ErrorCode.LOG_UNAVAILABLE, "append", "log", Outcome.UNKNOWN, "no response; read the stream")));
    }
}
