package org.agatehatch.internal.connection;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.agatehatch.api.time.MonotonicClock;

/** Load trackers of all backend servers, by server name. */
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

    /** Returns the tracker of a backend server; creates one for an unknown server. */
    public RunnerLoadTracker getOrCreate(String server) {
        RunnerLoadTracker present = trackers.get(server);
        return present != null
                ? present
                : trackers.computeIfAbsent(server, name -> new RunnerLoadTracker(clock, assumedTokensPerRequest));
    }

    /** Removes the trackers of all servers except the given ones. */
    public void retain(Collection<String> servers) {
        trackers.keySet().retainAll(Set.copyOf(servers));
    }
}
