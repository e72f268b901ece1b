package org.agatehatch.internal.process;

import org.agatehatch.internal.version.Acceptance;
import org.agatehatch.internal.version.ReplicatedState;
import org.agatehatch.internal.version.record.StateRecord;

/** Is told on the control thread what changed the replicated state. */
public interface ReplicatedStateListener {
    /** A record was applied. Repeats of a record are not told. */
    void onRecordApplied(long offset, StateRecord record, Acceptance acceptance);

    /** The whole state was replaced by a later one from a snapshot or a peer. */
    default void onStateInstalled(ReplicatedState state) {}
}
