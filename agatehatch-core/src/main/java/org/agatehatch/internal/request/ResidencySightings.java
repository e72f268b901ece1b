package org.agatehatch.internal.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.agatehatch.api.fleet.ResidentModel;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Which models and adapters runners hold, where this node knows more than the runners' entries say: entries are renewed only
 * every second or so, while adapters come and go within milliseconds. Runs on the traffic thread.
 */
public final class ResidencySightings {
    /** Time for which a sighting counts more than the runner's entry, which lags by its interval and by ours. */
    static final long TRUST_MILLIS = 2_500;

    private record Sighting(boolean present, long atMillis, long bornMillis) {}

    private final MonotonicClock clock;
    private final Map<String, Map<String, Sighting>> byServer = new HashMap<>();

    public ResidencySightings(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Notes that a runner holds an adapter now, or the model if {@code adapter} is empty. */
    public void present(ServerEntry server, String model, String adapter) {
        note(server, model, adapter, true);
    }

    /** Notes that a runner does not hold an adapter, or the model if {@code adapter} is empty. */
    public void missing(ServerEntry server, String model, String adapter) {
        note(server, model, adapter, false);
    }

    /** Forgets what was seen of a runner. */
    public void restarted(String serverId) {
        byServer.remove(serverId);
    }

    /** Returns whether a runner holds a model and, unless {@code adapter} is empty, that adapter of it. */
    public boolean holds(ServerEntry server, String model, String adapter) {
        Optional<ResidentModel> listed = server.resident(model);
        boolean modelHeld = sighted(server, model, "").orElse(listed.isPresent());
        if (!modelHeld || adapter.isEmpty()) {
            return modelHeld;
        }
        boolean adapterListed =
                listed.map(held -> held.adapters().contains(adapter)).orElse(false);
        return sighted(server, model, adapter).orElse(adapterListed);
    }

    private Optional<Boolean> sighted(ServerEntry server, String model, String adapter) {
        Sighting sighting = byServer.getOrDefault(server.id(), Map.of()).get(key(model, adapter));
        boolean fresh = sighting != null
                && sighting.bornMillis == server.startedAtMillis()
                && clock.millis() - sighting.atMillis < TRUST_MILLIS;
        return fresh ? Optional.of(sighting.present) : Optional.empty();
    }

    private void note(ServerEntry server, String model, String adapter, boolean present) {
        byServer.computeIfAbsent(server.id(), id -> new HashMap<>())
                .put(key(model, adapter), new Sighting(present, clock.millis(), server.startedAtMillis()));
    }

    private static String key(String model, String adapter) {
        return model + '/' + adapter;
    }
}
