package org.agatehatch.internal.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.agatehatch.api.fleet.ResidentModel;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Recent observations of which models and adapters are resident at which runners. They override the runners' entries,
 * which are renewed only about once a second, while adapters are loaded and evicted within milliseconds. Runs on the
 * traffic thread.
 */
public final class ResidencyObservations {
    /**
     * Time for which an observation overrides the runner's entry, which may be stale by the reporting interval of the
     * runner plus the refresh interval of this node.
     */
    static final long OBSERVATION_TTL_MILLIS = 2_500;

    private record Observation(boolean present, long atMillis, long bornMillis) {}

    private final MonotonicClock clock;
    private final Map<String, Map<String, Observation>> byServer = new HashMap<>();

    public ResidencyObservations(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Records that a runner holds an adapter, or the model if {@code adapter} is empty. */
    public void markResident(ServerEntry server, String model, String adapter) {
        observe(server, model, adapter, true);
    }

    /** Records that a runner does not hold an adapter, or the model if {@code adapter} is empty. */
    public void markNotResident(ServerEntry server, String model, String adapter) {
        observe(server, model, adapter, false);
    }

    /** Discards all observations of a runner. */
    public void forget(String serverId) {
        byServer.remove(serverId);
    }

    /** Returns whether a runner holds a model and, unless {@code adapter} is empty, that adapter of it. */
    public boolean isResident(ServerEntry server, String model, String adapter) {
        Optional<ResidentModel> listed = server.resident(model);
        boolean modelHeld = observed(server, model, "").orElse(listed.isPresent());
        if (!modelHeld || adapter.isEmpty()) {
            return modelHeld;
        }
        boolean adapterListed =
                listed.map(held -> held.adapters().contains(adapter)).orElse(false);
        return observed(server, model, adapter).orElse(adapterListed);
    }

    private Optional<Boolean> observed(ServerEntry server, String model, String adapter) {
        Map<String, Observation> ofServer = byServer.get(server.id());
        if (ofServer == null) {
            return Optional.empty();
        }
        Observation observation = ofServer.get(key(model, adapter));
        boolean valid = observation != null
                && observation.bornMillis == server.startedAtMillis()
                && clock.millis() - observation.atMillis < OBSERVATION_TTL_MILLIS;
        return valid ? Optional.of(observation.present) : Optional.empty();
    }

    private void observe(ServerEntry server, String model, String adapter, boolean present) {
        byServer.computeIfAbsent(server.id(), id -> new HashMap<>())
                .put(key(model, adapter), new Observation(present, clock.millis(), server.startedAtMillis()));
    }

    private static String key(String model, String adapter) {
        return model + '/' + adapter;
    }
}
