package org.agatehatch.daemon.traffic;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.request.AttemptId;
import org.agatehatch.internal.request.FinalError;
import org.agatehatch.internal.request.RequestAction;
import org.agatehatch.internal.request.RequestStateMachine;
import org.agatehatch.internal.request.StreamFrame;
import org.apache.pekko.NotUsed;
import org.apache.pekko.japi.pf.PFBuilder;
import org.apache.pekko.stream.javadsl.Source;

/**
 * Executes one request: passes events to the {@link RequestStateMachine} and performs the actions that it returns. Calls of
 * the machine synchronize on this object, because deadline, caller and backend server act on different threads.
 */
final class RequestExecution {
    /** Replaces an attempt id that cannot be parsed, so that its frame counts as one of another attempt. */
    private static final AttemptId UNPARSABLE_ATTEMPT_ID = new AttemptId(0, 0);
    /** The last chunk follows the last frame at once; the limit allows for several round trips between regions. */
    private static final Duration DRAIN_TIMEOUT = Duration.ofMillis(250);

    private final RequestContext context;
    private final RequestStateMachine machine;
    private final BackendChooser chooser;
    private final AttemptSender sender;
    private final EngineClient engineClient;
    private final IdempotencyClaims claims;
    private final CrashCheck crashDetector;
    private final MonotonicClock clock;
    private final RequestObserver observer;
    private final Set<String> triedServers = new HashSet<>();
    private Optional<CompletableFuture<ChosenBackend>> choice = Optional.empty();
    private Optional<ChosenBackend> activeBackend = Optional.empty();
    private int responseStatus;
    private String responseContentType = "";
    private String runnerEpoch = "";
    private long sentAtMillis;
    private boolean callerLeft;
    private boolean ended;

    RequestExecution(
            RequestContext context,
            RequestStateMachine machine,
            BackendChooser chooser,
            AttemptSender sender,
            EngineClient engineClient,
            IdempotencyClaims claims,
            CrashCheck crashDetector,
            MonotonicClock clock,
            RequestObserver observer) {
        this.context = context;
        this.machine = machine;
        this.chooser = chooser;
        this.sender = sender;
        this.engineClient = engineClient;
        this.claims = claims;
        this.crashDetector = crashDetector;
        this.clock = clock;
        this.observer = observer;
    }

    /** Starts the request. Completes when a backend server begins to respond or the request ends. */
    CompletionStage<Source<RequestOutput, NotUsed>> start() {
        return proceed(applyEvent(machine::start))
                .thenApply(this::orCallerGone)
                .thenApply(source -> source.watchTermination((ignored, done) -> {
                    done.whenComplete((finished, failure) -> onCallerGone());
                    return NotUsed.getInstance();
                }));
    }

    private synchronized Source<RequestOutput, NotUsed> orCallerGone(Source<RequestOutput, NotUsed> source) {
        return callerLeft ? Source.single(new RequestOutput.Failure(RequestObserver.CALLER_GONE)) : source;
    }

    /** Ends the request if its caller has left before it is sent. One that was sent goes on until its answer begins. */
    void onCallerLeft() {
        List<RequestAction> actions;
        Optional<CompletableFuture<ChosenBackend>> pending;
        synchronized (this) {
            if (!machine.waiting()) {
                return;
            }
            callerLeft = true;
            actions = machine.onCallerGone();
            pending = choice;
        }
        perform(actions);
        end(Optional.of(RequestObserver.CALLER_GONE));
        // Takes the request out of the queue.
        pending.ifPresent(waiting -> waiting.cancel(false));
    }

    /** Emits the outputs of a step, followed by those of its next action. */
    private CompletionStage<Source<RequestOutput, NotUsed>> proceed(Step step) {
        Source<RequestOutput, NotUsed> now = Source.from(step.outputs());
        if (step.next().isEmpty()) {
            return CompletableFuture.completedFuture(now);
        }
        return performNext(step.next().get()).thenApply(now::concat);
    }

    private CompletionStage<Source<RequestOutput, NotUsed>> performNext(RequestAction next) {
        if (next instanceof RequestAction.Choose choose) {
            return choose().handle((chosen, failure) -> failure == null ? onChosen(chosen) : onNotChosen(failure))
                    .thenCompose(stage -> stage);
        }
        return claims.claim().thenCompose(answer -> proceed(applyEvent(() -> machine.onClaimAnswer(answer))));
    }

    private CompletableFuture<ChosenBackend> choose() {
        CompletableFuture<ChosenBackend> chosen = chooser.choose(context, copyOfTriedServers(), machine.attemptState())
                .toCompletableFuture();
        synchronized (this) {
            choice = Optional.of(chosen);
            if (machine.done()) {
                chosen.cancel(false);
            }
        }
        return chosen;
    }

    private Set<String> copyOfTriedServers() {
        synchronized (this) {
            return Set.copyOf(triedServers);
        }
    }

    private CompletionStage<Source<RequestOutput, NotUsed>> onNotChosen(Throwable failure) {
        AgatehatchException cause = Failures.toAgatehatchException(failure, "choose");
        return proceed(
                applyEvent(() -> machine.onNotAdmitted(cause.code(), cause.retryAfterMillis(), cause.getMessage())));
    }

    private CompletionStage<Source<RequestOutput, NotUsed>> onChosen(ChosenBackend chosen) {
        List<RequestAction> actions;
        synchronized (this) {
            actions = machine.onChosen(chosen.server().name(), chosen.server().failureDomain(), clock.millis());
        }
        if (actions.size() == 1 && actions.get(0) instanceof RequestAction.Dispatch dispatch) {
            return send(chosen, dispatch);
        }
        chosen.observer().onAttemptEnd(AttemptResult.CANCELLED);
        return proceed(perform(actions));
    }

    private CompletionStage<Source<RequestOutput, NotUsed>> send(
            ChosenBackend chosen, RequestAction.Dispatch dispatch) {
        synchronized (this) {
            activeBackend = Optional.of(chosen);
            runnerEpoch = "";
            sentAtMillis = clock.millis();
        }
        String attempt = dispatch.attempt().toString();
        observer.onDispatch(chosen, attempt, dispatch.resumeFrom());
        return sender.send(chosen.server(), attempt, dispatch.resumeFrom())
                .toCompletableFuture()
                .orTimeout(remainingMillis(), TimeUnit.MILLISECONDS)
                .handle((response, failure) -> failure == null
                        ? CompletableFuture.completedFuture(streamResponse(chosen, dispatch.attempt(), response))
                        : onAttemptFailed(chosen, dispatch.attempt(), failure))
                .thenCompose(stage -> stage);
    }

    /** Converts the frames of a response to outputs, and continues with the next attempt if this one ends early. */
    private Source<RequestOutput, NotUsed> streamResponse(
            ChosenBackend chosen, AttemptId attempt, AttemptResponse response) {
        synchronized (this) {
            machine.onResponseHead(attempt, response.status(), response.contentType());
            responseStatus = response.status();
            responseContentType = response.contentType();
            runnerEpoch = response.runnerEpoch();
        }
        List<AttemptEnding> ending = new ArrayList<>(1);
        return response.frames()
                .map(frame -> onFrame(chosen, frame))
                .via(new DrainAfterEnd<>(RequestExecution::endsComplete, DRAIN_TIMEOUT))
                .completionTimeout(Duration.ofMillis(remainingMillis()))
                .recover(new PFBuilder<Throwable, Step>()
                        .matchAny(failure -> Step.failed(failure))
                        .build())
                .mapConcat(step -> outputsOf(step, ending))
                .takeWhile(output -> !(output instanceof RequestOutput.AttemptEnded))
                .concatLazy(Source.lazySource(() -> afterAttempt(chosen, attempt, ending))
                        .mapMaterializedValue(ignored -> NotUsed.getInstance()));
    }

    private static List<RequestOutput> outputsOf(Step step, List<AttemptEnding> ending) {
        if (step.ending().isEmpty()) {
            return step.outputs();
        }
        ending.add(step.ending().get());
        if (endsComplete(step)) {
            return step.outputs();
        }
        List<RequestOutput> outputs = new ArrayList<>(step.outputs());
        outputs.add(new RequestOutput.AttemptEnded());
        return outputs;
    }

    private static boolean endsComplete(Step step) {
        return step.ending().filter(AttemptEnding::complete).isPresent();
    }

    private Source<RequestOutput, ?> afterAttempt(ChosenBackend chosen, AttemptId attempt, List<AttemptEnding> ending) {
        if (ending.isEmpty()) {
            return Source.completionStageSource(onAttemptFailed(chosen, attempt, new TruncatedResponseException()));
        }
        AttemptEnding end = ending.get(0);
        if (end.failure().isPresent()) {
            return Source.completionStageSource(
                    onAttemptFailed(chosen, attempt, end.failure().get()));
        }
        return end.next().isPresent()
                ? Source.completionStageSource(performNext(end.next().get()))
                : Source.empty();
    }

    private Step onFrame(ChosenBackend chosen, ResponseFrame frame) {
        chosen.observer().onFirstFrame();
        Step step = applyEvent(() -> machine.onFrame(toStreamFrame(frame), clock.millis()));
        if (step.next().isPresent()) {
            markTried(chosen);
            endAttempt(chosen, AttemptResult.BROKEN);
            return step.ending(new AttemptEnding(step.next(), Optional.empty()));
        }
        if (machine.done()) {
            endAttempt(chosen, AttemptResult.ANSWERED);
            return step.ending(new AttemptEnding(Optional.empty(), Optional.empty()));
        }
        return step;
    }

    /** Checks for a crash of the backend server first, so that the crash is recorded before the request is retried. */
    private CompletionStage<Source<RequestOutput, NotUsed>> onAttemptFailed(
            ChosenBackend chosen, AttemptId attempt, Throwable failure) {
        // Calls within an attempt have shorter timeouts, which end only the attempt.
        boolean deadlinePassed = clock.millis() >= context.deadlineMillis();
        if (deadlinePassed && Failures.unwrap(failure) instanceof TimeoutException) {
            Step step = applyEvent(machine::onDeadline);
            endAttempt(chosen, AttemptResult.CANCELLED);
            return proceed(step);
        }
        AgatehatchException cause = Failures.toAgatehatchException(failure, "dispatch");
        AttemptResult result = AttemptResult.of(cause);
        markTried(chosen);
        boolean mayHaveCrashed = result == AttemptResult.BROKEN;
        CompletionStage<Void> crashCheck =
                mayHaveCrashed ? detectCrash(chosen) : CompletableFuture.completedFuture(null);
        return crashCheck.thenCompose(ignored -> {
            endAttempt(chosen, result);
            long nowMillis = clock.millis();
            return proceed(applyEvent(() -> cause.outcome() == Outcome.NOT_RUN
                    ? machine.onRefused(attempt, cause.retryAfterMillis(), nowMillis)
                    : machine.onBroken(attempt, nowMillis)));
        });
    }

    private void markTried(ChosenBackend chosen) {
        synchronized (this) {
            triedServers.add(chosen.server().name());
        }
    }

    private CompletionStage<Void> detectCrash(ChosenBackend chosen) {
        String epoch;
        long sentMillis;
        synchronized (this) {
            epoch = runnerEpoch;
            sentMillis = sentAtMillis;
        }
        return crashDetector.detect(chosen.server(), epoch, sentMillis);
    }

    private static StreamFrame toStreamFrame(ResponseFrame frame) {
        return new StreamFrame(attemptId(frame.attempt()), frame.index(), frame.data(), frame.last());
    }

    private static AttemptId attemptId(String text) {
        try {
            return AttemptId.parse(text);
        } catch (AgatehatchException e) {
            return UNPARSABLE_ATTEMPT_ID;
        }
    }

    private void onCallerGone() {
        List<RequestAction> actions;
        synchronized (this) {
            if (machine.done()) {
                return;
            }
            actions = machine.onCallerGone();
        }
        perform(actions);
        Optional<ChosenBackend> backend;
        synchronized (this) {
            backend = activeBackend;
        }
        backend.ifPresent(chosen -> endAttempt(chosen, AttemptResult.CANCELLED));
        end(Optional.of(RequestObserver.CALLER_GONE));
    }

    private void endAttempt(ChosenBackend chosen, AttemptResult result) {
        synchronized (this) {
            if (activeBackend.isEmpty() || activeBackend.get() != chosen) {
                return;
            }
            activeBackend = Optional.empty();
        }
        chosen.observer().onAttemptEnd(result);
        observer.onAttemptEnd(chosen, result);
    }

    private Step applyEvent(MachineEvent event) {
        List<RequestAction> actions;
        synchronized (this) {
            actions = event.apply();
        }
        return perform(actions);
    }

    private Step perform(List<RequestAction> actions) {
        List<RequestOutput> outputs = new ArrayList<>(1);
        Optional<RequestAction> next = Optional.empty();
        for (RequestAction action : actions) {
            if (action instanceof RequestAction.Choose || action instanceof RequestAction.Claim) {
                next = Optional.of(action);
                continue;
            }
            perform(action).ifPresent(outputs::add);
        }
        return new Step(outputs, next, Optional.empty());
    }

    private Optional<RequestOutput> perform(RequestAction action) {
        if (action instanceof RequestAction.SendFrame send) {
            observer.onFrame(send.frame().index(), send.frame().data());
            return Optional.of(new RequestOutput.Payload(send.frame().data()));
        }
        if (action instanceof RequestAction.Finish) {
            end(Optional.empty());
            return Optional.of(new RequestOutput.Complete(responseStatus, responseContentType));
        }
        if (action instanceof RequestAction.Replay replay) {
            end(Optional.empty());
            return Optional.of(new RequestOutput.Replayed(replay.stored()));
        }
        if (action instanceof RequestAction.Fail fail) {
            end(Optional.of(fail.error()));
            return Optional.of(new RequestOutput.Failure(fail.error()));
        }
        performWithoutOutput(action);
        return Optional.empty();
    }

    private void performWithoutOutput(RequestAction action) {
        if (action instanceof RequestAction.CancelAttempt cancel) {
            Optional<ChosenBackend> backend;
            synchronized (this) {
                backend = activeBackend;
            }
            backend.ifPresent(chosen ->
                    engineClient.cancel(chosen.server(), cancel.attempt().toString()));
        } else if (action instanceof RequestAction.SettleClaim settle) {
            claims.settle(settle.claimId(), settle.outcome(), settle.stored());
        } else if (action instanceof RequestAction.AbandonClaim abandon) {
            claims.abandon(abandon.claimId());
        }
    }

    private void end(Optional<FinalError> error) {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
        }
        observer.onEnd(error);
    }

    private long remainingMillis() {
        return Math.max(1, context.deadlineMillis() - clock.millis());
    }

    /** End of an attempt: followed by an action, failed, or, if both are empty, with a complete response. */
    private record AttemptEnding(Optional<RequestAction> next, Optional<Throwable> failure) {
        private boolean complete() {
            return next.isEmpty() && failure.isEmpty();
        }
    }

    /**
     * Result of an event passed to the {@link RequestStateMachine}.
     *
     * @param next claim or choice with which the request continues
     * @param ending present if the current attempt has no further output
     */
    private record Step(List<RequestOutput> outputs, Optional<RequestAction> next, Optional<AttemptEnding> ending) {
        private Step ending(AttemptEnding end) {
            return new Step(outputs, Optional.empty(), Optional.of(end));
        }

        private static Step failed(Throwable failure) {
            AttemptEnding end = new AttemptEnding(Optional.empty(), Optional.of(failure));
            return new Step(List.of(), Optional.empty(), Optional.of(end));
        }
    }

    private static final class TruncatedResponseException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        private TruncatedResponseException() {
            super("the response ended before its final frame");
        }
    }

    @FunctionalInterface
    private interface MachineEvent {
        List<RequestAction> apply();
    }
}
