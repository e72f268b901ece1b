package org.agatehatch.internal.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.agatehatch.api.time.MonotonicClock;

/** Demand for models and adapters over all nodes, as the placement holder aggregates it. Runs on the control thread. */
final class DemandAggregator {
    /** Time after its last use for which an adapter counts as one that has to be held; a stream lasts a second or two. */
    private static final long ADAPTER_ACTIVE_MILLIS = 1_500;

    private record ModelKey(String service, String model) {}

    private record AdapterKey(String model, String adapter) {}

    /** Share of a service's demand that a model is assumed to have before it is known. */
    private static final double ASSUMED_SHARE = 0.005;

    /** Time constant after which what was counted stands in for the assumption. */
    private static final double ASSUMPTION_SECONDS = 20;

    private static final long KNOWN_AFTER_MILLIS = 1_200;

    private final MonotonicClock clock;
    private final long startedMillis;
    private OptionalLong firstDemandMillis = OptionalLong.empty();
    private final Map<ModelKey, DemandRate> rateByModel = new HashMap<>();
    private final Map<AdapterKey, Long> lastUsedMillisByAdapter = new HashMap<>();

    DemandAggregator(MonotonicClock clock) {
        this.clock = clock;
        this.startedMillis = clock.millis();
    }

    /**
     * Returns whether demand has been counted for long enough to tell idle models from others: before the first requests, and
     * for a moment afterwards, all models seem idle.
     */
    boolean isKnown() {
        return firstDemandMillis.isPresent() && clock.millis() - firstDemandMillis.getAsLong() >= KNOWN_AFTER_MILLIS;
    }

    /** Adds the demand that a node has seen since its last report. */
    void add(List<ResidencyMessages.Demand> entries) {
        for (ResidencyMessages.Demand entry : entries) {
            if (entry.workMillis() > 0 && firstDemandMillis.isEmpty()) {
                firstDemandMillis = OptionalLong.of(clock.millis());
            }
            rate(entry.service(), entry.model()).add(entry.workMillis());
            if (!entry.adapter().isEmpty()) {
                recordAdapterUse(entry.model(), entry.adapter());
            }
        }
    }

    /** Adds the demand that a node has seen before it sent its reports to this node. */
    void addHistory(List<ResidencyMessages.DemandAverages> history) {
        for (ResidencyMessages.DemandAverages averages : history) {
            if (firstDemandMillis.isEmpty()) {
                firstDemandMillis = OptionalLong.of(clock.millis() - KNOWN_AFTER_MILLIS);
            }
            rate(averages.service(), averages.model()).addAverages(averages.fastPerSecond(), averages.slowPerSecond());
        }
    }

    /** Adds a request that no runner can serve at present because none holds its model or adapter. */
    void addUnservedRequest(String service, String model, double workMillis) {
        if (firstDemandMillis.isEmpty()) {
            firstDemandMillis = OptionalLong.of(clock.millis());
        }
        rate(service, model).add(workMillis);
    }

    void recordAdapterUse(String model, String adapter) {
        lastUsedMillisByAdapter.put(new AdapterKey(model, adapter), clock.millis());
    }

    /** Returns when a request last used an adapter; {@code Long.MIN_VALUE} if no use is known. */
    long adapterLastUsedMillis(String model, String adapter) {
        return lastUsedMillisByAdapter.getOrDefault(new AdapterKey(model, adapter), Long.MIN_VALUE);
    }

    /** Returns the recent demand for all models of a service, in milliseconds of runner time per second. */
    double totalPerSecond(String service) {
        return rateByModel.entrySet().stream()
                .filter(entry -> entry.getKey().service().equals(service))
                .mapToDouble(entry -> entry.getValue().slowPerSecond())
                .sum();
    }

    /**
     * Returns the demand for a model. A model that has not been requested since this node began to count is assumed to have a
     * small share of all demand in the long run.
     *
     * @param totalPerSecond recent demand for all models of the service
     */
    ResidencyPlanner.WorkRate workRate(String service, String model, double totalPerSecond) {
        DemandRate rate = rateByModel.get(new ModelKey(service, model));
        double countedSeconds = (clock.millis() - startedMillis) / 1_000.0;
        double assumed = ASSUMED_SHARE * totalPerSecond * Math.exp(-countedSeconds / ASSUMPTION_SECONDS);
        return rate == null
                ? new ResidencyPlanner.WorkRate(0, 0, 0, assumed, 0)
                : new ResidencyPlanner.WorkRate(
                        rate.expectedPerSecond(),
                        rate.slowPerSecond(),
                        rate.sustainedPerSecond(),
                        Math.max(assumed, rate.longRunPerSecond()),
                        activeAdapters(model));
    }

    private int activeAdapters(String model) {
        long sinceMillis = clock.millis() - ADAPTER_ACTIVE_MILLIS;
        return (int) lastUsedMillisByAdapter.entrySet().stream()
                .filter(use ->
                        use.getValue() >= sinceMillis && use.getKey().model().equals(model))
                .count();
    }

    private DemandRate rate(String service, String model) {
        return rateByModel.computeIfAbsent(new ModelKey(service, model), name -> new DemandRate(clock));
    }
}
