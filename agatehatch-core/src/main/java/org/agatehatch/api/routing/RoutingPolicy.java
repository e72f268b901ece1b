package org.agatehatch.api.routing;

import java.util.List;
import java.util.Optional;

/**
 * Chooses a backend server for one attempt.
 *
 * <pre>{@code
 * RoutingPolicy first = (request, candidates) -> candidates.isEmpty()
 *         ? Optional.empty()
 *         : Optional.of(new RoutingDecision(candidates.get(0), 0, "first candidate"));
 * }</pre>
 */
@FunctionalInterface
public interface RoutingPolicy {
    /** Returns the decision, or empty if no candidate is eligible now. */
    Optional<RoutingDecision> choose(RoutingRequest request, List<Candidate> candidates);
}
