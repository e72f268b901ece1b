package org.agatehatch.internal.request;

/**
 * Properties of a request that a {@link RequestStateMachine} depends on.
 *
 * @param idempotent whether the catalogue says that the request may run more than once
 * @param keyed whether the request is non-idempotent and carries an idempotency key
 * @param resumable whether its backend servers can resume a response at a frame index
 * @param deadlineMillis monotonic time of the caller's deadline
 */
public record RequestSpec(boolean idempotent, boolean keyed, boolean resumable, long deadlineMillis) {
    public RequestSpec {
        if (idempotent && keyed) {
            throw new IllegalArgumentException(
                    "an idempotent request needs no claim: keyed must be false if idempotent is true");
        }
    }
}
