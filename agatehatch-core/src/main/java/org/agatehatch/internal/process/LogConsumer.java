package org.agatehatch.internal.process;

import java.util.concurrent.CompletionStage;
import org.agatehatch.api.log.LogBatch;
import org.agatehatch.api.log.LogRecord;

/** Consumes the records that a {@link LogTailer} reads. All methods are called on the control thread. */
public interface LogConsumer {
    /** Returns the offset of the next record to apply. */
    long nextOffset();

    /** Applies the record at {@link #nextOffset()}. */
    void apply(LogRecord record);

    /** Called after a read succeeded and its records were applied. */
    void onBatchRead(LogBatch batch);

    /** Called after a read failed or timed out. */
    void onReadFailed(Throwable cause);

    /**
     * Called when the log dropped records from {@link #nextOffset()} on before they were read. The consumer tries to
     * advance beyond them, for example with a snapshot; afterwards the tailer reads at the new next offset.
     *
     * @param oldestOffset offset of the oldest record that the log still has
     */
    CompletionStage<Void> recoverFromGap(long oldestOffset);
}
