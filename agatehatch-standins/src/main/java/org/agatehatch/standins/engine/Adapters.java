package org.agatehatch.standins.engine;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Adapters of one engine: loaded on first use, limited in number, least recently used first out. Times are in
 * milliseconds of the model. Not safe for use by several threads.
 */
final class Adapters {
    private final int slots;
    private final AdapterLoads shared;
    private final LinkedHashMap<String, Boolean> resident = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<String, Double> loadingUntilMillis = new HashMap<>();

    Adapters(int slots, AdapterLoads shared) {
        this.slots = slots;
        this.shared = shared;
    }

    /** Returns whether the adapter is resident; if it is not, its load begins. */
    boolean use(String adapter, double nowMillis) {
        if (resident.get(adapter) != null) {
            return true;
        }
        loadingUntilMillis.computeIfAbsent(adapter, key -> nowMillis + shared.start());
        return false;
    }

    /** Ends the loads that are due; adapters in use are not evicted. */
    void advance(double nowMillis, Predicate<String> inUse) {
        loadingUntilMillis.entrySet().removeIf(loading -> {
            if (loading.getValue() > nowMillis) {
                return false;
            }
            shared.finish();
            resident.put(loading.getKey(), true);
            return true;
        });
        if (resident.size() > slots) {
            int excess = resident.size() - slots;
            var eldest = resident.keySet().iterator();
            while (excess > 0 && eldest.hasNext()) {
                if (!inUse.test(eldest.next())) {
                    eldest.remove();
                    excess--;
                }
            }
        }
    }

    int loads() {
        return loadingUntilMillis.size();
    }

    Set<String> residentNames() {
        return Set.copyOf(resident.keySet());
    }

    void clear() {
        loadingUntilMillis.keySet().forEach(adapter -> shared.finish());
        loadingUntilMillis.clear();
        resident.clear();
    }
}
