package org.agatehatch.internal.request;

import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/**
 * The error that is returned to a caller.
 *
 * @param step processing step that failed
 * @param peer name or address of the peer at which the error arose; {@code self} for this node
 * @param retryAfterMillis retry-after time; 0 if the response does not state one
 * @param message cause, and what the caller can do
 */
public record FinalError(
        ErrorCode code, String step, String peer, Outcome outcome, long retryAfterMillis, String message) {
    /** Returns the error as an exception, without the retry-after time. */
    public AgatehatchException toException() {
        return new AgatehatchException(code, step, peer, outcome, message);
    }
}
