package org.agatehatch.daemon.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.RequestClass;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.request.AttemptState;
import org.agatehatch.internal.request.FinalError;
import org.agatehatch.internal.request.RequestSpec;
import org.agatehatch.internal.request.RequestStateMachine;
import org.agatehatch.internal.request.RetryBudget;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class RequestExecutionTest {
    private static final MonotonicClock CLOCK = MonotonicClock.system();
    private static final long DEADLINE_MILLIS = 60_000;

    private final List<Set<String>> triedByChoice = new ArrayList<>();
    private ActorSystem system;

    @BeforeClass
    public void start() {
        system = ActorSystem.create("request-execution-test");
    }

    @AfterClass
    public void stop() {
        system.terminate();
    }

    @BeforeMethod
    public void forget_choices() {
        triedByChoice.clear();
    }

    /**
     * Guards against a retry that counts as a new request: its first-token deadline has often passed, so the response
     * would end in the middle, or the retry would go to the server that skipped a frame.
     */
    @Test
    public void a_retry_after_a_skipped_frame_names_the_server_that_was_tried() throws Exception {
        RequestExecution execution = execution((server, attempt, resumeFrom) -> CompletableFuture.completedFuture(
                resumeFrom == 0
                        ? response(frame(attempt, 0, false), frame(attempt, 2, true))
                        : response(frame(attempt, resumeFrom, true))));

        assertCompleteAtTheSecondServer(execution);
    }

    /** Guards against a request that fails long before its deadline because a call of its first attempt timed out. */
    @Test
    public void a_timeout_before_the_deadline_ends_only_the_attempt() throws Exception {
        RequestExecution execution =
                execution((server, attempt, resumeFrom) -> server.name().equals("r0")
                        ? CompletableFuture.failedFuture(new TimeoutException("no body within 2 s"))
                        : CompletableFuture.completedFuture(response(frame(attempt, resumeFrom, true))));

        assertCompleteAtTheSecondServer(execution);
    }

    /** Guards against a request that is sent to a server although its caller left while it waited for one. */
    @Test
    public void a_request_whose_caller_leaves_while_it_waits_is_not_sent() throws Exception {
        CompletableFuture<ChosenBackend> waiting = new CompletableFuture<>();
        List<String> sent = new ArrayList<>();
        RequestExecution execution = execution((request, tried, state) -> waiting, (server, attempt, resumeFrom) -> {
            sent.add(server.name());
            return CompletableFuture.completedFuture(response(frame(attempt, 0, true)));
        });
        CompletionStage<Source<RequestOutput, NotUsed>> started = execution.start();
        execution.onCallerLeft();
        waiting.complete(backend("r0"));

        List<RequestOutput> outputs = started.thenCompose(source -> source.runWith(Sink.seq(), system))
                .toCompletableFuture()
                .get(DEADLINE_MILLIS, TimeUnit.MILLISECONDS);
        assertEquals(outputs, List.of(new RequestOutput.Failure(RequestObserver.CALLER_GONE)));
        assertTrue(waiting.isCancelled());
        assertEquals(sent, List.of());
    }

    private void assertCompleteAtTheSecondServer(RequestExecution execution) throws Exception {
        List<RequestOutput> outputs = execution
                .start()
                .thenCompose(source -> source.runWith(Sink.seq(), system))
                .toCompletableFuture()
                .get(DEADLINE_MILLIS, TimeUnit.MILLISECONDS);

        assertTrue(outputs.get(outputs.size() - 1) instanceof RequestOutput.Complete, outputs.toString());
        assertEquals(triedByChoice, List.of(Set.of(), Set.of("r0")));
    }

    private RequestExecution execution(AttemptSender sender) {
        return execution(this::choose, sender);
    }

    private RequestExecution execution(BackendChooser chooser, AttemptSender sender) {
        long nowMillis = CLOCK.millis();
        RequestContext context = new RequestContext(
                "req-1",
                true,
                "model",
                "pool",
                Optional.of("model"),
                Optional.empty(),
                "owner",
                new RequestClass("class", 50, 1_000, 1_000, DEADLINE_MILLIS),
                new long[0],
                0,
                1,
                1,
                1,
                CLOCK.nanos(),
                nowMillis + DEADLINE_MILLIS,
                1);
        RequestSpec spec = new RequestSpec(true, false, true, nowMillis + DEADLINE_MILLIS);
        return new RequestExecution(
                context,
                new RequestStateMachine(spec, new RetryBudget(10), new Random(7)),
                chooser,
                sender,
                new EngineClient(system, system.settings().config()),
                IdempotencyClaimsFactory.none(),
                (server, epoch, sentAtMillis) -> CompletableFuture.completedFuture(null),
                CLOCK,
                new IgnoringObserver());
    }

    private CompletableFuture<ChosenBackend> choose(RequestContext request, Set<String> tried, AttemptState state) {
        String name = "r" + triedByChoice.size();
        triedByChoice.add(tried);
        return CompletableFuture.completedFuture(backend(name));
    }

    private static ChosenBackend backend(String name) {
        BackendServer server = new BackendServer(name, "127.0.0.1:1", name, "region", "pool", "owner", 1, 1_000, true);
        return new ChosenBackend(server, new IgnoringAttemptObserver());
    }

    private static AttemptResponse response(ResponseFrame... frames) {
        return new AttemptResponse(200, "text/event-stream", "epoch", Source.from(List.of(frames)));
    }

    private static ResponseFrame frame(String attempt, long index, boolean last) {
        return new ResponseFrame(attempt, index, "data".getBytes(StandardCharsets.UTF_8), last);
    }

    private static final class IgnoringAttemptObserver implements ChosenBackend.AttemptObserver {
        @Override
        public void onFirstFrame() {
            // Not checked.
        }

        @Override
        public void onAttemptEnd(AttemptResult result) {
            // Not checked.
        }
    }

    private static final class IgnoringObserver implements RequestObserver {
        @Override
        public void onFrame(long index, byte[] data) {
            // Not checked.
        }

        @Override
        public void onDispatch(ChosenBackend chosen, String attempt, long resumeFrom) {
            // Not checked.
        }

        @Override
        public void onAttemptEnd(ChosenBackend chosen, AttemptResult result) {
            // Not checked.
        }

        @Override
        public void onEnd(Optional<FinalError> error) {
            // Not checked.
        }
    }
}
