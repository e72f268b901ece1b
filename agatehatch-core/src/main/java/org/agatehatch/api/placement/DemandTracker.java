package org.agatehatch.api.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Exponential moving average of each model's demand. It follows a rise within seconds and a fall over minutes, so that
 * a pause between two bursts does not unload the replicas that the next burst needs. Not thread-safe.
 */
public final class DemandTracker {
    private static final double NEGLIGIBLE_TOKENS_PER_SECOND = 0.001;

    private final double riseTimeConstantMillis;
    private final double fallTimeConstantMillis;
    private final Map<String, Double> smoothedByModel = new HashMap<>();
    private long lastObservedMillis = Long.MIN_VALUE;

    /** Creates a tracker with the given time constants for rising and falling demand. */
    public DemandTracker(long riseMillis, long fallMillis) {
        this.riseTimeConstantMillis = riseMillis;
        this.fallTimeConstantMillis = fallMillis;
    }

    /** Creates a tracker that follows a rise with a time constant of 10 s and a fall with one of 5 min. */
    public static DemandTracker withDefaults() {
        return new DemandTracker(10_000, 300_000);
    }

    /**
     * Adds a measurement. A model that is missing from the map has no demand.
     *
     * @param nowMillis monotonic time of the measurement; a time before the previous one counts as the previous one
     * @param tokensPerSecond measured demand by model; the demand of adapters counts towards their base model
     */
    public void observe(long nowMillis, Map<String, Double> tokensPerSecond) {
        long elapsed =
                lastObservedMillis == Long.MIN_VALUE ? Long.MAX_VALUE : Math.max(0, nowMillis - lastObservedMillis);
        lastObservedMillis = Math.max(lastObservedMillis, nowMillis);
        smoothedByModel.replaceAll((model, old) -> smooth(old, tokensPerSecond.getOrDefault(model, 0.0), elapsed));
        tokensPerSecond.forEach(
                (model, value) -> smoothedByModel.computeIfAbsent(model, name -> smooth(0, value, elapsed)));
        smoothedByModel.values().removeIf(value -> value < NEGLIGIBLE_TOKENS_PER_SECOND);
    }

    /** Returns the smoothed demand per model in tokens per second. */
    public Map<String, Double> tokensPerSecond() {
        return Map.copyOf(smoothedByModel);
    }

    private double smooth(double old, double value, long elapsedMillis) {
        double timeConstantMillis = value > old ? riseTimeConstantMillis : fallTimeConstantMillis;
        return value + (old - value) * Math.exp(-elapsedMillis / timeConstantMillis);
    }
}
