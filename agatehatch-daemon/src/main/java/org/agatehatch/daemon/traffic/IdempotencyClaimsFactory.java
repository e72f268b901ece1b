package org.agatehatch.daemon.traffic;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.process.ClaimClient;
import org.agatehatch.internal.request.ClaimAnswer;
import org.agatehatch.internal.request.ClaimScope;

/** Creates {@link IdempotencyClaims} that call the node's {@link ClaimClient} on its own executor. */
public final class IdempotencyClaimsFactory {
    private final ClaimClient client;
    private final Executor executor;

    public IdempotencyClaimsFactory(ClaimClient client, Executor executor) {
        this.client = client;
        this.executor = executor;
    }

    /** Returns the claims for one request. */
    IdempotencyClaims forRequest(ClaimScope scope, long fingerprint, long deadlineMillis) {
        return new IdempotencyClaims() {
            @Override
            public CompletionStage<ClaimAnswer> claim() {
                CompletableFuture<ClaimAnswer> claimAnswer = new CompletableFuture<>();
                executor.execute(() -> client.claim(scope, fingerprint, deadlineMillis)
                        .whenComplete((result, failure) -> {
                            if (failure == null) {
                                claimAnswer.complete(result);
                            } else {
                                claimAnswer.completeExceptionally(failure);
                            }
                        }));
                return claimAnswer;
            }

            @Override
            public void settle(String claimId, Outcome outcome, ClaimAnswer.Settled stored) {
                executor.execute(() -> client.settle(claimId, scope, outcome, stored));
            }

            @Override
            public void abandon(String claimId) {
                executor.execute(() -> client.abandon(claimId, scope));
            }
        };
    }

    /** Returns the claims for a request without an idempotency key, which never claims one. */
    static IdempotencyClaims none() {
        return new IdempotencyClaims() {
            @Override
            public CompletionStage<ClaimAnswer> claim() {
                throw new IllegalStateException("a request without an idempotency key must not claim one");
            }

            @Override
            public void settle(String claimId, Outcome outcome, ClaimAnswer.Settled stored) {
                // Nothing was claimed.
            }

            @Override
            public void abandon(String claimId) {
                // Nothing was claimed.
            }
        };
    }
}
