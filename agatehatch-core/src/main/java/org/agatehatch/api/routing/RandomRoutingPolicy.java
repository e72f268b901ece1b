package org.agatehatch.api.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.IntUnaryOperator;

/** Chooses uniformly at random among the eligible candidates. A baseline for experiments. */
public final class RandomRoutingPolicy implements RoutingPolicy {
    private final IntUnaryOperator randomBelow;

    /**
     * Creates the policy.
     *
     * @param randomBelow returns a uniform value from 0 inclusive to its argument exclusive
     */
    public RandomRoutingPolicy(IntUnaryOperator randomBelow) {
        this.randomBelow = randomBelow;
    }

    @Override
    public Optional<RoutingDecision> choose(RoutingRequest request, List<Candidate> candidates) {
        List<Candidate> eligible = Eligibility.eligible(candidates);
        if (eligible.isEmpty()) {
            return Optional.empty();
        }
        Candidate chosen = eligible.get(randomBelow.applyAsInt(eligible.size()));
        return Optional.of(
                new RoutingDecision(chosen, FirstTokenModel.DEFAULT.predictMillis(request, chosen), "random"));
    }
}
