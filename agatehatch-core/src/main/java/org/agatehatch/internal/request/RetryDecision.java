package org.agatehatch.internal.request;

import java.util.Set;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/** Decision after a failed attempt: retry, or fail with the final error. */
public sealed interface RetryDecision {
    /** Limit of attempts per request, so that one request cannot be tried at all servers of a pool. */
    int MAX_ATTEMPTS = 4;

    /** Retry-after time after a backend server failed. Strikes for poison requests reach all nodes within this time. */
    long RETRY_AFTER_MILLIS = 3_000;

    /**
     * Retry the request.
     *
     * @param avoidFailureDomains failure domains of earlier attempts, to use only if no other failure domain has a
     *     candidate
     */
    record Retry(Set<String> avoidFailureDomains) implements RetryDecision {}

    /** Return this error to the caller. */
    record Fail(FinalError error) implements RetryDecision {}

    /**
     * A failed attempt.
     *
     * @param idempotent whether the catalogue says that the request may run more than once
     * @param outcome known outcome of the failed attempt
     * @param claimExpired whether the request has a claim that is too old for another dispatch
     * @param earlierAttemptMayHaveRun whether an earlier attempt of the same request may have run
     * @param framesReleased whether frames of the response were already released to the caller
     * @param retryAfterMillis retry-after time from the backend server; 0 if none
     */
    record Failure(
            boolean idempotent,
            Outcome outcome,
            boolean claimExpired,
            boolean earlierAttemptMayHaveRun,
            boolean framesReleased,
            int attempts,
            long remainingMillis,
            long retryAfterMillis,
            String peer,
            Set<String> triedFailureDomains) {
        public Failure {
            triedFailureDomains = Set.copyOf(triedFailureDomains);
        }

        private Outcome requestOutcome() {
            return earlierAttemptMayHaveRun && outcome == Outcome.NOT_RUN ? Outcome.UNKNOWN : outcome;
        }
    }

    /** Decides about a retry. Takes from the budget only if all other conditions allow a retry. */
    static RetryDecision decide(Failure failure, RetryBudget budget) {
        if (failure.remainingMillis() <= 0) {
            return fail(failure, ErrorCode.DEADLINE_EXCEEDED, "the deadline passed during an attempt", 0);
        }
        boolean mayRunAgain = failure.idempotent() || failure.outcome() == Outcome.NOT_RUN;
        if (mayRunAgain && !failure.claimExpired() && failure.attempts() < MAX_ATTEMPTS && budget.tryTake()) {
            return new Retry(failure.triedFailureDomains());
        }
        if (failure.framesReleased()) {
            return fail(failure, ErrorCode.STREAM_INTERRUPTED, "the answer broke off", RETRY_AFTER_MILLIS);
        }
        if (failure.outcome() == Outcome.NOT_RUN) {
            long wait = Math.max(failure.retryAfterMillis(), RETRY_AFTER_MILLIS);
            return fail(
                    failure, ErrorCode.OVERLOADED, "the backend server refused the request without running it", wait);
        }
        return fail(
                failure,
                ErrorCode.BACKEND_SERVER_FAILED,
                "the backend server failed or did not answer",
                RETRY_AFTER_MILLIS);
    }

    private static Fail fail(Failure failure, ErrorCode code, String cause, long retryAfterMillis) {
        Outcome outcome = failure.requestOutcome();
        String fix = outcome == Outcome.NOT_RUN || failure.idempotent()
                ? "retry the request"
                : "check whether the request ran before retrying it";
        return new Fail(new FinalError(
                code,
                "dispatch",
                failure.peer(),
                outcome,
                retryAfterMillis,
                cause + " (attempt " + failure.attempts() + "); " + fix));
    }
}
