package org.agatehatch.internal.process;

import java.util.concurrent.CompletionStage;
import org.agatehatch.internal.version.Acceptance;
import org.agatehatch.internal.version.record.StateRecord;

/** Appends records to the stream {@code control} and reports whether the replicated state accepted them. */
@FunctionalInterface
public interface RecordSink {
    /**
     * Appends one record. The stage completes after the record was read back from the log. If it fails, the record
     * may or may not take effect later.
     */
    CompletionStage<AppliedRecord> append(StateRecord record);

    /**
     * A record that was read back, and the decision on it.
     *
     * @param offset log offset of the record
     */
    record AppliedRecord(Acceptance acceptance, long offset) {}
}
