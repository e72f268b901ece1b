package org.agatehatch.internal.process;

import org.agatehatch.internal.version.Acceptance;
import org.agatehatch.internal.version.ReplicatedState;
import org.agatehatch.internal.version.record.StateRecord;

/** Receives changes of the replicated state on the control thread. */
public interface ReplicatedStateListener {
    /** Called after a record was applied; not called for repeats of the record. */
    void onRecordApplied(long offset, StateRecord record, Acceptance acceptance);

    /** Called after the whole state was replaced by a later one from a snapshot or a peer. */
    default void onStateInstalled(ReplicatedState state) {}
}
