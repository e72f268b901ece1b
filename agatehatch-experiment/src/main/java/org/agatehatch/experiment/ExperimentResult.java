package org.agatehatch.experiment;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * What one run measured.
 *
 * @param offered requests that callers sent
 * @param attainedPerAcceleratorMinute answers within all promises of their class
 * @param owners each owner's part of the engines' time, and the part it was promised
 * @param loads loads from the weight store after the start
 * @param unloads replicas taken from a runner after the start
 * @param firstTokenMillis time to the first token of answers that began
 * @param betweenTokensMillis time between two tokens
 * @param busyFraction part of the engines' time in use
 * @param memoryPeakFraction highest part of any accelerator's memory in use
 */
public record ExperimentResult(
        ExperimentSettings settings,
        int offered,
        Counts all,
        double attainedPerAcceleratorMinute,
        Map<String, Counts> byClass,
        Map<String, Counts> byOwner,
        Map<String, OwnerPart> owners,
        int loads,
        int unloads,
        Percentiles firstTokenMillis,
        Percentiles betweenTokensMillis,
        double busyFraction,
        double memoryPeakFraction) {
    public ExperimentResult {
        byClass = Collections.unmodifiableMap(new TreeMap<>(byClass));
        byOwner = Collections.unmodifiableMap(new TreeMap<>(byOwner));
        owners = Collections.unmodifiableMap(new TreeMap<>(owners));
    }

    /** Returns loads and unloads together. */
    public int moves() {
        return loads + unloads;
    }

    /** Requests by outcome. */
    public record Counts(int attained, int late, int refused, int failed) {
        static final Counts NONE = new Counts(0, 0, 0, 0);

        static Counts of(Metrics.Outcome outcome) {
            return switch (outcome) {
                case ATTAINED -> new Counts(1, 0, 0, 0);
                case LATE -> new Counts(0, 1, 0, 0);
                case REFUSED -> new Counts(0, 0, 1, 0);
                case FAILED -> new Counts(0, 0, 0, 1);
            };
        }

        Counts plus(Counts other) {
            return new Counts(
                    attained + other.attained, late + other.late, refused + other.refused, failed + other.failed);
        }

        /** Returns the number of requests. */
        public int total() {
            return attained + late + refused + failed;
        }

        /** Returns the part of the requests that were answered within all promises. */
        public double attainment() {
            return total() == 0 ? 0 : (double) attained / total();
        }
    }

    /** An owner's part of the engines' time. */
    public record OwnerPart(double used, double promised) {}

    /** Percentiles of a time. */
    public record Percentiles(double p50, double p95, double p99) {}
}
