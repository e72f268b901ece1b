package org.agatehatch.internal.process;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.agatehatch.api.log.AppendLog;
import org.agatehatch.api.log.LogBatch;
import org.agatehatch.api.log.LogRecord;

/**
 * Reads a range of a stream page by page. A page that can't be read is requested again with half of its records; the scan
 * fails only if a read of a single record does. The first page has one record, so that an outage of the log shows at once.
 */
public final class LogScan {
    private static final int MAX_RECORDS = 256;

    private final AppendLog log;
    private final String stream;
    private final long toOffset;
    private final Consumer<LogRecord> consumer;
    private final LogPageSize pageSize = new LogPageSize(1, MAX_RECORDS);

    private LogScan(AppendLog log, String stream, long toOffset, Consumer<LogRecord> consumer) {
        this.log = log;
        this.stream = stream;
        this.toOffset = toOffset;
        this.consumer = consumer;
    }

    /** Passes all records that the stream keeps from an offset on, up to its end, to a consumer. */
    public static CompletionStage<Void> toEnd(
            AppendLog log, String stream, long fromOffset, Consumer<LogRecord> consumer) {
        return range(log, stream, fromOffset, Long.MAX_VALUE, consumer);
    }

    /** Passes the records that the stream keeps from an offset on and below another one to a consumer. */
    public static CompletionStage<Void> range(
            AppendLog log, String stream, long fromOffset, long toOffset, Consumer<LogRecord> consumer) {
        return new LogScan(log, stream, toOffset, consumer).readFrom(fromOffset);
    }

    private CompletionStage<Void> readFrom(long offset) {
        if (offset >= toOffset) {
            return CompletableFuture.completedFuture(null);
        }
        int records = (int) Math.min(pageSize.records(), toOffset - offset);
        return log.read(stream, offset, records, Duration.ZERO)
                .handle((batch, failure) -> failure == null ? apply(batch, offset) : retry(offset, failure))
                .thenCompose(next -> next);
    }

    private CompletionStage<Void> apply(LogBatch batch, long offset) {
        pageSize.onRead(batch);
        long next = offset;
        for (LogRecord record : batch.records()) {
            if (record.offset() >= next && record.offset() < toOffset) {
                consumer.accept(record);
                next = record.offset() + 1;
            }
        }
        return next == offset || next >= batch.endOffset() ? CompletableFuture.completedFuture(null) : readFrom(next);
    }

    private CompletionStage<Void> retry(long offset, Throwable failure) {
        return pageSize.onFailure() ? readFrom(offset) : CompletableFuture.failedFuture(failure);
    }
}
