package org.agatehatch.cli.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.agatehatch.cli.load.TargetFigures.Latency;
import org.agatehatch.cli.output.Table;

/** Renders the figures of a run. */
final class LoadReport {
    private static final List<Latency> COMPARED =
            List.of(Latency.FIRST_TOKEN, Latency.BETWEEN_TOKENS, Latency.WHOLE_ANSWER);
    private static final List<String> QUANTILES = List.of("p50", "p95", "p99", "max");

    private LoadReport() {}

    static ObjectNode json(List<TargetFigures> figures, long startNanos) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        ArrayNode targets = root.putArray("targets");
        figures.forEach(target -> targets.add(target.toJson(startNanos)));
        if (figures.size() > 1) {
            ObjectNode added = root.putObject("added_latency_ms");
            for (Latency latency : COMPARED) {
                if (figures.get(0).has(latency) && figures.get(1).has(latency)) {
                    added.putObject(latency.field().replace("_ms", ""))
                            .put("p50", added(figures, latency, 50))
                            .put("p95", added(figures, latency, 95))
                            .put("p99", added(figures, latency, 99));
                }
            }
        }
        return root;
    }

    static String table(JsonNode report) {
        StringBuilder text = new StringBuilder();
        text.append(Table.ofObjects(
                report.path("targets"),
                List.of("target", "sent", "ok", "errors", "corrupt", "requests_per_second", "tokens_per_second")));
        Table latencies = new Table(List.of("target", "latency", "p50", "p95", "p99", "max"));
        for (JsonNode target : report.path("targets")) {
            for (Latency latency : Latency.values()) {
                row(latencies, target.path("target").asText(), latency.field(), target.path(latency.field()));
            }
        }
        JsonNode added = report.path("added_latency_ms");
        added.fields()
                .forEachRemaining(field -> row(latencies, "node - direct", field.getKey() + "_ms", field.getValue()));
        text.append('\n').append(latencies);
        for (JsonNode target : report.path("targets")) {
            problems(text, target);
        }
        return text.toString();
    }

    private static void row(Table table, String target, String latency, JsonNode values) {
        if (values.isMissingNode()) {
            return;
        }
        List<String> cells = new ArrayList<>(List.of(target, latency));
        QUANTILES.forEach(quantile -> cells.add(values.path(quantile).asText("-")));
        table.row(cells);
    }

    private static void problems(StringBuilder text, JsonNode target) {
        String name = target.path("target").asText();
        for (JsonNode error : target.path("errors_by_code")) {
            text.append(String.format(
                    "%n%s: %s, outcome %s: %d",
                    name,
                    error.path("code").asText(),
                    error.path("outcome").asText(),
                    error.path("count").asLong()));
        }
        target.path("corrupt_by_reason")
                .fields()
                .forEachRemaining(reason -> text.append(String.format(
                        "%n%s: corrupt, %s: %d",
                        name, reason.getKey(), reason.getValue().asLong())));
    }

    private static double added(List<TargetFigures> figures, Latency latency, double percentile) {
        return TargetFigures.round(
                figures.get(0).millis(latency, percentile) - figures.get(1).millis(latency, percentile));
    }
}
