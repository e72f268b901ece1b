package org.agatehatch.internal.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.agatehatch.api.fleet.RequestKind;
import org.agatehatch.api.fleet.RouteSpec;
import org.agatehatch.api.fleet.WeightedService;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against requests that run more often than their route allows, and against refusals of requests that may have
 * run.
 */
public final class ForwardingStateMachineTest {
    private static RouteSpec route(RequestKind kind, boolean resumable, int maxAttempts) {
        return new RouteSpec(
                "r",
                "h",
                "/p/",
                kind,
                1_000,
                200,
                0,
                List.of(new WeightedService("s", 1)),
                maxAttempts,
                resumable,
                250);
    }

    @DataProvider
    public Object[][] firstAttemptEnds() {
        RouteSpec once = route(RequestKind.AT_MOST_ONCE, false, 3);
        RouteSpec stream = route(RequestKind.STREAM, false, 3);
        RouteSpec resumable = route(RequestKind.STREAM, true, 2);
        RouteSpec safe = route(RequestKind.IDEMPOTENT, false, 2);
        RouteSpec safeOnce = route(RequestKind.IDEMPOTENT, false, 1);
        return new Object[][] {
            {once, AttemptEnd.NOT_CONNECTED, ForwardingStateMachine.NextStep.RETRY},
            {once, AttemptEnd.REFUSED, ForwardingStateMachine.NextStep.RETRY},
            {once, AttemptEnd.MISDIRECTED, ForwardingStateMachine.NextStep.RETRY},
            {once, AttemptEnd.BROKEN, ForwardingStateMachine.NextStep.FAIL},
            {once, AttemptEnd.SILENT, ForwardingStateMachine.NextStep.FAIL},
            {once, AttemptEnd.SERVER_ERROR, ForwardingStateMachine.NextStep.DELIVER},
            {stream, AttemptEnd.BROKEN, ForwardingStateMachine.NextStep.FAIL},
            {resumable, AttemptEnd.BROKEN, ForwardingStateMachine.NextStep.RETRY},
            {safe, AttemptEnd.BROKEN, ForwardingStateMachine.NextStep.RETRY},
            {safe, AttemptEnd.SERVER_ERROR, ForwardingStateMachine.NextStep.RETRY},
            {safeOnce, AttemptEnd.BROKEN, ForwardingStateMachine.NextStep.FAIL},
            {safeOnce, AttemptEnd.SERVER_ERROR, ForwardingStateMachine.NextStep.DELIVER},
            {safeOnce, AttemptEnd.ANSWERED, ForwardingStateMachine.NextStep.DELIVER},
        };
    }

    @Test(dataProvider = "firstAttemptEnds")
    public void a_retry_after_the_first_attempt_depends_on_whether_it_may_have_run(
            RouteSpec route, AttemptEnd end, ForwardingStateMachine.NextStep expected) {
        ForwardingStateMachine machine = new ForwardingStateMachine(route, () -> true);
        machine.onSent();
        assertEquals(machine.onAttemptEnd(end), expected);
    }

    @Test
    public void a_request_is_not_resent_without_retry_budget() {
        ForwardingStateMachine machine =
                new ForwardingStateMachine(route(RequestKind.IDEMPOTENT, false, 3), () -> false);
        machine.onSent();
        assertEquals(machine.onAttemptEnd(AttemptEnd.REFUSED), ForwardingStateMachine.NextStep.REFUSE);
    }

    @Test
    public void a_request_that_may_have_run_fails_instead_of_being_refused() {
        ForwardingStateMachine machine =
                new ForwardingStateMachine(route(RequestKind.IDEMPOTENT, false, 3), () -> true);
        machine.onSent();
        machine.onAttemptEnd(AttemptEnd.BROKEN);
        assertEquals(machine.onNoServer(), ForwardingStateMachine.NextStep.FAIL);
    }

    @Test
    public void a_started_response_is_cut_off_and_never_replaced() {
        ForwardingStateMachine machine = new ForwardingStateMachine(route(RequestKind.STREAM, false, 1), () -> true);
        machine.onSent();
        machine.onResponseStarted();
        assertEquals(machine.onAttemptEnd(AttemptEnd.BROKEN), ForwardingStateMachine.NextStep.CUT_OFF);
        assertEquals(machine.onTimeout(false), ForwardingStateMachine.NextStep.CUT_OFF);
    }

    @Test
    public void a_timeout_refuses_only_requests_that_were_never_sent() {
        RouteSpec route = route(RequestKind.AT_MOST_ONCE, false, 1);
        assertEquals(
                new ForwardingStateMachine(route, () -> true).onTimeout(false), ForwardingStateMachine.NextStep.REFUSE);
        assertEquals(
                new ForwardingStateMachine(route, () -> true).onTimeout(true),
                ForwardingStateMachine.NextStep.TIME_OUT);
    }

    // Guards against a second attempt beside an open one that makes more runs possible than the route allows.
    @Test
    public void an_attempt_beside_an_open_one_counts_both_as_possible_runs() {
        ForwardingStateMachine machine = new ForwardingStateMachine(route(RequestKind.STREAM, true, 2), () -> true);
        machine.onSent();
        assertTrue(machine.maySendBesideOpenAttempt());
        machine.onSent();
        machine.onAttemptEndBesideAnother(AttemptEnd.SILENT);
        assertFalse(machine.maySendBesideOpenAttempt());
        assertEquals(machine.onAttemptEnd(AttemptEnd.BROKEN), ForwardingStateMachine.NextStep.FAIL);
    }

    // Guards against sends and connection attempts without end while a server is silent.
    @Test
    public void sends_and_failed_connections_beside_an_open_attempt_are_limited() {
        RouteSpec route = route(RequestKind.IDEMPOTENT, false, 9);
        ForwardingStateMachine refused = new ForwardingStateMachine(route, () -> true);
        for (int i = 0; i < ForwardingStateMachine.MAX_SEND_ATTEMPTS; i++) {
            assertTrue(refused.maySendBesideOpenAttempt());
            refused.onSent();
            refused.onAttemptEndBesideAnother(AttemptEnd.REFUSED);
        }
        assertFalse(refused.maySendBesideOpenAttempt());
        ForwardingStateMachine unreachable = new ForwardingStateMachine(route, () -> true);
        for (int i = 0; i < ForwardingStateMachine.MAX_FAILED_CONNECTS; i++) {
            assertTrue(unreachable.maySendBesideOpenAttempt());
            unreachable.onAttemptEndBesideAnother(AttemptEnd.NOT_CONNECTED);
        }
        assertFalse(unreachable.maySendBesideOpenAttempt());
    }

    @Test
    public void no_attempt_is_sent_beside_an_open_one_unless_the_route_allows_two_runs() {
        for (RouteSpec route : List.of(
                route(RequestKind.AT_MOST_ONCE, false, 3),
                route(RequestKind.STREAM, false, 3),
                route(RequestKind.IDEMPOTENT, false, 1))) {
            assertFalse(new ForwardingStateMachine(route, () -> true).maySendBesideOpenAttempt(), route.toString());
        }
    }

    /** Random sequences of attempt ends, checked against the guarantees about runs, refusals and sends. */
    @Test
    public void no_sequence_of_attempt_ends_breaks_the_run_guarantees() {
        Random random = new Random(20261204);
        AttemptEnd[] ends = AttemptEnd.values();
        for (int round = 0; round < 20_000; round++) {
            RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
            RouteSpec route = route(kind, random.nextBoolean(), 1 + random.nextInt(3));
            ForwardingStateMachine machine = new ForwardingStateMachine(route, random::nextBoolean);
            int runs = 0;
            ForwardingStateMachine.NextStep next = ForwardingStateMachine.NextStep.RETRY;
            Set<ForwardingStateMachine.NextStep> refusals = EnumSet.of(ForwardingStateMachine.NextStep.REFUSE);
            while (next == ForwardingStateMachine.NextStep.RETRY) {
                AttemptEnd end = ends[random.nextInt(ends.length)];
                if (end != AttemptEnd.NOT_CONNECTED && end != AttemptEnd.WITHDRAWN) {
                    machine.onSent();
                }
                runs += end.mayHaveRun() ? 1 : 0;
                next = machine.onAttemptEnd(end);
                assertFalse(refusals.contains(next) && runs > 0, "refused after " + runs + " possible runs");
            }
            int allowed = route.repeatable() ? route.maxAttempts() : 1;
            assertFalse(runs > allowed, runs + " possible runs on a route that allows " + allowed);
            assertFalse(
                    machine.sendCount() > ForwardingStateMachine.MAX_SEND_ATTEMPTS, "sends: " + machine.sendCount());
        }
    }
}
