package org.agatehatch.daemon.traffic;

import java.util.concurrent.CompletionStage;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.request.ClaimAnswer;

/** Claims of the idempotency key of one request. */
interface IdempotencyClaims {
    /** Claims the key. */
    CompletionStage<ClaimAnswer> claim();

    /** Records how the run ended. */
    void settle(String claimId, Outcome outcome, ClaimAnswer.Settled stored);

    /** Records that the claim did not run and will not run. */
    void abandon(String claimId);
}
