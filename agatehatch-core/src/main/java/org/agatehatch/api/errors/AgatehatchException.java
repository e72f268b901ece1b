package org.agatehatch.api.errors;

import java.util.Objects;

/**
 * An error with a stable code, the processing step and peer at which it occurred, and the outcome of the request as far
 * as it is known.
 *
 * <pre>{@code
 * throw new AgatehatchException(
 *         ErrorCode.MODEL_NOT_FOUND, "route", "self", Outcome.NOT_RUN,
 *         "model 'tutor-x' is not in catalogue version 7; list the models with GET /v1/models");
 * }</pre>
 */
public final class AgatehatchException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final String step;
    private final String peer;
    private final Outcome outcome;
    private final long retryAfterMillis;

    public AgatehatchException(ErrorCode code, String step, String peer, Outcome outcome, String message) {
        this(code, step, peer, outcome, message, null);
    }

    public AgatehatchException(
            ErrorCode code, String step, String peer, Outcome outcome, String message, Throwable cause) {
        this(code, step, peer, outcome, message, cause, 0);
    }

    private AgatehatchException(
            ErrorCode code,
            String step,
            String peer,
            Outcome outcome,
            String message,
            Throwable cause,
            long retryAfterMillis) {
        super(message, cause);
        this.retryAfterMillis = retryAfterMillis;
        this.code = Objects.requireNonNull(code, "code");
        this.step = Objects.requireNonNull(step, "step");
        this.peer = Objects.requireNonNull(peer, "peer");
        this.outcome = Objects.requireNonNull(outcome, "outcome");
    }

    public ErrorCode code() {
        return code;
    }

    /** Returns the processing step that failed, for example {@code claim} or {@code dispatch}. */
    public String step() {
        return step;
    }

    /** Returns the name or address of the peer at which the error occurred; {@code self} for this node. */
    public String peer() {
        return peer;
    }

    /** Returns whether the request ran, as far as it is known. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns a copy of this error with the time after which the caller should retry. */
    public AgatehatchException withRetryAfterMillis(long millis) {
        return new AgatehatchException(code, step, peer, outcome, getMessage(), getCause(), millis);
    }

    /** Returns the time after which the caller should retry; 0 if unknown. */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
