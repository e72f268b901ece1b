package org.agatehatch.internal.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.testng.annotations.Test;

/** Guards against retries of non-idempotent requests that may have run, and against unbounded retries. */
public class RetryDecisionTest {
    private static RetryDecision.Failure failure(boolean idempotent, Outcome outcome, int attempts, long remaining) {
        return new RetryDecision.Failure(
                idempotent, outcome, false, false, false, attempts, remaining, 0, "b1", Set.of("medeu"));
    }

    private static FinalError error(RetryDecision decision) {
        return ((RetryDecision.Fail) decision).error();
    }

    @Test
    public void an_idempotent_request_is_retried_elsewhere() {
        RetryDecision decision = RetryDecision.decide(failure(true, Outcome.UNKNOWN, 1, 1_000), new RetryBudget(1));
        assertEquals(decision, new RetryDecision.Retry(Set.of("medeu")));
    }

    @Test
    public void a_non_idempotent_request_is_retried_only_if_proven_not_run() {
        RetryBudget budget = new RetryBudget(5);
        FinalError error = error(RetryDecision.decide(failure(false, Outcome.UNKNOWN, 1, 1_000), budget));
        assertEquals(error.code(), ErrorCode.BACKEND_SERVER_FAILED);
        assertEquals(error.outcome(), Outcome.UNKNOWN);
        assertTrue(
                RetryDecision.decide(failure(false, Outcome.NOT_RUN, 1, 1_000), budget) instanceof RetryDecision.Retry);
    }

    @Test
    public void the_deadline_attempt_limit_and_budget_stop_retries() {
        RetryBudget budget = new RetryBudget(5);
        assertEquals(
                error(RetryDecision.decide(failure(true, Outcome.UNKNOWN, 1, 0), budget))
                        .code(),
                ErrorCode.DEADLINE_EXCEEDED);
        assertEquals(
                error(RetryDecision.decide(failure(true, Outcome.UNKNOWN, RetryDecision.MAX_ATTEMPTS, 9), budget))
                        .peer(),
                "b1");
        FinalError refused = error(RetryDecision.decide(failure(true, Outcome.NOT_RUN, 1, 9), new RetryBudget(0)));
        assertEquals(refused.code(), ErrorCode.OVERLOADED);
        assertEquals(refused.retryAfterMillis(), RetryDecision.RETRY_AFTER_MILLIS);
    }

    @Test
    public void a_refused_retry_does_not_hide_an_earlier_attempt_that_may_have_run() {
        RetryDecision.Failure later =
                new RetryDecision.Failure(true, Outcome.NOT_RUN, false, true, false, 4, 1_000, 0, "b2", Set.of());
        assertEquals(error(RetryDecision.decide(later, new RetryBudget(5))).outcome(), Outcome.UNKNOWN);
    }

    @Test
    public void retries_are_at_most_a_tenth_of_the_requests() {
        RetryBudget budget = new RetryBudget(1);
        assertTrue(budget.tryTake());
        int retries = 0;
        for (int request = 0; request < 1_000; request++) {
            budget.countRequest();
            retries += budget.tryTake() ? 1 : 0;
        }
        assertEquals(retries, 100);
        assertFalse(budget.tryTake());
    }
}
