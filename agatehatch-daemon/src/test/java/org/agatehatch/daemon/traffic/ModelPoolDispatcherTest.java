package org.agatehatch.daemon.traffic;

import static org.agatehatch.daemon.traffic.DispatcherFixture.FIRST_MODEL;
import static org.agatehatch.daemon.traffic.DispatcherFixture.OTHER_RUNNER;
import static org.agatehatch.daemon.traffic.DispatcherFixture.OWNER;
import static org.agatehatch.daemon.traffic.DispatcherFixture.RUNNER;
import static org.agatehatch.daemon.traffic.DispatcherFixture.SECOND_MODEL;
import static org.agatehatch.daemon.traffic.DispatcherFixture.SERVICE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ModelPoolDispatcherTest {
    private static final Set<String> NONE = Set.of();
    /** Queue of a runner that gets no further requests: half a second at the prefill rate of the fixture. */
    private static final long FULL_RUNNER_TOKENS = 5_000;

    /** Age above which a load report does not count: 5 s, plus 1 ms. */
    private static final long STALE_REPORT_MILLIS = 5_001;

    private DispatcherFixture fixture;
    private PoolDispatcher dispatcher;

    @BeforeMethod
    public void create_dispatcher() {
        fixture = new DispatcherFixture();
        dispatcher = fixture.dispatcher();
    }

    /** Guards against a queued request of a removed model that stops the dispatch of its whole pool. */
    @Test
    public void a_queued_request_of_a_removed_model_is_refused_and_others_are_dispatched() {
        fixture.reportQueuedTokens(FULL_RUNNER_TOKENS);
        CompletableFuture<ChosenBackend> removed = fixture.choose(dispatcher, FIRST_MODEL, NONE);
        CompletableFuture<ChosenBackend> kept = fixture.choose(dispatcher, SECOND_MODEL, NONE);
        assertFalse(removed.isDone());

        fixture.removeModel(FIRST_MODEL);
        fixture.reportQueuedTokens(0);
        dispatcher.tick();

        assertEquals(errorOf(removed).code(), ErrorCode.MODEL_NOT_FOUND);
        assertTrue(kept.isDone());
        assertFalse(kept.isCompletedExceptionally());
    }

    /** Guards against an error in a dispatch that reaches the answer whose end triggered it, or stops the ticks. */
    @Test
    public void an_error_in_a_dispatch_does_not_reach_the_end_of_an_attempt_or_a_tick() {
        ChosenBackend chosen = fixture.choose(dispatcher, FIRST_MODEL, NONE).join();

        fixture.saturationFails = true;
        chosen.observer().onAttemptEnd(AttemptResult.ANSWERED);
        dispatcher.tick();
        CompletableFuture<ChosenBackend> waiting = fixture.choose(dispatcher, FIRST_MODEL, NONE);
        fixture.saturationFails = false;
        dispatcher.tick();

        assertTrue(waiting.isDone());
    }

    /** Guards against a response that ends in the middle because its owner reached a limit for new requests. */
    @Test
    public void a_retry_is_dispatched_although_its_owner_is_above_its_limits() {
        fixture.maxTokensPerSecond = 1;
        fixture.usage.recordUsage(OWNER, 0, 1_000_000);
        fixture.advanceMillis(1_000);
        assertEquals(errorOf(fixture.choose(dispatcher, FIRST_MODEL, NONE)).code(), ErrorCode.OWNER_LIMIT_REACHED);

        CompletableFuture<ChosenBackend> retry = fixture.choose(dispatcher, FIRST_MODEL, Set.of(RUNNER));

        assertEquals(retry.join().server().name(), OTHER_RUNNER);
    }

    /** Guards against a response that ends in the middle although a replica becomes ready before its deadline. */
    @Test
    public void a_retry_waits_for_a_replica_although_no_runner_has_the_model() {
        fixture.advanceMillis(DispatcherFixture.FIRST_TOKEN_MILLIS + STALE_REPORT_MILLIS);
        fixture.runnersByModel.put(FIRST_MODEL, List.of());
        CompletableFuture<ChosenBackend> retry = fixture.choose(dispatcher, FIRST_MODEL, Set.of(RUNNER));
        dispatcher.tick();
        assertFalse(retry.isDone());

        fixture.runnersByModel.put(FIRST_MODEL, List.of(OTHER_RUNNER));
        dispatcher.tick();

        assertEquals(retry.join().server().name(), OTHER_RUNNER);
    }

    /** Guards against a retry of a service that fails as soon as all servers are unavailable for a moment. */
    @Test
    public void a_retry_of_a_service_waits_for_a_server() {
        fixture.isModelPool = false;
        fixture.setLeaving(true);
        CompletableFuture<ChosenBackend> retry = fixture.choose(dispatcher, SERVICE, Set.of(RUNNER));
        fixture.retries.remove().run();
        fixture.retries.remove().run();
        assertFalse(retry.isDone());

        fixture.setLeaving(false);
        fixture.retries.remove().run();

        assertTrue(retry.isDone());
        assertFalse(retry.isCompletedExceptionally());
    }

    /** Guards against a retry without a server that never ends. */
    @Test
    public void a_retry_without_a_server_ends_at_its_deadline() {
        fixture.isModelPool = false;
        fixture.setLeaving(true);
        CompletableFuture<ChosenBackend> retry = fixture.choose(dispatcher, SERVICE, Set.of(RUNNER));
        fixture.retries.remove().run();

        fixture.advanceMillis(DispatcherFixture.DEADLINE_MILLIS);
        fixture.retries.remove().run();

        assertEquals(errorOf(retry).code(), ErrorCode.DEADLINE_EXCEEDED);
        assertTrue(fixture.retries.isEmpty());
    }

    private static AgatehatchException errorOf(CompletableFuture<ChosenBackend> refused) {
        CompletionException failure = expectThrows(CompletionException.class, () -> refused.getNow(null));
        return Failures.toAgatehatchException(failure, "choose");
    }
}
