package org.agatehatch.internal.version;

import java.util.Optional;
import org.agatehatch.api.errors.ErrorCode;

/**
 * Result of applying a record to the replicated state.
 *
 * @param refusal why the record was refused; empty if it was accepted
 */
public record Acceptance(Optional<Refusal> refusal) {
    /** Result of an accepted record. */
    public static final Acceptance ACCEPTED = new Acceptance(Optional.empty());

    /** Returns the result of a refused record. */
    public static Acceptance refused(ErrorCode code, String message) {
        return new Acceptance(Optional.of(new Refusal(code, message)));
    }

    /** Returns whether the record took effect. */
    public boolean accepted() {
        return refusal.isEmpty();
    }

    /** Reason for which a record was refused. */
    public record Refusal(ErrorCode code, String message) {}
}
