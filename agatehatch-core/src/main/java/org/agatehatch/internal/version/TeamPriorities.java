package org.agatehatch.internal.version;

import java.util.List;
import org.agatehatch.api.fleet.TeamSpec;

/** The different priorities of the teams of one configuration, in order. Immutable. */
public final class TeamPriorities {
    private final List<Integer> priorities;

    public TeamPriorities(List<TeamSpec> teams) {
        priorities = teams.stream().map(TeamSpec::priority).distinct().sorted().toList();
    }

    /** Returns the number of different priorities. */
    public int count() {
        return priorities.size();
    }

    /** Returns how many of the priorities are higher than a given one. */
    public int rank(int priority) {
        return (int) priorities.stream().filter(other -> other < priority).count();
    }
}
