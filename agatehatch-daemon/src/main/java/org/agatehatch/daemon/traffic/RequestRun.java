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
 * Carries out one request: feeds events to the {@link RequestStateMachine} and performs its actions. Calls of the machine
 * synchronise on this object, because deadline, caller and backend server act on different threads.
 */
final class RequestRun {
    /** Stands for an attempt id that cannot be parsed, so that its frame is counted as foreign. */
    private static final AttemptId FOREIGN = new AttemptId(0, 0);

    private final ChoiceRequest choice;
    private final RequestStateMachine machine;
    private final BackendChooser chooser;
    private final AttemptSender sender;
    private final EngineClient canceller;
    private final Claims claims;
    private final CrashExaminer crashes;
    private final MonotonicClock clock;
    private final RunObserver observer;
    private final Set<String> tried = new HashSet<>();
    private Optional<Chosen> current = Optional.empty();
    private int answerStatus;
    private String answerContentType = "";
    private String answerEpoch = "";
    private long sentAtMillis;
    private boolean ended;

    RequestRun(
            ChoiceRequest choice,
            RequestStateMachine machine,
            BackendChooser chooser,
            AttemptSender sender,
            EngineClient canceller,
            Claims claims,
            CrashExaminer crashes,
            MonotonicClock clock,
            RunObserver observer) {
        this.choice = choice;
        this.machine = machine;
        this.chooser = chooser;
        this.sender = sender;
        this.canceller = canceller;
        this.claims = claims;
        this.crashes = crashes;
        this.clock = clock;
        this.observer = observer;
    }

    /** Starts the request. The stage completes when a backend server began to answer or the request ended. */
    CompletionStage<Source<RunOutput, NotUsed>> start() {
        return proceed(step(machine::start))
                .thenApply(source -> source.watchTermination((ignored, done) -> {
                    done.whenComplete((finished, failure) -> onCallerStopped());
                    return NotUsed.getInstance();
                }));
    }

    /** Produces the outputs of a step, and those of what the step leads to. */
    private CompletionStage<Source<RunOutput, NotUsed>> proceed(Step step) {
        Source<RunOutput, NotUsed> now = Source.from(step.outputs());
        if (step.next().isEmpty()) {
            return CompletableFuture.completedFuture(now);
        }
        return goOn(step.next().get()).thenApply(now::concat);
    }

    private CompletionStage<Source<RunOutput, NotUsed>> goOn(RequestAction next) {
        if (next instanceof RequestAction.Choose choose) {
            return chooser.choose(choice, triedServers(), machine.attemptState())
                    .handle((found, failure) -> failure == null ? onChosen(found) : onNotChosen(failure))
                    .thenCompose(stage -> stage);
        }
        return claims.claim().thenCompose(answer -> proceed(step(() -> machine.onClaimAnswer(answer))));
    }

    private Set<String> triedServers() {
        synchronized (this) {
            return Set.copyOf(tried);
        }
    }

    private CompletionStage<Source<RunOutput, NotUsed>> onNotChosen(Throwable failure) {
        AgatehatchException cause = Failures.asError(failure, "choose");
        return proceed(step(() -> machine.onNotAdmitted(cause.code(), cause.retryAfterMillis(), cause.getMessage())));
    }

    private CompletionStage<Source<RunOutput, NotUsed>> onChosen(Chosen found) {
        List<RequestAction> actions;
        synchronized (this) {
            actions = machine.onChosen(found.server().name(), found.server().failureDomain(), clock.millis());
        }
        if (actions.size() == 1 && actions.get(0) instanceof RequestAction.Dispatch dispatch) {
            return send(found, dispatch);
        }
        found.observer().finished(AttemptResult.CANCELLED);
        return proceed(perform(actions));
    }

    private CompletionStage<Source<RunOutput, NotUsed>> send(Chosen found, RequestAction.Dispatch dispatch) {
        synchronized (this) {
            current = Optional.of(found);
            answerEpoch = "";
            sentAtMillis = clock.millis();
        }
        String attempt = dispatch.attempt().toString();
        observer.onDispatch(found, attempt, dispatch.resumeFrom());
        return sender.send(found.server(), attempt, dispatch.resumeFrom())
                .toCompletableFuture()
                .orTimeout(leftMillis(), TimeUnit.MILLISECONDS)
                .handle((answer, failure) -> failure == null
                        ? CompletableFuture.completedFuture(follow(found, dispatch.attempt(), answer))
                        : onAttemptFailed(found, dispatch.attempt(), failure))
                .thenCompose(stage -> stage);
    }

    /** Turns an answer's frames into outputs, and goes on with the next attempt where this one ends too early. */
    private Source<RunOutput, NotUsed> follow(Chosen found, AttemptId attempt, Answer answer) {
        synchronized (this) {
            machine.onResponseHead(attempt, answer.status(), answer.contentType());
            answerStatus = answer.status();
            answerContentType = answer.contentType();
            answerEpoch = answer.runnerEpoch();
        }
        List<Ending> ending = new ArrayList<>(1);
        return answer.frames()
                .map(frame -> onFrame(found, frame))
                .completionTimeout(Duration.ofMillis(leftMillis()))
                .recover(new PFBuilder<Throwable, Step>()
                        .matchAny(failure -> Step.failed(failure))
                        .build())
                .mapConcat(step -> outputsOf(step, ending))
                .takeWhile(output -> !(output instanceof RunOutput.AttemptOver))
                .concatLazy(Source.lazySource(() -> afterAttempt(found, attempt, ending))
                        .mapMaterializedValue(ignored -> NotUsed.getInstance()));
    }

    private static List<RunOutput> outputsOf(Step step, List<Ending> ending) {
        if (step.ending().isEmpty()) {
            return step.outputs();
        }
        boolean over = !ending.isEmpty() || !step.ending().get().whole();
        ending.add(step.ending().get());
        if (!over) {
            // The rest of the response is read, so that its connection can be used again.
            return step.outputs();
        }
        List<RunOutput> outputs = new ArrayList<>(step.outputs());
        outputs.add(new RunOutput.AttemptOver());
        return outputs;
    }

    private Source<RunOutput, ?> afterAttempt(Chosen found, AttemptId attempt, List<Ending> ending) {
        if (ending.isEmpty()) {
            return Source.completionStageSource(onAttemptFailed(found, attempt, new CutAnswerException()));
        }
        Ending end = ending.get(0);
        if (end.failure().isPresent()) {
            return Source.completionStageSource(
                    onAttemptFailed(found, attempt, end.failure().get()));
        }
        return end.next().isPresent()
                ? Source.completionStageSource(goOn(end.next().get()))
                : Source.empty();
    }

    private Step onFrame(Chosen found, AnswerFrame frame) {
        found.observer().started();
        Step step = step(() -> machine.onFrame(checked(frame), clock.millis()));
        if (step.next().isPresent()) {
            finished(found, AttemptResult.BROKEN);
            return step.ending(new Ending(step.next(), Optional.empty()));
        }
        if (machine.done()) {
            finished(found, AttemptResult.ANSWERED);
            return step.ending(new Ending(Optional.empty(), Optional.empty()));
        }
        return step;
    }

    /** Finds out first whether the backend server died, so that a crash counts before the request is sent again. */
    private CompletionStage<Source<RunOutput, NotUsed>> onAttemptFailed(
            Chosen found, AttemptId attempt, Throwable failure) {
        if (Failures.unwrap(failure) instanceof TimeoutException) {
            Step step = step(machine::onDeadline);
            finished(found, AttemptResult.CANCELLED);
            return proceed(step);
        }
        AgatehatchException cause = Failures.asError(failure, "dispatch");
        AttemptResult result = AttemptResult.of(cause);
        synchronized (this) {
            tried.add(found.server().name());
        }
        boolean sent = result == AttemptResult.BROKEN;
        CompletionStage<Void> examined = sent ? examine(found) : CompletableFuture.completedFuture(null);
        return examined.thenCompose(ignored -> {
            finished(found, result);
            long nowMillis = clock.millis();
            return proceed(step(() -> cause.outcome() == Outcome.NOT_RUN
                    ? machine.onRefused(attempt, cause.retryAfterMillis(), nowMillis)
                    : machine.onBroken(attempt, nowMillis)));
        });
    }

    private CompletionStage<Void> examine(Chosen found) {
        String epoch;
        long atMillis;
        synchronized (this) {
            epoch = answerEpoch;
            atMillis = sentAtMillis;
        }
        return crashes.examine(found.server(), epoch, atMillis);
    }

    private static StreamFrame checked(AnswerFrame frame) {
        return new StreamFrame(attemptId(frame.attempt()), frame.index(), frame.data(), frame.last());
    }

    private static AttemptId attemptId(String text) {
        try {
            return AttemptId.parse(text);
        } catch (AgatehatchException e) {
            return FOREIGN;
        }
    }

    private void onCallerStopped() {
        List<RequestAction> actions;
        synchronized (this) {
            if (machine.done()) {
                return;
            }
            actions = machine.onCallerGone();
        }
        perform(actions);
        Optional<Chosen> left;
        synchronized (this) {
            left = current;
        }
        left.ifPresent(found -> finished(found, AttemptResult.CANCELLED));
        end(Optional.of(RunObserver.CALLER_GONE));
    }

    private void finished(Chosen found, AttemptResult result) {
        synchronized (this) {
            if (current.isEmpty() || current.get() != found) {
                return;
            }
            current = Optional.empty();
        }
        found.observer().finished(result);
        observer.onAttemptEnd(found, result);
    }

    private Step step(MachineEvent event) {
        List<RequestAction> actions;
        synchronized (this) {
            actions = event.apply();
        }
        return perform(actions);
    }

    private Step perform(List<RequestAction> actions) {
        List<RunOutput> outputs = new ArrayList<>(1);
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

    private Optional<RunOutput> perform(RequestAction action) {
        if (action instanceof RequestAction.SendFrame send) {
            observer.onFrame(send.frame().index(), send.frame().data());
            return Optional.of(new RunOutput.Payload(send.frame().data()));
        }
        if (action instanceof RequestAction.Finish) {
            end(Optional.empty());
            return Optional.of(new RunOutput.Complete(answerStatus, answerContentType));
        }
        if (action instanceof RequestAction.Replay replay) {
            end(Optional.empty());
            return Optional.of(new RunOutput.Replayed(replay.stored()));
        }
        if (action instanceof RequestAction.Fail fail) {
            end(Optional.of(fail.error()));
            return Optional.of(new RunOutput.Failure(fail.error()));
        }
        performSilently(action);
        return Optional.empty();
    }

    private void performSilently(RequestAction action) {
        if (action instanceof RequestAction.CancelAttempt cancel) {
            Optional<Chosen> at;
            synchronized (this) {
                at = current;
            }
            at.ifPresent(
                    found -> canceller.cancel(found.server(), cancel.attempt().toString()));
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

    private long leftMillis() {
        return Math.max(1, choice.deadlineMillis() - clock.millis());
    }

    /** How an attempt ended: with a next step, with a failure, or, if neither is there, with the whole answer. */
    private record Ending(Optional<RequestAction> next, Optional<Throwable> failure) {
        private boolean whole() {
            return next.isEmpty() && failure.isEmpty();
        }
    }

    /**
     * Result of one event.
     *
     * @param next claim or choice that the request goes on with
     * @param ending present if nothing more comes from the present attempt
     */
    private record Step(List<RunOutput> outputs, Optional<RequestAction> next, Optional<Ending> ending) {
        private Step ending(Ending end) {
            return new Step(outputs, Optional.empty(), Optional.of(end));
        }

        private static Step failed(Throwable failure) {
            Ending end = new Ending(Optional.empty(), Optional.of(failure));
            return new Step(List.of(), Optional.empty(), Optional.of(end));
        }
    }

    /** The answer ended before its last frame. */
    private static final class CutAnswerException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        private CutAnswerException() {
            super("the answer ended before its last frame");
        }
    }

    @FunctionalInterface
    private interface MachineEvent {
        List<RequestAction> apply();
    }
}
