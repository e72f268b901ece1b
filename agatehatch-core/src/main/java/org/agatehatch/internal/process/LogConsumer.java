package org.agatehatch.internal.process;

import java.util.concurrent.CompletionStage;
import org.agatehatch.api.log.LogBatch;
import org.agatehatch.api.log.LogRecord;

/** What a {@link LogTailer} feeds. All methods are called on the control thread. */
public interface LogConsumer {
    /** Returns the offset that is wanted next. */
    long nextOffset();

    /** Takes the record at {@link #nextOffset()}. */
    void apply(LogRecord record);

    /** A read was answered and its records were applied. */
    void onBatchRead(LogBatch batch);

    /** A read failed or timed out. */
    void onReadFailed(Throwable cause);

    /**
     * Records from {@link #nextOffset()} on were dropped before they were read. The target tries to get beyond them,
     * for example with a snapshot; afterwards the tailer asks for the next offset again.
     */
    CompletionStage<Void> recoverFromGap(long oldestOffset);
}
