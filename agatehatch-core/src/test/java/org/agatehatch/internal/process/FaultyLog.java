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

/** A log in memory that loses answers, stores records late or twice, drops old records and has outages. */
final class FaultyLog implements AppendLog {
    enum AppendFault {
        NONE,
        RESPONSE_LOST,
        STORED_LATE,
        STORED_TWICE,
        REFUSED
    }

    private static final long LATENCY_MILLIS = 10;
    private static final long ANSWER_TIMEOUT_MILLIS = 2_000;

    private final VirtualTime time;
    private final Map<String, List<LogRecord>> streams = new HashMap<>();
    private final Map<String, Long> oldest = new HashMap<>();
    private final Deque<AppendFault> fates = new ArrayDeque<>();
    private long downUntilMillis;
    private long lateMillis = 30_000;
    private int appends;

    FaultyLog(VirtualTime time) {
        this.time = time;
    }

    void planNextAppends(AppendFault... planned) {
        fates.addAll(List.of(planned));
    }

    void startOutage(long millis) {
        downUntilMillis = time.millis() + millis;
    }

    void setLateMillis(long millis) {
        lateMillis = millis;
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
        CompletableFuture<Long> answer = new CompletableFuture<>();
        AppendFault fate = time.millis() < downUntilMillis ? AppendFault.REFUSED : fates.isEmpty() ? AppendFault.NONE : fates.poll();
        switch (fate) {
            case NONE, STORED_TWICE ->
                time.runAfter(LATENCY_MILLIS, () -> {
                    long offset = store(stream, payload);
                    if (fate == AppendFault.STORED_TWICE) {
                        time.runAfter(lateMillis, () -> store(stream, payload));
                    }
                    time.runAfter(LATENCY_MILLIS, () -> answer.complete(offset));
                });
            case RESPONSE_LOST -> {
                time.runAfter(LATENCY_MILLIS, () -> store(stream, payload));
                fail(answer);
            }
            case STORED_LATE -> {
                time.runAfter(lateMillis, () -> store(stream, payload));
                fail(answer);
            }
            case REFUSED -> fail(answer);
        }
        return answer;
    }

    @Override
    public CompletionStage<LogBatch> read(String stream, long fromOffset, int maxRecords, Duration wait) {
        CompletableFuture<LogBatch> answer = new CompletableFuture<>();
        if (time.millis() < downUntilMillis) {
            fail(answer);
            return answer;
        }
        time.runAfter(LATENCY_MILLIS, () -> {
            List<LogRecord> all = streams.getOrDefault(stream, List.of());
            long first = oldest.getOrDefault(stream, 0L);
            int from = (int) Math.min(all.size(), Math.max(fromOffset, first));
            int to = Math.min(all.size(), from + maxRecords);
            LogBatch batch = new LogBatch(new ArrayList<>(all.subList(from, to)), first, all.size());
            time.runAfter(LATENCY_MILLIS, () -> answer.complete(batch));
        });
        return answer;
    }

    private long store(String stream, byte[] payload) {
        List<LogRecord> records = streams.computeIfAbsent(stream, unused -> new ArrayList<>());
        records.add(new LogRecord(records.size(), payload));
        return records.size() - 1L;
    }

    private void fail(CompletableFuture<?> answer) {
        time.runAfter(
                ANSWER_TIMEOUT_MILLIS,
                () -> answer.completeExceptionally(new AgatehatchException(
                        ErrorCode.LOG_UNAVAILABLE, "append", "log", Outcome.UNKNOWN, "no answer; read the stream")));
    }
}
