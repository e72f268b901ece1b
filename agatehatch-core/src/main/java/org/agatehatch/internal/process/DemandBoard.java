package org.agatehatch.internal.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agatehatch.api.time.MonotonicClock;

/** What all nodes' requests ask of models and adapters, at the node that gives orders. Runs on the control thread. */
final class DemandBoard {
    private record Model(String service, String model) {}

    private record Adapter(String model, String adapter) {}

    private final MonotonicClock clock;
    private final Map<Model, DemandRate> rates = new HashMap<>();
    private final Map<Adapter, Long> adapterUsedMillis = new HashMap<>();

    DemandBoard(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Adds what a node has seen since its last report. */
    void add(List<ResidencyMessages.Demand> entries) {
        for (ResidencyMessages.Demand entry : entries) {
            rate(entry.service(), entry.model()).add(entry.workMillis());
            if (!entry.adapter().isEmpty()) {
                adapterUsed(entry.model(), entry.adapter());
            }
        }
    }

    /** Adds what a node has seen before this node was told to give orders. */
    void addHistory(List<ResidencyMessages.Rate> history) {
        for (ResidencyMessages.Rate past : history) {
            rate(past.service(), past.model()).addRates(past.fastPerSecond(), past.slowPerSecond());
        }
    }

    /** Adds a request that found its model nowhere. */
    void addWanted(String service, String model, double workMillis) {
        rate(service, model).add(workMillis);
    }

    void adapterUsed(String model, String adapter) {
        adapterUsedMillis.put(new Adapter(model, adapter), clock.millis());
    }

    /** Returns when a request last used an adapter; the smallest value if none is known to have. */
    long adapterUsedAtMillis(String model, String adapter) {
        return adapterUsedMillis.getOrDefault(new Adapter(model, adapter), Long.MIN_VALUE);
    }

    ResidencyPlanner.Work work(String service, String model) {
        DemandRate rate = rates.get(new Model(service, model));
        return rate == null
                ? ResidencyPlanner.Work.NONE
                : new ResidencyPlanner.Work(rate.perSecond(), rate.sustainedPerSecond());
    }

    private DemandRate rate(String service, String model) {
        return rates.computeIfAbsent(new Model(service, model), name -> new DemandRate(clock));
    }
}
