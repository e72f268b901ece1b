package org.agatehatch.internal.process;

import java.util.Optional;
import org.agatehatch.internal.version.Acceptance;

/**
 * Result of appending a record, as far as it is known.
 *
 * @param acceptance decision of the replicated state; present if and only if {@code status} is {@code DECIDED}
 * @param offset log offset at which the record first appeared; -1 unless decided
 */
public record AppendResult(Status status, Optional<Acceptance> acceptance, long offset) {
    static final AppendResult UNKNOWN = new AppendResult(Status.UNKNOWN, Optional.empty(), -1);
    static final AppendResult NOT_SENT = new AppendResult(Status.NOT_SENT, Optional.empty(), -1);

    static AppendResult decided(long offset, Acceptance acceptance) {
        return new AppendResult(Status.DECIDED, Optional.of(acceptance), offset);
    }

    /** Returns whether the record is known to have taken effect. */
    public boolean accepted() {
        return acceptance.isPresent() && acceptance.get().accepted();
    }

    /** How much is known about the record. */
    public enum Status {
        /** The record was read back, and the replicated state accepted or refused it. */
        DECIDED,
        /** The deadline passed after the record was sent at least once. It may still appear in the log. */
        UNKNOWN,
        /** The deadline passed before the record was sent. It will not appear in the log. */
        NOT_SENT
    }
}
