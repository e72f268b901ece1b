package org.agatehatch.api.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Smooths the demand of each model. It follows a rise within seconds and a fall over minutes, so that bursts do not
 * unload what the next burst needs. Not safe for use by several threads.
 */
public final class DemandTracker {
    private static final double NEGLIGIBLE_TOKENS_PER_SECOND = 0.001;

    private final double riseTimeConstantMillis;
    private final double fallTimeConstantMillis;
    private final Map<String, Double> smoothedByModel = new HashMap<>();
    private long lastObservedMillis = Long.MIN_VALUE;

    /** Creates a tracker with time constants for rising and falling demand. */
    public DemandTracker(long riseMillis, long fallMillis) {
        this.riseTimeConstantMillis = riseMillis;
        this.fallTimeConstantMillis = fallMillis;
    }

    /** Creates a tracker that follows a rise with a time constant of 10 s and a fall with one of 5 min. */
    public static DemandTracker withDefaults() {
        return new DemandTracker(10_000, 300_000);
    }

    /**
     * Adds measured demand, adapters counted with their base model. A model that is missing has none.
     *
     * @param nowMillis monotonic time; earlier times than the last one count as the last one
     */
    public void observe(long nowMillis, Map<String, Double> tokensPerSecond) {
        long elapsed = lastObservedMillis == Long.MIN_VALUE ? Long.MAX_VALUE : Math.max(0, nowMillis - lastObservedMillis);
        lastObservedMillis = Math.max(lastObservedMillis, nowMillis);
        smoothedByModel.replaceAll((model, old) -> smooth(old, tokensPerSecond.getOrDefault(model, 0.0), elapsed));
        tokensPerSecond.forEach((model, value) -> smoothedByModel.computeIfAbsent(model, name -> smooth(0, value, elapsed)));
        smoothedByModel.values().removeIf(value -> value < NEGLIGIBLE_TOKENS_PER_SECOND);
    }

    /** Returns the smoothed demand per model in tokens a second. */
    public Map<String, Double> tokensPerSecond() {
        return Map.copyOf(smoothedByModel);
    }

    private double smooth(double old, double value, long elapsedMillis) {
        double timeConstantMillis = value > old ? riseTimeConstantMillis : fallTimeConstantMillis;
        return value + (old - value) * Math.exp(-elapsedMillis / timeConstantMillis);
    }
}
