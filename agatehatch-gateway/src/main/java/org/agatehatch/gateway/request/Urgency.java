package org.agatehatch.gateway.request;

import java.util.Optional;
import org.agatehatch.api.fleet.RouteSpec;
import org.agatehatch.api.fleet.TeamSpec;
import org.agatehatch.internal.version.TeamPriorities;

/** Rank of a request among those queued at a runner; 0 is served first. */
final class Urgency {
    private static final int URGENCIES_PER_PRIORITY = 2;
    private static final int URGENCIES = 10;

    /** Latency target above which a request ranks below other requests of its priority. */
    private static final long URGENT_TARGET_MILLIS = 1_000;

    private Urgency() {}

    /**
     * Returns the rank of a request: by the priority of its team, then by its route. Each of the teams' priorities has a share of
     * the ranks, so that no route lifts a request over one of a team with a higher priority. Beyond ten priorities, neighbours
     * share a rank.
     *
     * @param team empty if the request is of no team; it then ranks with the teams of the lowest priority
     */
    static int of(RouteSpec route, Optional<TeamSpec> team, TeamPriorities priorities) {
        int base = route.priority() * URGENCIES_PER_PRIORITY;
        int byRoute = Math.max(0, base + (route.targetMillis() > URGENT_TARGET_MILLIS ? 1 : 0));
        int shares = Math.max(1, priorities.count());
        int share = team.map(found -> priorities.rank(found.priority())).orElse(shares - 1);
        int first = share * URGENCIES / shares;
        int last = Math.max(first, (share + 1) * URGENCIES / shares - 1);
        return (int) Math.min(last, (long) first + byRoute);
    }
}
