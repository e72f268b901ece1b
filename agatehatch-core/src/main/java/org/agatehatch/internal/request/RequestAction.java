package org.agatehatch.internal.request;

import java.util.Set;
import org.agatehatch.api.errors.Outcome;

/** What the caller of a {@link RequestStateMachine} is to do, in the order given. */
public sealed interface RequestAction {
    /** Claim the idempotency key and report the answer with {@code onClaimAnswer}. */
    record Claim() implements RequestAction {}

    /**
     * Choose a backend server, through the queue, and report it with {@code onChosen} or {@code onNoBackendServer}.
     *
     * @param avoidFailureDomains failure domains to use only if no other has a candidate
     */
    record Choose(Set<String> avoidFailureDomains) implements RequestAction {
        public Choose {
            avoidFailureDomains = Set.copyOf(avoidFailureDomains);
        }
    }

    /**
     * Send the request to the chosen backend server.
     *
     * @param resumeFrom index of the first frame wanted; 0 for a whole answer
     */
    record Dispatch(AttemptId attempt, String backendServer, long resumeFrom) implements RequestAction {}

    /** Send a frame's payload to the caller. */
    record SendFrame(StreamFrame frame) implements RequestAction {}

    /** Stop an attempt whose answer is no longer wanted. */
    record CancelAttempt(AttemptId attempt) implements RequestAction {}

    /** The answer is complete; end the response with the status and outcome {@code RAN}. */
    record Finish(int status) implements RequestAction {}

    /** Answer with the stored response of an earlier request with the same key and outcome {@code RAN}. */
    record Replay(ClaimAnswer.Settled stored) implements RequestAction {}

    /** Answer with an error; if frames were sent, end the stream with an error event. */
    record Fail(FinalError error) implements RequestAction {}

    /**
     * Record how the run of a claimed key ended.
     *
     * @param outcome {@code RAN} or {@code UNKNOWN}
     * @param stored the answer; its status is 0 if the outcome is {@code UNKNOWN}
     */
    record SettleClaim(String claimId, Outcome outcome, ClaimAnswer.Settled stored) implements RequestAction {}

    /** Record that a granted claim did not run and will not run, so that the key can be claimed again. */
    record AbandonClaim(String claimId) implements RequestAction {}
}
