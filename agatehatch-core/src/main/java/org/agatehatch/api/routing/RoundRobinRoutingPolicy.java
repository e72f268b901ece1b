package org.agatehatch.api.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Chooses the eligible candidates of each entry in turn. A baseline for experiments. */
public final class RoundRobinRoutingPolicy implements RoutingPolicy {
    /** One counter per entry: with a shared counter, two alternating entries would each always get the same runner. */
    private final Map<String, AtomicInteger> nextByEntry = new ConcurrentHashMap<>();

    @Override
    public Optional<RoutingDecision> choose(RoutingRequest request, List<Candidate> candidates) {
        List<Candidate> eligible = Eligibility.eligible(candidates);
        if (eligible.isEmpty()) {
            return Optional.empty();
        }
        int turn = nextByEntry
                .computeIfAbsent(request.entry(), entry -> new AtomicInteger())
                .getAndIncrement();
        Candidate chosen = eligible.get(Math.floorMod(turn, eligible.size()));
        return Optional.of(
                new RoutingDecision(chosen, FirstTokenModel.DEFAULT.predictMillis(request, chosen), "round robin"));
    }
}
