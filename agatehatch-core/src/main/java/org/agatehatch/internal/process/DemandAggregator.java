package org.agatehatch.internal.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agatehatch.api.time.MonotonicClock;

/** Demand for models and adapters over all nodes, as the placement holder aggregates it. Runs on the control thread. */
final class DemandAggregator {
    private record ModelKey(String service, String model) {}

    private record AdapterKey(String model, String adapter) {}

    private final MonotonicClock clock;
    private final Map<ModelKey, DemandRate> rateByModel = new HashMap<>();
    private final Map<AdapterKey, Long> lastUsedMillisByAdapter = new HashMap<>();

    DemandAggregator(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Adds the demand that a node has seen since its last report. */
    void add(List<ResidencyMessages.Demand> entries) {
        for (ResidencyMessages.Demand entry : entries) {
            rate(entry.service(), entry.model()).add(entry.workMillis());
            if (!entry.adapter().isEmpty()) {
                recordAdapterUse(entry.model(), entry.adapter());
            }
        }
    }

    /** Adds the demand that a node has seen before it sent its reports to this node. */
    void addHistory(List<ResidencyMessages.DemandAverages> history) {
        for (ResidencyMessages.DemandAverages averages : history) {
            rate(averages.service(), averages.model()).addAverages(averages.fastPerSecond(), averages.slowPerSecond());
        }
    }

    /** Adds a request that no runner can serve at present because none holds its model or adapter. */
    void addUnservedRequest(String service, String model, double workMillis) {
        rate(service, model).add(workMillis);
    }

    void recordAdapterUse(String model, String adapter) {
        lastUsedMillisByAdapter.put(new AdapterKey(model, adapter), clock.millis());
    }

    /** Returns when a request last used an adapter; {@code Long.MIN_VALUE} if no use is known. */
    long adapterLastUsedMillis(String model, String adapter) {
        return lastUsedMillisByAdapter.getOrDefault(new AdapterKey(model, adapter), Long.MIN_VALUE);
    }

    ResidencyPlanner.WorkRate workRate(String service, String model) {
        DemandRate rate = rateByModel.get(new ModelKey(service, model));
        return rate == null
                ? ResidencyPlanner.WorkRate.NONE
                : new ResidencyPlanner.WorkRate(rate.perSecond(), rate.sustainedPerSecond());
    }

    private DemandRate rate(String service, String model) {
        return rateByModel.computeIfAbsent(new ModelKey(service, model), name -> new DemandRate(clock));
    }
}
