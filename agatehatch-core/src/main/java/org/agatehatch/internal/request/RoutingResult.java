package org.agatehatch.internal.request;

import java.util.Optional;
import org.agatehatch.api.routing.Candidate;
import org.agatehatch.api.routing.RoutingDecision;
import org.agatehatch.api.routing.RoutingRequest;

/**
 * Result of routing one attempt, with the figures for the decision log.
 *
 * @param decision empty if no backend server can take the attempt now
 * @param knownServers number of backend servers that serve the entry
 * @param scoredServers number of backend servers that were candidates for the policy
 */
public record RoutingResult(
        RoutingRequest request, Optional<RoutingDecision> decision, int knownServers, int scoredServers) {
    private static final int INITIAL_LINE_CAPACITY = 256;

    /** Returns the decision as a line of {@code key=value} fields for the decision log. */
    public String logLine() {
        StringBuilder line = new StringBuilder(INITIAL_LINE_CAPACITY);
        line.append("route entry=").append(request.entry());
        line.append(" owner=").append(request.owner());
        line.append(" priority=").append(request.priority());
        line.append(" prompt_tokens=").append(request.promptTokens());
        line.append(" known=").append(knownServers).append(" scored=").append(scoredServers);
        if (decision.isEmpty()) {
            return line.append(" server=none").toString();
        }
        RoutingDecision made = decision.get();
        Candidate chosen = made.candidate();
        line.append(" server=").append(chosen.server().name());
        line.append(" first_token_ms=").append(Math.round(made.predictedFirstTokenMillis()));
        line.append(" distance_ms=").append(Math.round(chosen.distanceMillis()));
        line.append(" queued_tokens=").append(Math.round(chosen.queuedTokens()));
        line.append(" running=").append(Math.round(chosen.runningRequests()));
        line.append(" cached_tokens=").append(chosen.cachedPromptTokens());
        line.append(" adapter=").append(adapter(chosen));
        line.append(" report_age_ms=");
        if (chosen.reportAgeMillis() == Long.MAX_VALUE) {
            line.append("none");
        } else {
            line.append(chosen.reportAgeMillis());
        }
        return line.append(' ').append(made.reason()).toString();
    }

    private String adapter(Candidate chosen) {
        if (request.adapter().isEmpty()) {
            return "none";
        }
        return chosen.adapterResident() ? "resident" : "load";
    }
}
