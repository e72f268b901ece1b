package org.agatehatch.internal.request;

import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/**
 * Maps claims that were not granted to errors. The outcome covers every request with the same key, not only this one,
 * because a caller that receives {@code not_run} may send the request again under a new key.
 */
final class ClaimErrors {
    private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

    private ClaimErrors() {}

    static FinalError of(ClaimAnswer answer) {
        if (answer instanceof ClaimAnswer.InFlight) {
            return error(
                    ErrorCode.IDEMPOTENCY_KEY_IN_FLIGHT,
                    Outcome.UNKNOWN,
                    MIN_RETRY_AFTER_MILLIS,
                    "a request with this key is in flight; retry with the same key to get its response");
        }
        if (answer instanceof ClaimAnswer.OutcomeUnknown) {
            return error(
                    ErrorCode.IDEMPOTENCY_OUTCOME_UNKNOWN,
                    Outcome.UNKNOWN,
                    0,
                    "a request with this key was accepted, but its result was lost; check whether it ran");
        }
        if (answer instanceof ClaimAnswer.Reused) {
            return error(
                    ErrorCode.IDEMPOTENCY_KEY_REUSED,
                    Outcome.NOT_RUN,
                    0,
                    "this key was used for a request with a different payload; use a new key for a new request");
        }
        if (answer instanceof ClaimAnswer.Unavailable unavailable) {
            return error(
                    ErrorCode.CLAIMS_UNAVAILABLE,
                    Outcome.NOT_RUN,
                    Math.max(MIN_RETRY_AFTER_MILLIS, unavailable.retryAfterMillis()),
                    "the key could not be claimed: " + unavailable.reason() + "; retry with the same key");
        }
        throw new IllegalArgumentException("the claim answer is not a refusal: " + answer);
    }

    private static FinalError error(ErrorCode code, Outcome outcome, long retryAfterMillis, String message) {
        return new FinalError(code, "claim", "self", outcome, retryAfterMillis, message);
    }
}
