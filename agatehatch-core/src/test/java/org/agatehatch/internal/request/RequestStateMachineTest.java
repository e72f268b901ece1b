package org.agatehatch.internal.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.testng.annotations.Test;

/** Guards against requests that end twice or never, and against claims that are neither settled nor abandoned. */
public class RequestStateMachineTest {
    private static final ClaimAnswer.Granted GRANT = new ClaimAnswer.Granted("c1", 1_000);

    private static RequestStateMachine machine(boolean idempotent, boolean keyed) {
        return new RequestStateMachine(
                new RequestSpec(idempotent, keyed, true, 60_000), new RetryBudget(10), new Random(3));
    }

    private static RequestAction.Dispatch dispatched(List<RequestAction> actions) {
        return (RequestAction.Dispatch) actions.get(0);
    }

    private static FinalError failed(List<RequestAction> actions) {
        return actions.stream()
                .filter(RequestAction.Fail.class::isInstance)
                .map(action -> ((RequestAction.Fail) action).error())
                .findFirst()
                .orElseThrow();
    }

    private static StreamFrame frame(AttemptId attempt, long index, String data, boolean last) {
        return new StreamFrame(attempt, index, data.getBytes(StandardCharsets.UTF_8), last);
    }

    @Test
    public void a_claimed_request_runs_and_stores_its_answer() {
        RequestStateMachine machine = machine(false, true);
        assertTrue(machine.start().get(0) instanceof RequestAction.Claim);
        machine.onClaimAnswer(GRANT);
        AttemptId attempt = dispatched(machine.onChosen("b1", "medeu", 2_000)).attempt();
        machine.onResponseHead(attempt, 201, "application/json");
        List<RequestAction> actions = machine.onFrame(frame(attempt, 0, "{}", true), 2_100);
        assertEquals(actions.get(1), new RequestAction.Finish(201));
        ClaimAnswer.Settled stored = ((RequestAction.SettleClaim) actions.get(2)).stored();
        assertEquals(new String(stored.body(), StandardCharsets.UTF_8), "{}");
        assertEquals(stored.bodyDigest(), RequestFingerprint.digest("{}".getBytes(StandardCharsets.UTF_8)));
        assertTrue(machine.done());
    }

    @Test
    public void a_body_above_the_size_limit_is_stored_as_its_digest() {
        RequestStateMachine machine = machine(false, true);
        machine.start();
        machine.onClaimAnswer(GRANT);
        AttemptId attempt = dispatched(machine.onChosen("b1", "medeu", 2_000)).attempt();
        List<RequestAction> actions = machine.onFrame(frame(attempt, 0, "x".repeat(2_049), true), 2_100);
        ClaimAnswer.Settled stored = ((RequestAction.SettleClaim) actions.get(2)).stored();
        assertEquals(stored.body().length, 0);
        assertTrue(!stored.bodyKept() && stored.bodyDigest().length() == 64);
    }

    @Test
    public void a_claim_older_than_ten_seconds_is_abandoned_instead_of_dispatched() {
        RequestStateMachine machine = machine(false, true);
        machine.start();
        machine.onClaimAnswer(GRANT);
        List<RequestAction> actions = machine.onChosen("b1", "medeu", 11_000);
        assertEquals(failed(actions).outcome(), Outcome.NOT_RUN);
        assertEquals(actions.get(1), new RequestAction.AbandonClaim("c1"));
    }

    @Test
    public void a_broken_attempt_settles_the_claim_as_unknown_and_is_not_retried() {
        RequestStateMachine machine = machine(false, true);
        machine.start();
        machine.onClaimAnswer(GRANT);
        AttemptId attempt = dispatched(machine.onChosen("b1", "medeu", 2_000)).attempt();
        List<RequestAction> actions = machine.onBroken(attempt, 2_100);
        assertEquals(failed(actions).outcome(), Outcome.UNKNOWN);
        assertEquals(((RequestAction.SettleClaim) actions.get(1)).outcome(), Outcome.UNKNOWN);
    }

    @Test
    public void a_claim_granted_after_the_caller_disconnected_is_abandoned() {
        RequestStateMachine machine = machine(false, true);
        machine.start();
        machine.onCallerGone();
        assertEquals(machine.onClaimAnswer(GRANT), List.of(new RequestAction.AbandonClaim("c1")));
    }

    @Test
    public void an_interrupted_stream_resumes_at_the_next_index() {
        RequestStateMachine machine = machine(true, false);
        machine.start();
        AttemptId first = dispatched(machine.onChosen("b1", "medeu", 2_000)).attempt();
        machine.onFrame(frame(first, 0, "a", false), 2_100);
        List<RequestAction> cut = machine.onFrame(frame(first, 2, "c", true), 2_200);
        assertEquals(cut.get(0), new RequestAction.CancelAttempt(first));
        RequestAction.Dispatch second = dispatched(machine.onChosen("b2", "turksib", 2_300));
        assertEquals(second.resumeFrom(), 1);
        assertEquals(
                machine.onBroken(first, 2_400), List.of(), "an event of the first attempt does not end the request");
        assertTrue(machine.onFrame(frame(second.attempt(), 1, "b", true), 2_500).contains(new RequestAction.Finish(0)));
    }

    @Test
    public void a_queue_timeout_set_by_another_thread_ends_the_request_once() {
        RequestStateMachine machine = machine(true, false);
        machine.start();
        assertTrue(machine.attemptState().timeOut());
        assertEquals(machine.onChosen("b1", "medeu", 2_000), List.of());
        assertEquals(failed(machine.onQueueTimeout()).code(), ErrorCode.OVERLOADED);
        assertEquals(machine.onQueueTimeout(), List.of());
    }

    @Test
    public void every_claim_refusal_maps_to_its_error_code() {
        assertEquals(refusal(new ClaimAnswer.InFlight()), "IDEMPOTENCY_KEY_IN_FLIGHT unknown");
        assertEquals(refusal(new ClaimAnswer.OutcomeUnknown()), "IDEMPOTENCY_OUTCOME_UNKNOWN unknown");
        assertEquals(refusal(new ClaimAnswer.Reused()), "IDEMPOTENCY_KEY_REUSED not_run");
        assertEquals(refusal(new ClaimAnswer.Unavailable(1, "down", false)), "CLAIMS_UNAVAILABLE not_run");
    }

    private static String refusal(ClaimAnswer answer) {
        RequestStateMachine machine = machine(false, true);
        machine.start();
        FinalError error = failed(machine.onClaimAnswer(answer));
        return error.code() + " " + error.outcome().wireName();
    }
}
