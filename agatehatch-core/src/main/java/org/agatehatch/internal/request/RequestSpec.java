package org.agatehatch.internal.request;

/**
 * What a {@link RequestStateMachine} needs to know of a request.
 *
 * @param idempotent whether the catalogue says that the request may run more than once
 * @param keyed whether the request is non-idempotent and carries an idempotency key
 * @param resumable whether its backend servers resume an answer at a frame index
 * @param deadlineMillis reading of the monotonic clock at which the caller's promise ends
 */
public record RequestSpec(boolean idempotent, boolean keyed, boolean resumable, long deadlineMillis) {
    public RequestSpec {
        if (idempotent && keyed) {
            throw new IllegalArgumentException("an idempotent request needs no claim; set keyed to false");
        }
    }
}
