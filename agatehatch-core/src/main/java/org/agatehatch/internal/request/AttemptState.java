package org.agatehatch.internal.request;

import java.util.concurrent.atomic.AtomicReference;
import org.agatehatch.api.errors.Outcome;

/**
 * State of one attempt. Dispatch, cancellation and queue timeout compete in one compare-and-set, and exactly one of
 * them succeeds. Thread safe.
 */
public final class AttemptState {
    /** Phase of an attempt. All phases except {@code QUEUED} and {@code COMMITTED} are final. */
    public enum Phase {
        /** Not sent yet. */
        QUEUED,
        /** Cancelled before anything was sent. */
        CANCELLED,
        /** Timed out in the queue before anything was sent. */
        TIMED_OUT,
        /** Committed to dispatch; bytes may have been sent. */
        COMMITTED,
        /** The backend server proved that it did not run the attempt. */
        PROVEN_NOT_RUN,
        /** The complete response arrived. */
        ANSWERED,
        /** The attempt ended without a complete response, so it may have run. */
        IN_DOUBT
    }

    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.QUEUED);

    /** Commits the attempt to dispatch. It may be sent only if this method returns true. */
    public boolean commit() {
        return phase.compareAndSet(Phase.QUEUED, Phase.COMMITTED);
    }

    /** Cancels the attempt if it is not committed yet; returns whether it was cancelled. */
    public boolean cancel() {
        return phase.compareAndSet(Phase.QUEUED, Phase.CANCELLED);
    }

    /** Times the attempt out if it is not committed yet; returns whether it was timed out. */
    public boolean timeOut() {
        return phase.compareAndSet(Phase.QUEUED, Phase.TIMED_OUT);
    }

    /** Sets the final outcome of a committed attempt. Only the first call takes effect and returns true. */
    public boolean settle(Outcome outcome) {
        Phase settled =
                switch (outcome) {
                    case NOT_RUN -> Phase.PROVEN_NOT_RUN;
                    case RAN -> Phase.ANSWERED;
                    case UNKNOWN -> Phase.IN_DOUBT;
                };
        return phase.compareAndSet(Phase.COMMITTED, settled);
    }

    public Phase phase() {
        return phase.get();
    }

    /** Returns the known outcome. {@code NOT_RUN} is final unless the attempt is still queued. */
    public Outcome outcome() {
        return switch (phase.get()) {
            case QUEUED, CANCELLED, TIMED_OUT, PROVEN_NOT_RUN -> Outcome.NOT_RUN;
            case ANSWERED -> Outcome.RAN;
            case COMMITTED, IN_DOUBT -> Outcome.UNKNOWN;
        };
    }
}
