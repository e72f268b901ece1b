package org.agatehatch.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts what one run did. */
final class Metrics {
    private static final long LONGEST_MICROS = 600_000_000L;
    private static final int DIGITS = 3;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double MICROS_PER_MILLI = 1e3;

    private final Map<String, ExperimentResult.Counts> byClass = new TreeMap<>();
    private final Map<String, ExperimentResult.Counts> byOwner = new TreeMap<>();
    private final Map<String, Double> engineMillisByOwner = new TreeMap<>();
    private final List<ExperimentRequest> open = new ArrayList<>();
    private final Histogram firstTokens = new Histogram(LONGEST_MICROS, DIGITS);
    private final Histogram gaps = new Histogram(LONGEST_MICROS, DIGITS);
    private ExperimentResult.Counts all = ExperimentResult.Counts.NONE;

    /** What became of a request. */
    enum Outcome {
        /** Answered within all promises. */
        ATTAINED,
        /** Answered, but not within all promises. */
        LATE,
        /** Refused as not run. */
        REFUSED,
        /** Broken off, or not answered at the end of the run. */
        FAILED
    }

    void offered(ExperimentRequest request) {
        open.add(request);
    }

    void firstToken(long nanos) {
        firstTokens.recordValue((long) (nanos / NANOS_PER_MICRO));
    }

    void gap(long nanos) {
        gaps.recordValue((long) (nanos / NANOS_PER_MICRO));
    }

    void settled(ExperimentRequest request, Outcome outcome) {
        ExperimentResult.Counts one = ExperimentResult.Counts.of(outcome);
        all = all.plus(one);
        byClass.merge(request.requestClass.name(), one, ExperimentResult.Counts::plus);
        byOwner.merge(request.entry.owner(), one, ExperimentResult.Counts::plus);
    }

    void engineTime(String owner, double millis) {
        engineMillisByOwner.merge(owner, millis, Double::sum);
    }

    /** Counts requests that have no outcome at the end of the run as failed. */
    void settleOpen() {
        open.stream().filter(request -> !request.settled()).forEach(request -> request.settle(Outcome.FAILED));
    }

    int offered() {
        return open.size();
    }

    ExperimentResult result(
            ExperimentSettings settings, Deployment deployment, PlacementLoop placement, double memoryPeak) {
        double engineMillis = engineMillisByOwner.values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
        double shares = deployment.catalogue().owners().values().stream()
                .mapToDouble(owner -> owner.share())
                .sum();
        Map<String, ExperimentResult.OwnerPart> parts = new TreeMap<>();
        deployment
                .catalogue()
                .owners()
                .values()
                .forEach(owner -> parts.put(
                        owner.name(),
                        new ExperimentResult.OwnerPart(
                                engineMillisByOwner.getOrDefault(owner.name(), 0.0) / Math.max(1, engineMillis),
                                owner.share() / shares)));
        double busy = engineMillis / (Deployment.RUNNERS * settings.minutes() * 60_000);
        return new ExperimentResult(
                settings,
                offered(),
                all,
                all.attained() / (deployment.accelerators() * settings.minutes()),
                byClass,
                byOwner,
                parts,
                placement.loads(),
                placement.unloads(),
                percentiles(firstTokens),
                percentiles(gaps),
                busy,
                memoryPeak);
    }

    private static ExperimentResult.Percentiles percentiles(Histogram histogram) {
        return new ExperimentResult.Percentiles(
                histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(95) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(99) / MICROS_PER_MILLI);
    }
}
