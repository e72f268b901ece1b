package org.agatehatch.internal.process;

import java.util.concurrent.CompletionStage;
import org.agatehatch.internal.version.Acceptance;
import org.agatehatch.internal.version.record.StateRecord;

/** Appends records to the stream {@code control} and tells what the replicated state made of them. */
@FunctionalInterface
public interface RecordSink {
    /**
     * Appends one record. The stage completes after the record was read back from the log. A failed stage means that
     * the record may or may not take effect later.
     */
    CompletionStage<AppliedRecord> append(StateRecord record);

    /**
     * What became of a record.
     *
     * @param offset log offset of the record
     */
    record AppliedRecord(Acceptance acceptance, long offset) {}
}
