package org.agatehatch.internal.request;

import java.util.Set;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/** What follows after an attempt failed: another attempt, or the final error. */
public sealed interface RetryDecision {
    /** Most attempts of one request, so that a request cannot walk through a whole pool. */
    int MAX_ATTEMPTS = 4;

    /** Wait advised after a backend server failed; strikes reach all nodes within this time. */
    long RETRY_AFTER_MILLIS = 3_000;

    /**
     * Try again.
     *
     * @param avoidFailureDomains failure domains already tried; preferred only if no other has a candidate
     */
    record Retry(Set<String> avoidFailureDomains) implements RetryDecision {}

    /** Answer the caller with this error. */
    record Fail(FinalError error) implements RetryDecision {}

    /**
     * A failed attempt.
     *
     * @param idempotent whether the catalogue says that the request may run more than once
     * @param outcome what is known about the failed attempt
     * @param claimExpired whether a claim was needed and is too old to dispatch on
     * @param earlierAttemptMayHaveRun whether an earlier attempt of the same request may have run
     * @param framesReleased whether the caller received a part of the answer
     * @param retryAfterMillis wait that the backend server asked for; 0 if none
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

    /** Decides. Takes from the budget only when everything else allows a retry. */
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
            return fail(failure, ErrorCode.OVERLOADED, "the backend server refused the request", wait);
        }
        return fail(failure, ErrorCode.BACKEND_SERVER_FAILED, "the backend server did not answer", RETRY_AFTER_MILLIS);
    }

    private static Fail fail(Failure failure, ErrorCode code, String cause, long retryAfterMillis) {
        Outcome outcome = failure.requestOutcome();
        String fix = outcome == Outcome.NOT_RUN || failure.idempotent()
                ? "repeat the request"
                : "find out whether it ran before repeating it";
        return new Fail(new FinalError(
                code,
                "dispatch",
                failure.peer(),
                outcome,
                retryAfterMillis,
                cause + " (attempt " + failure.attempts() + "); " + fix));
    }
}
