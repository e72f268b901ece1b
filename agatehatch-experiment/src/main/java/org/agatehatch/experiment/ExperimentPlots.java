package org.agatehatch.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Writes charts of attainment and moves against the load factor, one for each deployment. */
final class ExperimentPlots {
    private ExperimentPlots() {}

    /** Writes {@code attainment-DEPLOYMENT.svg} and {@code moves-DEPLOYMENT.svg}. */
    static void write(List<ExperimentResult> results, Path directory) throws IOException {
        Files.createDirectories(directory);
        Map<DeploymentKind, List<ResultSummary>> byDeployment = new LinkedHashMap<>();
        for (ResultSummary summary : ResultSummary.of(results)) {
            byDeployment
                    .computeIfAbsent(summary.key().deployment(), kind -> new ArrayList<>())
                    .add(summary);
        }
        for (Map.Entry<DeploymentKind, List<ResultSummary>> entry : byDeployment.entrySet()) {
            String name = entry.getKey().label();
            Files.writeString(
                    directory.resolve("attainment-" + name + ".svg"),
                    chart(
                            name + ": answers within their promises",
                            "per accelerator and minute",
                            entry.getValue(),
                            ExperimentResult::attainedPerAcceleratorMinute));
            Files.writeString(
                    directory.resolve("moves-" + name + ".svg"),
                    chart(name + ": moves", "loads and unloads", entry.getValue(), ExperimentResult::moves));
        }
    }

    private static String chart(
            String title, String yLabel, List<ResultSummary> summaries, ToDoubleFunction<ExperimentResult> figure) {
        boolean oneAdmission = summaries.stream()
                        .map(summary -> summary.key().admission())
                        .distinct()
                        .count()
                == 1;
        Map<String, List<SvgChart.Point>> lines = new LinkedHashMap<>();
        for (ResultSummary summary : summaries) {
            ResultSummary.Key key = summary.key();
            String line = key.policy().label()
                    + (oneAdmission ? "" : ", " + key.admission().label());
            ResultSummary.Spread spread = summary.of(figure);
            lines.computeIfAbsent(line, name -> new ArrayList<>())
                    .add(new SvgChart.Point(key.load(), spread.mean(), spread.spread()));
        }
        return new SvgChart(
                        title,
                        "load factor",
                        yLabel,
                        lines.entrySet().stream()
                                .map(entry -> new SvgChart.Line(entry.getKey(), entry.getValue()))
                                .toList())
                .write();
    }
}
