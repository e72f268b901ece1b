package org.agatehatch.experiment;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;

/** Writes results as Markdown tables, with mean and standard deviation over the seeds. */
final class ResultTable {
    private ResultTable() {}

    static String write(List<ExperimentResult> results) {
        List<ResultSummary> summaries = ResultSummary.of(results);
        StringBuilder text = new StringBuilder();
        text.append(
                "| deployment | admission | load | policy | attained/accelerator/min | attainment, % | moves | loads |"
                        + " refused, % | late, % | first token p50/p95/p99, ms | between tokens p50/p95/p99, ms | engines busy, % |\n");
        text.append("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for (ResultSummary summary : summaries) {
            text.append(start(summary))
                    .append(spread(summary, ExperimentResult::attainedPerAcceleratorMinute))
                    .append(spread(summary, result -> 100 * result.all().attainment()))
                    .append(spread(summary, ExperimentResult::moves))
                    .append(spread(summary, ExperimentResult::loads))
                    .append(part(summary, result -> result.all().refused()))
                    .append(part(summary, result -> result.all().late()))
                    .append(percentiles(summary, ExperimentResult::firstTokenMillis))
                    .append(percentiles(summary, ExperimentResult::betweenTokensMillis))
                    .append(cell(
                            summary.of(result -> 100 * result.busyFraction()).mean()))
                    .append('\n');
        }
        text.append('\n').append(parts(summaries));
        return text.toString();
    }

    private static String parts(List<ResultSummary> summaries) {
        StringBuilder text = new StringBuilder("| deployment | admission | load | policy |"
                + " attainment by class, % | by owner: attainment, % (part of engine time / promised part, %) |\n"
                + "| --- | --- | --- | --- | --- | --- |\n");
        for (ResultSummary summary : summaries) {
            text.append(start(summary));
            Set<String> classes = new TreeSet<>();
            summary.results().forEach(result -> classes.addAll(result.byClass().keySet()));
            StringBuilder byClass = new StringBuilder();
            for (String name : classes) {
                double attainment =
                        summary.of(result -> counts(result.byClass().get(name))).mean();
                byClass.append(String.format(Locale.ROOT, "%s %.1f ", name, 100 * attainment));
            }
            text.append(' ').append(byClass).append("|");
            for (String name : summary.results().get(0).owners().keySet()) {
                double attainment =
                        summary.of(result -> counts(result.byOwner().get(name))).mean();
                double used =
                        summary.of(result -> result.owners().get(name).used()).mean();
                double promised = summary.of(result -> result.owners().get(name).promised())
                        .mean();
                text.append(String.format(
                        Locale.ROOT, " %s %.1f (%.0f/%.0f)", name, 100 * attainment, 100 * used, 100 * promised));
            }
            text.append(" |\n");
        }
        return text.toString();
    }

    private static double counts(ExperimentResult.Counts counts) {
        return counts == null ? 0 : counts.attainment();
    }

    private static String start(ResultSummary summary) {
        ResultSummary.Key key = summary.key();
        return "| " + key.deployment().label() + " | " + key.admission().label() + " | " + key.load() + " | "
                + key.policy().label() + " |";
    }

    private static String spread(ResultSummary summary, ToDoubleFunction<ExperimentResult> figure) {
        ResultSummary.Spread spread = summary.of(figure);
        return String.format(Locale.ROOT, " %.1f ± %.1f |", spread.mean(), spread.spread());
    }

    private static String part(ResultSummary summary, ToDoubleFunction<ExperimentResult> count) {
        return cell(summary.of(result -> 100 * count.applyAsDouble(result) / Math.max(1, result.offered()))
                .mean());
    }

    private static String percentiles(
            ResultSummary summary,
            java.util.function.Function<ExperimentResult, ExperimentResult.Percentiles> percentiles) {
        return String.format(
                Locale.ROOT,
                " %.0f/%.0f/%.0f |",
                summary.of(result -> percentiles.apply(result).p50()).mean(),
                summary.of(result -> percentiles.apply(result).p95()).mean(),
                summary.of(result -> percentiles.apply(result).p99()).mean());
    }

    private static String cell(double value) {
        return String.format(Locale.ROOT, " %.1f |", value);
    }
}
