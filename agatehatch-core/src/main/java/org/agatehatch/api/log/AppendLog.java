package org.agatehatch.api.log;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * The platform's append-only log. A failed append may still have taken effect, since the reply can be lost after the
 * record was stored. Callers read the stream to find out whether the record is there.
 *
 * <pre>{@code
 * log.append("control", payload)
 *         .thenCompose(offset -> log.read("control", offset, 1, Duration.ZERO))
 *         .thenAccept(batch -> use(batch.records()));
 * }</pre>
 */
public interface AppendLog {
    /**
     * Appends one record and returns its offset. Offsets of a stream start at 0 and increase by 1.
     *
     * <p>Fails with {@code LOG_UNAVAILABLE} and outcome {@code UNKNOWN} if no reply arrived.
     */
    CompletionStage<Long> append(String stream, byte[] payload);

    /**
     * Reads at most {@code maxRecords} records, starting at {@code fromOffset}. If there is none yet, waits at most
     * {@code wait} for the first record. If the log no longer keeps {@code fromOffset}, reading starts at the oldest
     * record kept.
     */
    CompletionStage<LogBatch> read(String stream, long fromOffset, int maxRecords, Duration wait);
}
