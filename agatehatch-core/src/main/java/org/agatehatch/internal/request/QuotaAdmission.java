package org.agatehatch.internal.request;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.fleet.TeamSpec;

/** Decides whether a request is within its team's quota, which holds over all nodes together. */
@FunctionalInterface
public interface QuotaAdmission {
    /** Admits every request. */
    QuotaAdmission UNLIMITED = (team, tokens) -> CompletableFuture.completedFuture(Admission.UNCHARGED);

    /** Decides on a request that costs the given number of tokens. Completes on the traffic thread. */
    CompletionStage<Admission> admit(TeamSpec team, long tokens);

    /**
     * The decision on a request.
     *
     * @param retryAfterMillis time after which the tokens should be there, if the request was not granted
     * @param charge what the request was charged, if it was granted
     */
    record Admission(boolean granted, long retryAfterMillis, Charge charge) {
        /** A request that costs nothing. */
        public static final Admission UNCHARGED = new Admission(true, 0, Charge.NONE);
    }

    /** Tokens that a request was charged. */
    @FunctionalInterface
    interface Charge {
        /** Nothing was charged. */
        Charge NONE = () -> {};

        /** Gives the tokens back, because the request did not run and never will. Only the first call counts. */
        void refund();
    }
}
