package org.agatehatch.internal.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.process.BackendRegistry;
import org.agatehatch.internal.process.FleetView;

/**
 * The versions of the servers' software that this process has seen in each service, and when. What it has seen says nothing
 * about versions that came later than its last complete view, or that may have come and gone unseen. Thread-safe.
 */
public final class SoftwareVersions implements BackendRegistry.Observer {
    private final MonotonicClock clock;
    private final Map<String, Map<String, Long>> lastSeenMillisByService = new HashMap<>();
    private FleetView present = FleetView.EMPTY;
    private long observedSinceMillis = Long.MAX_VALUE;

    public SoftwareVersions(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Records the versions of a new view. Those of the last view were present until now. */
    public synchronized void observe(FleetView view) {
        if (observedSinceMillis == Long.MAX_VALUE) {
            observedSinceMillis = clock.millis();
        }
        recordPresent();
        present = view;
        recordPresent();
    }

    /** Records the version of an entry, also if its server has left again by the next view. */
    @Override
    public synchronized void onEntry(ServerEntry entry) {
        record(entry, clock.millis());
    }

    /** Starts to observe anew, since servers may have come and gone unseen. */
    @Override
    public synchronized void onGap() {
        observedSinceMillis = clock.millis();
    }

    /**
     * Returns the version of a service's servers if all that were present in the last span of time had the same one; empty if
     * they differed, or this process has not observed them for that long without a gap. The caller makes sure that the view is
     * recent enough.
     */
    public synchronized Optional<String> onlyVersion(String service, long spanMillis) {
        if (observedSinceMillis > clock.millis() - spanMillis) {
            return Optional.empty();
        }
        Set<String> seen = versionsSeen(service, spanMillis);
        return seen.size() == 1 ? Optional.of(seen.iterator().next()) : Optional.empty();
    }

    /** Returns the versions of a service's servers that were present in the last span of time, as far as it was observed. */
    public synchronized Set<String> versionsSeen(String service, long spanMillis) {
        recordPresent();
        long sinceMillis = clock.millis() - spanMillis;
        return lastSeenMillisByService.getOrDefault(service, Map.of()).entrySet().stream()
                .filter(version -> version.getValue() >= sinceMillis)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    private void recordPresent() {
        long nowMillis = clock.millis();
        present.byService().values().forEach(servers -> servers.forEach(server -> record(server, nowMillis)));
    }

    private void record(ServerEntry server, long nowMillis) {
        lastSeenMillisByService
                .computeIfAbsent(server.service(), name -> new HashMap<>())
                .put(server.softwareVersion(), nowMillis);
    }
}
