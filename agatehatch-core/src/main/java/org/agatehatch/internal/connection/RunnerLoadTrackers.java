package org.agatehatch.internal.connection;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.agatehatch.api.time.MonotonicClock;

/** The load trackers of all backend servers, by name. */
public final class RunnerLoadTrackers {
    private final MonotonicClock clock;
    private final double assumedTokensPerRequest;
    private final Map<String, RunnerLoadTracker> trackers = new ConcurrentHashMap<>();

    /**
     * Creates an empty set of trackers.
     *
     * @param assumedTokensPerRequest see {@link RunnerLoadTracker}
     */
    public RunnerLoadTrackers(MonotonicClock clock, double assumedTokensPerRequest) {
        this.clock = clock;
        this.assumedTokensPerRequest = assumedTokensPerRequest;
    }

    /** Returns the tracker of a backend server, a new one if it was not known. */
    public RunnerLoadTracker getOrCreate(String server) {
        RunnerLoadTracker present = trackers.get(server);
        return present != null
                ? present
                : trackers.computeIfAbsent(server, name -> new RunnerLoadTracker(clock, assumedTokensPerRequest));
    }

    /** Forgets servers that are no longer in the catalogue. */
    public void retain(Collection<String> servers) {
        trackers.keySet().retainAll(Set.copyOf(servers));
    }
}
