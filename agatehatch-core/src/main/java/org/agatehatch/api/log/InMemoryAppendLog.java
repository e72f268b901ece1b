package org.agatehatch.api.log;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

/**
 * An append-only log in the memory of this process, for tests and for embedded use with a single node. Thread-safe.
 *
 * <pre>{@code
 * AppendLog log = new InMemoryAppendLog(100_000);
 * }</pre>
 */
public final class InMemoryAppendLog implements AppendLog {
    private final int maxRecordsPerStream;
    private final Map<String, Stream> streams = new HashMap<>();

    /** Creates a log that keeps all records. */
    public InMemoryAppendLog() {
        this(Integer.MAX_VALUE);
    }

    /**
     * Creates a log that drops the oldest records of a stream above a limit.
     *
     * @param maxRecordsPerStream maximum number of records that a stream keeps; at least 1
     */
    public InMemoryAppendLog(int maxRecordsPerStream) {
        if (maxRecordsPerStream < 1) {
            throw new IllegalArgumentException(
                    "maxRecordsPerStream is " + maxRecordsPerStream + "; it must be at least 1");
        }
        this.maxRecordsPerStream = maxRecordsPerStream;
    }

    @Override
    public CompletionStage<Long> append(String stream, byte[] payload) {
        List<Answer> answers = new ArrayList<>();
        long offset;
        synchronized (streams) {
            Stream target = stream(stream);
            offset = target.add(payload.clone(), maxRecordsPerStream);
            target.removeSatisfiedReads(answers);
        }
        // Completing a future runs code of the readers, so it must happen outside the lock.
        answers.forEach(Answer::deliver);
        return CompletableFuture.completedFuture(offset);
    }

    @Override
    public CompletionStage<LogBatch> read(String stream, long fromOffset, int maxRecords, Duration wait) {
        if (fromOffset < 0 || maxRecords < 1) {
            throw new IllegalArgumentException("fromOffset is " + fromOffset + " and maxRecords is " + maxRecords
                    + "; they must be at least 0 and 1");
        }
        CompletableFuture<LogBatch> reply = new CompletableFuture<>();
        WaitingRead read = new WaitingRead(fromOffset, maxRecords, reply);
        synchronized (streams) {
            Stream source = stream(stream);
            if (source.endOffset() > fromOffset || wait.isZero() || wait.isNegative()) {
                return CompletableFuture.completedFuture(source.batch(fromOffset, maxRecords));
            }
            source.waitingReads.add(read);
        }
        CompletableFuture.delayedExecutor(wait.toMillis(), TimeUnit.MILLISECONDS)
                .execute(() -> expireRead(stream, read));
        return reply;
    }

    private void expireRead(String stream, WaitingRead read) {
        LogBatch batch;
        synchronized (streams) {
            Stream source = stream(stream);
            if (!source.waitingReads.remove(read)) {
                return;
            }
            batch = source.batch(read.fromOffset(), read.maxRecords());
        }
        read.future().complete(batch);
    }

    private Stream stream(String name) {
        return streams.computeIfAbsent(name, ignored -> new Stream());
    }

    private record WaitingRead(long fromOffset, int maxRecords, CompletableFuture<LogBatch> future) {}

    private record Answer(CompletableFuture<LogBatch> future, LogBatch batch) {
        void deliver() {
            future.complete(batch);
        }
    }

    private static final class Stream {
        private final ArrayDeque<LogRecord> records = new ArrayDeque<>();
        private final List<WaitingRead> waitingReads = new ArrayList<>();
        private long oldestOffset;

        long endOffset() {
            return oldestOffset + records.size();
        }

        long add(byte[] payload, int recordLimit) {
            long offset = endOffset();
            records.add(new LogRecord(offset, payload));
            if (records.size() > recordLimit) {
                records.remove();
                oldestOffset++;
            }
            return offset;
        }

        LogBatch batch(long fromOffset, int maxRecords) {
            List<LogRecord> found = records.stream()
                    .skip(Math.max(0, fromOffset - oldestOffset))
                    .limit(maxRecords)
                    .toList();
            return new LogBatch(found, oldestOffset, endOffset());
        }

        void removeSatisfiedReads(List<Answer> answers) {
            Iterator<WaitingRead> iterator = waitingReads.iterator();
            while (iterator.hasNext()) {
                WaitingRead read = iterator.next();
                if (read.fromOffset() < endOffset()) {
                    iterator.remove();
                    answers.add(new Answer(read.future(), batch(read.fromOffset(), read.maxRecords())));
                }
            }
        }
    }
}
