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
 * State machine of one request. It takes events and returns the actions to perform; it does no I/O and reads no clock.
 * Every request ends with exactly one {@code Finish}, {@code Replay} or {@code Fail}, unless its caller disconnected.
 * Not thread safe, except for {@link #attemptState()}.
 *
 * <pre>{@code
 * for (RequestAction action : machine.onFrame(frame, clock.millis())) {
 *     perform(action);
 * }
 * }</pre>
 */
public final class RequestStateMachine {
    /**
     * Maximum time between sending a claim and dispatching the request. It is far below the claim window, so that a
     * node that was paused cannot run a request whose claim was given up and whose key was claimed again.
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
    private final ByteArrayOutputStream storedBody = new ByteArrayOutputStream();
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
    private boolean earlierAttemptMayHaveRun;
    private boolean callerGone;

    public RequestStateMachine(RequestSpec spec, RetryBudget budget, RandomGenerator random) {
        this.spec = spec;
        this.budget = budget;
        this.random = random;
    }

    /** Starts the request: claims its key if it has one, otherwise chooses a backend server. */
    public List<RequestAction> start() {
        requireStage(Stage.NEW);
        budget.countRequest();
        if (spec.keyed()) {
            stage = Stage.CLAIMING;
            return List.of(new RequestAction.Claim());
        }
        return choose();
    }

    /** Handles the answer to the claim. A claim that is granted after the request ended is abandoned. */
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
        return fail(ClaimErrors.of(answer));
    }

    /** Dispatches to the chosen backend server, unless the deadline or the claim dispatch limit has passed. */
    public List<RequestAction> onChosen(String chosen, String failureDomain, long nowMillis) {
        if (stage != Stage.CHOOSING) {
            return List.of();
        }
        if (nowMillis >= spec.deadlineMillis()) {
            return onDeadline();
        }
        if (claimExpired(nowMillis)) {
            return failUnsent(
                    ErrorCode.CLAIMS_UNAVAILABLE,
                    "more than " + CLAIM_DISPATCH_LIMIT_MILLIS / 1000
                            + " s passed between claiming the key and dispatching the request; retry the request");
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

    /** Fails the request because no backend server is available for it. */
    public List<RequestAction> onNoBackendServer() {
        return failUnsent(ErrorCode.NO_BACKEND_SERVER, "no backend server is available; retry the request");
    }

    /** Fails the request with the given code because it was not admitted or no backend server could be chosen. */
    public List<RequestAction> onNotAdmitted(ErrorCode code, long retryAfterMillis, String message) {
        attemptState.timeOut();
        return failUnsent(code, retryAfterMillis, message);
    }

    /** Refuses a request that crashed backend servers, unless it has already been sent. */
    public List<RequestAction> onQuarantined(long remainingMillis) {
        if (stage == Stage.RUNNING) {
            return List.of();
        }
        attemptState.cancel();
        return fail(new FinalError(
                ErrorCode.REQUEST_QUARANTINED,
                "quarantine",
                "self",
                unsentOutcome(),
                remainingMillis,
                "the request is quarantined because backend servers crashed while running it; change it, or retry it"
                        + " after " + remainingMillis / 1000 + " s"));
    }

    /** Fails a request that exceeded the time limit of the queue. */
    public List<RequestAction> onQueueTimeout() {
        attemptState.timeOut();
        if (stage != Stage.CHOOSING || attemptState.phase() != AttemptState.Phase.TIMED_OUT) {
            return List.of();
        }
        return failUnsent(ErrorCode.OVERLOADED, "the request exceeded the time limit of the queue; retry it later");
    }

    /**
     * Handles the disconnection of the caller. A claimed request that was already sent continues, so that a retry with
     * the same key gets the stored response.
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
        return failUnsent(ErrorCode.DEADLINE_EXCEEDED, "the caller disconnected");
    }

    /** Handles the status line and content type of the response. */
    public void onResponseHead(AttemptId from, int answerStatus, String answerContentType) {
        if (stage == Stage.RUNNING && from.equals(attempt)) {
            status = answerStatus;
            contentType = answerContentType;
        }
    }

    /** Handles a response frame of any attempt. */
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
                storeBody(frame.data());
                yield callerGone ? List.of() : List.of(new RequestAction.SendFrame(frame));
            }
            case RELEASE_LAST -> {
                storeBody(frame.data());
                yield finish(frame);
            }
        };
    }

    /** Handles a refusal by which the backend server declares that it did not run the attempt. */
    public List<RequestAction> onRefused(AttemptId from, long retryAfterMillis, long nowMillis) {
        if (stage != Stage.RUNNING || !from.equals(attempt)) {
            return List.of();
        }
        return attemptFailed(Outcome.NOT_RUN, retryAfterMillis, nowMillis);
    }

    /** Handles a broken connection, or a response that ended before its last frame. */
    public List<RequestAction> onBroken(AttemptId from, long nowMillis) {
        if (stage != Stage.RUNNING || !from.equals(attempt)) {
            return List.of();
        }
        return attemptFailed(Outcome.UNKNOWN, 0, nowMillis);
    }

    /** Fails the request at its deadline. */
    public List<RequestAction> onDeadline() {
        if (stage != Stage.RUNNING) {
            attemptState.timeOut();
            return failUnsent(
                    ErrorCode.DEADLINE_EXCEEDED,
                    "the deadline passed while the request waited for a backend server; retry it");
        }
        attemptState.settle(Outcome.UNKNOWN);
        List<RequestAction> actions = new ArrayList<>();
        actions.add(new RequestAction.CancelAttempt(attempt));
        actions.addAll(fail(new FinalError(
                ErrorCode.DEADLINE_EXCEEDED,
                "dispatch",
                backendServer,
                Outcome.UNKNOWN,
                0,
                "the deadline passed before the complete response arrived; check whether the request ran")));
        return actions;
    }

    /** Returns the state of the current attempt, which other threads may cancel or time out concurrently. */
    public AttemptState attemptState() {
        return attemptState;
    }

    /** Returns whether the request has ended and no further actions will follow from events of its attempts. */
    public boolean done() {
        return stage == Stage.DONE;
    }

    /** Returns whether the request waits for its claim or for a backend server. */
    public boolean waiting() {
        return stage == Stage.CLAIMING || stage == Stage.CHOOSING;
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
                        earlierAttemptMayHaveRun,
                        released > 0,
                        attempts,
                        spec.deadlineMillis() - nowMillis,
                        retryAfterMillis,
                        backendServer,
                        triedFailureDomains),
                budget);
        earlierAttemptMayHaveRun |= outcome != Outcome.NOT_RUN;
        if (decision instanceof RetryDecision.Fail fail) {
            return fail(fail.error());
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
                granted -> actions.add(new RequestAction.SettleClaim(granted.claimId(), Outcome.RAN, storedAnswer())));
        return actions;
    }

    private List<RequestAction> failUnsent(ErrorCode code, String message) {
        return failUnsent(code, code == ErrorCode.DEADLINE_EXCEEDED ? 0 : RetryDecision.RETRY_AFTER_MILLIS, message);
    }

    private List<RequestAction> failUnsent(ErrorCode code, long retryAfterMillis, String message) {
        return fail(new FinalError(code, "queue", "self", unsentOutcome(), retryAfterMillis, message));
    }

    private Outcome unsentOutcome() {
        return earlierAttemptMayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    }

    private List<RequestAction> fail(FinalError error) {
        if (stage == Stage.DONE) {
            return List.of();
        }
        stage = Stage.DONE;
        List<RequestAction> actions = new ArrayList<>();
        if (!callerGone) {
            actions.add(new RequestAction.Fail(error));
        }
        grant.ifPresent(granted -> actions.add(
                error.outcome() == Outcome.NOT_RUN
                        ? new RequestAction.AbandonClaim(granted.claimId())
                        : new RequestAction.SettleClaim(
                                granted.claimId(),
                                Outcome.UNKNOWN,
                                new ClaimAnswer.Settled(0, "", "", new byte[0], false))));
        return actions;
    }

    private void storeBody(byte[] data) {
        if (grant.isEmpty()) {
            return;
        }
        bodyBytes += data.length;
        bodyDigest.update(data);
        if (bodyBytes <= ClaimAnswer.Settled.MAX_BODY_BYTES) {
            storedBody.writeBytes(data);
        }
    }

    private ClaimAnswer.Settled storedAnswer() {
        boolean complete = bodyBytes <= ClaimAnswer.Settled.MAX_BODY_BYTES;
        return new ClaimAnswer.Settled(
                status,
                contentType,
                HexFormat.of().formatHex(bodyDigest.digest()),
                complete ? storedBody.toByteArray() : new byte[0],
                complete);
    }

    private boolean claimExpired(long nowMillis) {
        return grant.isPresent() && nowMillis - grant.get().sentAtMillis() >= CLAIM_DISPATCH_LIMIT_MILLIS;
    }

    private void requireStage(Stage expected) {
        if (stage != expected) {
            throw new IllegalStateException("the request is in stage " + stage + " instead of " + expected);
        }
    }

    private static MessageDigest newSha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must support it", e);
        }
    }
}
