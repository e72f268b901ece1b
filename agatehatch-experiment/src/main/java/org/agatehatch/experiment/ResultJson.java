package org.agatehatch.experiment;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Writes results as a JSON array, one object a run. All names are plain ASCII words, so nothing needs escaping. */
final class ResultJson {
    private ResultJson() {}

    static String write(List<ExperimentResult> results) {
        return results.stream().map(ResultJson::result).collect(Collectors.joining(",\n", "[", "]\n"));
    }

    private static String result(ExperimentResult result) {
        ExperimentSettings s = result.settings();
        return String.format(
                Locale.ROOT,
                "{\"deployment\":\"%s\",\"policy\":\"%s\",\"admission\":\"%s\",\"seed\":%d,\"minutes\":%s,\"load\":%s,"
                        + "\"offered\":%d,\"all\":%s,\"attained_per_accelerator_minute\":%.4f,\"loads\":%d,"
                        + "\"unloads\":%d,\"first_token_ms\":%s,\"between_tokens_ms\":%s,\"busy_fraction\":%.5f,"
                        + "\"memory_peak_fraction\":%.5f,\"classes\":%s,\"owners\":%s,\"owner_parts\":%s}",
                s.deployment().label(),
                s.policy().label(),
                s.admission().label(),
                s.seed(),
                s.minutes(),
                s.load(),
                result.offered(),
                counts(result.all()),
                result.attainedPerAcceleratorMinute(),
                result.loads(),
                result.unloads(),
                percentiles(result.firstTokenMillis()),
                percentiles(result.betweenTokensMillis()),
                result.busyFraction(),
                result.memoryPeakFraction(),
                map(result.byClass(), ResultJson::counts),
                map(result.byOwner(), ResultJson::counts),
                map(result.owners(), ResultJson::part));
    }

    private static <T> String map(Map<String, T> values, Function<T, String> write) {
        return values.entrySet().stream()
                .map(entry -> "\"" + entry.getKey() + "\":" + write.apply(entry.getValue()))
                .collect(Collectors.joining(",", "{", "}"));
    }

    private static String counts(ExperimentResult.Counts counts) {
        return String.format(
                Locale.ROOT,
                "{\"attained\":%d,\"late\":%d,\"refused\":%d,\"failed\":%d}",
                counts.attained(),
                counts.late(),
                counts.refused(),
                counts.failed());
    }

    private static String part(ExperimentResult.OwnerPart part) {
        return String.format(Locale.ROOT, "{\"used\":%.5f,\"promised\":%.5f}", part.used(), part.promised());
    }

    private static String percentiles(ExperimentResult.Percentiles percentiles) {
        return String.format(
                Locale.ROOT,
                "{\"p50\":%.3f,\"p95\":%.3f,\"p99\":%.3f}",
                percentiles.p50(),
                percentiles.p95(),
                percentiles.p99());
    }
}
