package org.agatehatch.api.fleet;

import java.util.Optional;

/**
 * Limit on the tokens that a team's requests may cost over all nodes together: a token bucket.
 *
 * @param plainRequestTokens cost of a request without generation, and the least cost of one with it
 * @param tokensPerSecond rate at which the bucket fills; 0 if there is no limit
 * @param burstTokens capacity of the bucket
 * @param countsRequests whether requests with generation cost as much as those without
 */
public record QuotaSpec(long plainRequestTokens, double tokensPerSecond, double burstTokens, boolean countsRequests) {
    /** No limit. */
    public static final QuotaSpec UNLIMITED = new QuotaSpec(0, 0, 0);

    public QuotaSpec {
        if (plainRequestTokens < 0 || !(tokensPerSecond >= 0) || !(burstTokens >= 0)) {
            throw new IllegalArgumentException(
                    "a quota is negative: " + plainRequestTokens + " tokens for a plain request, " + tokensPerSecond
                            + " tokens/s, burst " + burstTokens + " tokens");
        }
    }

    /** Creates a quota in which a request with generation costs its tokens. */
    public QuotaSpec(long plainRequestTokens, double tokensPerSecond, double burstTokens) {
        this(plainRequestTokens, tokensPerSecond, burstTokens, false);
    }

    /** Creates a quota in which each request costs one token. */
    public static QuotaSpec ofRequests(double requestsPerSecond, double burstRequests) {
        return new QuotaSpec(1, requestsPerSecond, burstRequests, true);
    }

    /** Returns what a request costs, in tokens. Callers state their tokens, so none costs less than a plain request. */
    public long cost(Optional<GenerationRequest> generation) {
        return generation
                .filter(request -> !countsRequests)
                .map(request -> Math.max(plainRequestTokens, (long) request.promptTokens() + request.maxOutputTokens()))
                .orElse(plainRequestTokens);
    }

    /** Returns whether the team has a limit at all. */
    public boolean limited() {
        return tokensPerSecond > 0;
    }
}
