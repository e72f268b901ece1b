package org.agatehatch.daemon.traffic;

import java.util.concurrent.CompletionStage;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.request.ClaimAnswer;

/** Claims the idempotency key of one request and records how the request ended. */
interface IdempotencyClaims {
    CompletionStage<ClaimAnswer> claim();

    /** Records the outcome of the request and the response to replay. */
    void settle(String claimId, Outcome outcome, ClaimAnswer.Settled stored);

    /** Records that the request did not run and will not run. */
    void abandon(String claimId);
}
