package org.agatehatch.daemon.traffic;

import static org.agatehatch.daemon.traffic.DispatcherFixture.FIRST_MODEL;
import static org.agatehatch.daemon.traffic.DispatcherFixture.SECOND_MODEL;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

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

    private static AgatehatchException errorOf(CompletableFuture<ChosenBackend> refused) {
        CompletionException failure = expectThrows(CompletionException.class, () -> refused.getNow(null));
        return Failures.toAgatehatchException(failure, "choose");
    }
}
