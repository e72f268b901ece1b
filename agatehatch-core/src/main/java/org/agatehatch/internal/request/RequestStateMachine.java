package org.agatehatch.internal.request;

import java.io.ByteArrayOutputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/**
 * Settles one request. Events go in, actions come out; the machine does no I/O and reads no clock. Every request ends
 * with exactly one {@code Finish}, {@code Replay} or {@code Fail}, unless its caller left. Not safe for use by several
 * threads, except {@link #attemptState()}.
 *
 * <pre>{@code
 * for (RequestAction action : machine.onFrame(frame, clock.millis())) {
 *     carryOut(action);
 * }
 * }</pre>
 */
public final class RequestStateMachine {
    /**
     * Most time between sending a claim and dispatching on it. Far below the claim window, so that a node that was
     * paused cannot run a key that was given up and claimed again.
     */
    public static final long CLAIM_DISPATCH_LIMIT_MILLIS = 10_000;

    private enum Stage {
        NEW,
        CLAIMING,
        CHOOSING,
        RUNNING,
        DONE
    }

    private final RequestSpec spec;
    private final RetryBudget budget;
    private final RandomGenerator random;
    private final Set<String> triedFailureDomains = new HashSet<>();
    private final ByteArrayOutputStream keptBody = new ByteArrayOutputStream();
    private final MessageDigest bodyDigest = newSha256();
    private Stage stage = Stage.NEW;
    private Optional<ClaimAnswer.Granted> grant = Optional.empty();
    private AttemptState attemptState = new AttemptState();
    private AttemptId attempt = new AttemptId(0, 0);
    private Optional<StreamAssembler> assembler = Optional.empty();
    private String backendServer = "self";
    private int attempts;
    private int status;
    private String contentType = "";
    private long bodyBytes;
    private boolean earlierUnknown;
    private boolean callerGone;

    public RequestStateMachine(RequestSpec spec, RetryBudget budget, RandomGenerator random) {
        this.spec = spec;
        this.budget = budget;
        this.random = random;
    }

    /** Starts the request. */
    public List<RequestAction> start() {
        requireStage(Stage.NEW);
        budget.countRequest();
        if (spec.keyed()) {
            stage = Stage.CLAIMING;
            return List.of(new RequestAction.Claim());
        }
        return choose();
    }

    /** Takes the answer to the claim. An answer that arrives after the request ended gives the claim back. */
    public List<RequestAction> onClaimAnswer(ClaimAnswer answer) {
        if (stage != Stage.CLAIMING) {
            return answer instanceof ClaimAnswer.Granted late
                    ? List.of(new RequestAction.AbandonClaim(late.claimId()))
                    : List.of();
        }
        if (answer instanceof ClaimAnswer.Granted granted) {
            grant = Optional.of(granted);
            return choose();
        }
        if (answer instanceof ClaimAnswer.Settled stored) {
            stage = Stage.DONE;
            return List.of(new RequestAction.Replay(stored));
        }
        return end(ClaimErrors.of(answer));
    }

    /** Dispatches to the chosen backend server, unless the deadline or the claim's time limit passed. */
    public List<RequestAction> onChosen(String chosen, String failureDomain, long nowMillis) {
        if (stage != Stage.CHOOSING) {
            return List.of();
        }
        if (nowMillis >= spec.deadlineMillis()) {
            return onDeadline();
        }
        if (claimExpired(nowMillis)) {
            return endUnsent(
                    ErrorCode.CLAIMS_UNAVAILABLE,
                    "more than " + CLAIM_DISPATCH_LIMIT_MILLIS / 1000
                            + " s passed since the key was claimed; repeat the request");
        }
        if (!attemptState.commit()) {
            return List.of();
        }
        attempts++;
        stage = Stage.RUNNING;
        backendServer = chosen;
        triedFailureDomains.add(failureDomain);
        attempt = AttemptId.random(random);
        if (assembler.isEmpty()) {
            assembler = Optional.of(new StreamAssembler(attempt));
        } else {
            assembler.get().resumeWith(attempt);
        }
        return List.of(
                new RequestAction.Dispatch(attempt, chosen, assembler.get().nextIndex()));
    }

    /** Fails the request because no backend server can take it. */
    public List<RequestAction> onNoBackendServer() {
        return endUnsent(ErrorCode.NO_BACKEND_SERVER, "no backend server is available; repeat the request");
    }

    /** Fails the request because admission refused it or no backend server could be chosen. */
    public List<RequestAction> onNotAdmitted(ErrorCode code, long retryAfterMillis, String message) {
        attemptState.timeOut();
        return endUnsent(code, retryAfterMillis, message);
    }

    /** Refuses a request that brought down backend servers, unless it was sent already. */
    public List<RequestAction> onQuarantined(long remainingMillis) {
        if (stage == Stage.RUNNING) {
            return List.of();
        }
        attemptState.cancel();
        return end(new FinalError(
                ErrorCode.REQUEST_QUARANTINED,
                "quarantine",
                "self",
                unsentOutcome(),
                remainingMillis,
                "backend servers died while they ran this request; change it, or repeat it after "
                        + remainingMillis / 1000 + " s"));
    }

    /** Ends a request that waited too long in the queue. */
    public List<RequestAction> onQueueTimeout() {
        attemptState.timeOut();
        if (stage != Stage.CHOOSING || attemptState.phase() != AttemptState.Phase.TIMED_OUT) {
            return List.of();
        }
        return endUnsent(ErrorCode.OVERLOADED, "the queue's time limit passed; repeat the request later");
    }

    /**
     * The caller left. A claimed request that was sent goes on without its caller, so that a repeat of the key gets the
     * stored answer.
     */
    public List<RequestAction> onCallerGone() {
        callerGone = true;
        if (stage == Stage.RUNNING && grant.isPresent()) {
            return List.of();
        }
        if (stage == Stage.RUNNING) {
            attemptState.settle(Outcome.UNKNOWN);
            stage = Stage.DONE;
            return List.of(new RequestAction.CancelAttempt(attempt));
        }
        attemptState.cancel();
        return endUnsent(ErrorCode.DEADLINE_EXCEEDED, "the caller left");
    }

    /** Takes the status line of the answer. */
    public void onResponseHead(AttemptId from, int answerStatus, String answerContentType) {
        if (stage == Stage.RUNNING && from.equals(attempt)) {
            status = answerStatus;
            contentType = answerContentType;
        }
    }

    /** Takes a frame of the answer, whichever attempt it belongs to. */
    public List<RequestAction> onFrame(StreamFrame frame, long nowMillis) {
        if (stage != Stage.RUNNING) {
            return List.of();
        }
        return switch (assembler.orElseThrow().accept(frame)) {
            case DROP -> List.of();
            case ABORT -> {
                List<RequestAction> actions = new ArrayList<>();
                actions.add(new RequestAction.CancelAttempt(attempt));
                actions.addAll(attemptFailed(Outcome.UNKNOWN, 0, nowMillis));
                yield actions;
            }
            case RELEASE -> {
                keepBody(frame.data());
                yield callerGone ? List.of() : List.of(new RequestAction.SendFrame(frame));
            }
            case RELEASE_LAST -> {
                keepBody(frame.data());
                yield finish(frame);
            }
        };
    }

    /** The backend server refused an attempt and declared that it did not run. */
    public List<RequestAction> onRefused(AttemptId from, long retryAfterMillis, long nowMillis) {
        if (stage != Stage.RUNNING || !from.equals(attempt)) {
            return List.of();
        }
        return attemptFailed(Outcome.NOT_RUN, retryAfterMillis, nowMillis);
    }

    /** The connection of an attempt broke, or its answer ended before the last frame. */
    public List<RequestAction> onBroken(AttemptId from, long nowMillis) {
        if (stage != Stage.RUNNING || !from.equals(attempt)) {
            return List.of();
        }
        return attemptFailed(Outcome.UNKNOWN, 0, nowMillis);
    }

    /** Ends the request at its deadline. */
    public List<RequestAction> onDeadline() {
        if (stage != Stage.RUNNING) {
            attemptState.timeOut();
            return endUnsent(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed before the request was sent; repeat it");
        }
        attemptState.settle(Outcome.UNKNOWN);
        List<RequestAction> actions = new ArrayList<>();
        actions.add(new RequestAction.CancelAttempt(attempt));
        actions.addAll(end(new FinalError(
                ErrorCode.DEADLINE_EXCEEDED,
                "dispatch",
                backendServer,
                Outcome.UNKNOWN,
                0,
                "the deadline passed before the whole answer arrived; find out whether it ran")));
        return actions;
    }

    /** Returns the state of the current attempt, on which other threads may race for the commit point. */
    public AttemptState attemptState() {
        return attemptState;
    }

    /** Returns whether the request was answered, or its caller left and nothing remains to be done. */
    public boolean done() {
        return stage == Stage.DONE;
    }

    private List<RequestAction> attemptFailed(Outcome outcome, long retryAfterMillis, long nowMillis) {
        attemptState.settle(outcome);
        assembler.orElseThrow().endAttempt();
        long released = assembler.orElseThrow().nextIndex();
        boolean resumable = released == 0 || spec.resumable();
        RetryDecision decision = RetryDecision.decide(
                new RetryDecision.Failure(
                        spec.idempotent() && resumable,
                        outcome,
                        claimExpired(nowMillis),
                        earlierUnknown,
                        released > 0,
                        attempts,
                        spec.deadlineMillis() - nowMillis,
                        retryAfterMillis,
                        backendServer,
                        triedFailureDomains),
                budget);
        earlierUnknown |= outcome != Outcome.NOT_RUN;
        if (decision instanceof RetryDecision.Fail fail) {
            return end(fail.error());
        }
        attemptState = new AttemptState();
        return choose();
    }

    private List<RequestAction> choose() {
        stage = Stage.CHOOSING;
        return List.of(new RequestAction.Choose(triedFailureDomains));
    }

    private List<RequestAction> finish(StreamFrame last) {
        attemptState.settle(Outcome.RAN);
        stage = Stage.DONE;
        List<RequestAction> actions = new ArrayList<>();
        if (!callerGone) {
            actions.add(new RequestAction.SendFrame(last));
            actions.add(new RequestAction.Finish(status));
        }
        grant.ifPresent(
                held -> actions.add(new RequestAction.SettleClaim(held.claimId(), Outcome.RAN, storedAnswer())));
        return actions;
    }

    private List<RequestAction> endUnsent(ErrorCode code, String message) {
        return endUnsent(code, code == ErrorCode.DEADLINE_EXCEEDED ? 0 : RetryDecision.RETRY_AFTER_MILLIS, message);
    }

    private List<RequestAction> endUnsent(ErrorCode code, long retryAfterMillis, String message) {
        return end(new FinalError(code, "queue", "self", unsentOutcome(), retryAfterMillis, message));
    }

    private Outcome unsentOutcome() {
        return earlierUnknown ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    }

    private List<RequestAction> end(FinalError error) {
        if (stage == Stage.DONE) {
            return List.of();
        }
        stage = Stage.DONE;
        List<RequestAction> actions = new ArrayList<>();
        if (!callerGone) {
            actions.add(new RequestAction.Fail(error));
        }
        grant.ifPresent(held -> actions.add(
                error.outcome() == Outcome.NOT_RUN
                        ? new RequestAction.AbandonClaim(held.claimId())
                        : new RequestAction.SettleClaim(
                                held.claimId(),
                                Outcome.UNKNOWN,
                                new ClaimAnswer.Settled(0, "", "", new byte[0], false))));
        return actions;
    }

    private void keepBody(byte[] data) {
        if (grant.isEmpty()) {
            return;
        }
        bodyBytes += data.length;
        bodyDigest.update(data);
        if (bodyBytes <= ClaimAnswer.Settled.MAX_BODY_BYTES) {
            keptBody.writeBytes(data);
        }
    }

    private ClaimAnswer.Settled storedAnswer() {
        boolean whole = bodyBytes <= ClaimAnswer.Settled.MAX_BODY_BYTES;
        return new ClaimAnswer.Settled(
                status,
                contentType,
                HexFormat.of().formatHex(bodyDigest.digest()),
                whole ? keptBody.toByteArray() : new byte[0],
                whole);
    }

    private boolean claimExpired(long nowMillis) {
        return grant.isPresent() && nowMillis - grant.get().sentAtMillis() >= CLAIM_DISPATCH_LIMIT_MILLIS;
    }

    private void requireStage(Stage wanted) {
        if (stage != wanted) {
            throw new IllegalStateException("the request is " + stage + ", not " + wanted);
        }
    }

    private static MessageDigest newSha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
