package org.agatehatch.internal.request;

import java.util.Set;
import org.agatehatch.api.errors.Outcome;

/**
 * An action that a {@link RequestStateMachine} asks its driver to perform. Actions are performed in the order in which
 * they are returned.
 */
public sealed interface RequestAction {
    /** Claim the idempotency key and report the result with {@code onClaimAnswer}. */
    record Claim() implements RequestAction {}

    /**
     * Queue the request, choose a backend server, and report the result with {@code onChosen} or
     * {@code onNoBackendServer}.
     *
     * @param avoidFailureDomains failure domains to use only if no other failure domain has a candidate
     */
    record Choose(Set<String> avoidFailureDomains) implements RequestAction {
        public Choose {
            avoidFailureDomains = Set.copyOf(avoidFailureDomains);
        }
    }

    /**
     * Send the request to the chosen backend server.
     *
     * @param resumeFrom index of the first frame to send; 0 for the complete response
     */
    record Dispatch(AttemptId attempt, String backendServer, long resumeFrom) implements RequestAction {}

    /** Send the payload of a frame to the caller. */
    record SendFrame(StreamFrame frame) implements RequestAction {}

    /** Cancel an attempt whose response is no longer needed. */
    record CancelAttempt(AttemptId attempt) implements RequestAction {}

    /** Complete the response with the status and outcome {@code RAN}. */
    record Finish(int status) implements RequestAction {}

    /** Return the stored response of an earlier request with the same key, with outcome {@code RAN}. */
    record Replay(ClaimAnswer.Settled stored) implements RequestAction {}

    /** Return an error; if frames were already sent, end the stream with an error event. */
    record Fail(FinalError error) implements RequestAction {}

    /**
     * Record the final outcome of a request with a claimed key.
     *
     * @param outcome {@code RAN} or {@code UNKNOWN}
     * @param stored the response; its status is 0 if the outcome is {@code UNKNOWN}
     */
    record SettleClaim(String claimId, Outcome outcome, ClaimAnswer.Settled stored) implements RequestAction {}

    /** Record that the request of a granted claim did not and will not run, so that the key can be claimed again. */
    record AbandonClaim(String claimId) implements RequestAction {}
}
