package org.agatehatch.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** The results of all seeds of one combination of settings. */
record ResultSummary(Key key, List<ExperimentResult> results) {
    /** What the seeds of a summary have in common. */
    record Key(DeploymentKind deployment, AdmissionKind admission, double load, PolicyKind policy) {}

    /**
     * Mean and sample standard deviation over the seeds.
     *
     * @param spread 0 for one seed
     */
    record Spread(double mean, double spread) {}

    /** Returns the summaries in the order in which their first results come. */
    static List<ResultSummary> of(List<ExperimentResult> results) {
        Map<Key, List<ExperimentResult>> byKey = new LinkedHashMap<>();
        for (ExperimentResult result : results) {
            ExperimentSettings s = result.settings();
            byKey.computeIfAbsent(
                            new Key(s.deployment(), s.admission(), s.load(), s.policy()), key -> new ArrayList<>())
                    .add(result);
        }
        return byKey.entrySet().stream()
                .map(entry -> new ResultSummary(entry.getKey(), List.copyOf(entry.getValue())))
                .toList();
    }

    Spread of(ToDoubleFunction<ExperimentResult> figure) {
        double mean = results.stream().mapToDouble(figure).average().orElse(0);
        double squares = results.stream()
                .mapToDouble(result -> Math.pow(figure.applyAsDouble(result) - mean, 2))
                .sum();
        return new Spread(mean, results.size() < 2 ? 0 : Math.sqrt(squares / (results.size() - 1)));
    }
}
