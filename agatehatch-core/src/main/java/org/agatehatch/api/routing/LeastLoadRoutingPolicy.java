package org.agatehatch.api.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the candidate with the fewest queued tokens, then the fewest running requests, then the lowest network
 * latency. With load reports that are not corrected for requests sent since, it is the baseline "least load as
 * reported". For plain services, whose queued tokens are 0, it chooses the fewest outstanding requests.
 */
public final class LeastLoadRoutingPolicy implements RoutingPolicy {
    private static final Comparator<Candidate> LEAST_LOAD = Comparator.comparingDouble(Candidate::queuedTokens)
            .thenComparingDouble(Candidate::runningRequests)
            .thenComparingDouble(Candidate::distanceMillis);

    @Override
    public Optional<RoutingDecision> choose(RoutingRequest request, List<Candidate> candidates) {
        return Eligibility.eligible(candidates).stream()
                .min(LEAST_LOAD)
                .map(chosen -> new RoutingDecision(
                        chosen, FirstTokenModel.DEFAULT.predictMillis(request, chosen), "least load"));
    }
}
