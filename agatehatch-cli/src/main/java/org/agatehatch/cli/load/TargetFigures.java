package org.agatehatch.cli.load;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;

/** Counts and latencies of one target. Latencies are those of right answers, from the intended time of sending. */
final class TargetFigures {
    private static final long MAX_MICROS = 3_600_000_000L;
    private static final int DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final Map<String, Double> PERCENTILES = Map.of("p50", 50.0, "p95", 95.0, "p99", 99.0, "max", 100.0);

    private final LoadSettings.Target target;
    private final LongAdder sent = new LongAdder();
    private final LongAdder ok = new LongAdder();
    private final LongAdder tokens = new LongAdder();
    private final LongAdder corrupt = new LongAdder();
    private final Map<String, LongAdder> corruptReasons = new ConcurrentSkipListMap<>();
    private final Map<String, LongAdder> errors = new ConcurrentSkipListMap<>();
    private final Map<String, ConcurrentHistogram> latencies = new ConcurrentSkipListMap<>();
    private volatile long lastAnswerNanos;

    TargetFigures(LoadSettings.Target target) {
        this.target = target;
        for (Latency latency : Latency.values()) {
            latencies.put(latency.field, new ConcurrentHistogram(MAX_MICROS, DIGITS));
        }
    }

    /** What is timed. */
    enum Latency {
        SEND_DELAY("send_delay_ms"),
        FIRST_TOKEN("first_token_ms"),
        BETWEEN_TOKENS("between_tokens_ms"),
        WHOLE_ANSWER("whole_answer_ms");

        private final String field;

        Latency(String field) {
            this.field = field;
        }

        String field() {
            return field;
        }
    }

    void record(Latency latency, long nanos) {
        latencies.get(latency.field).recordValue(Math.min(MAX_MICROS, Math.max(0, nanos / NANOS_PER_MICRO)));
    }

    void sent() {
        sent.increment();
    }

    /** Adds one answer. */
    void answered(AnswerResult result, long intendedNanos, long nowNanos, int answerTokens) {
        lastAnswerNanos = Math.max(lastAnswerNanos, nowNanos);
        switch (result.kind()) {
            case OK -> {
                ok.increment();
                tokens.add(answerTokens);
                record(Latency.WHOLE_ANSWER, nowNanos - intendedNanos);
                if (result.firstTokenNanos() > 0) {
                    record(Latency.FIRST_TOKEN, result.firstTokenNanos() - intendedNanos);
                }
            }
            case ERROR -> count(errors, result.code() + " " + result.outcome());
            case CORRUPT -> {
                corrupt.increment();
                count(corruptReasons, result.code());
            }
        }
    }

    long okCount() {
        return ok.sum();
    }

    long corruptCount() {
        return corrupt.sum();
    }

    /** Returns the percentile in milliseconds. */
    double millis(Latency latency, double percentile) {
        return latencies.get(latency.field).getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    boolean has(Latency latency) {
        return latencies.get(latency.field).getTotalCount() > 0;
    }

    /** @param startNanos start of the run, for the rates up to the last answer */
    ObjectNode toJson(long startNanos) {
        double seconds = Math.max(1, lastAnswerNanos - startNanos) / NANOS_PER_SECOND;
        ObjectNode root = JsonNodeFactory.instance
                .objectNode()
                .put("target", target.name())
                .put("url", target.url())
                .put("sent", sent.sum())
                .put("ok", ok.sum())
                .put("corrupt", corrupt.sum())
                .put(
                        "errors",
                        errors.values().stream().mapToLong(LongAdder::sum).sum())
                .put("seconds", round(seconds))
                .put("requests_per_second", round(ok.sum() / seconds))
                .put("tokens_per_second", round(tokens.sum() / seconds));
        ArrayNode byCode = root.putArray("errors_by_code");
        errors.forEach((key, count) -> {
            String[] parts = key.split(" ", 2);
            byCode.addObject().put("code", parts[0]).put("outcome", parts[1]).put("count", count.sum());
        });
        ObjectNode reasons = root.putObject("corrupt_by_reason");
        corruptReasons.forEach((reason, count) -> reasons.put(reason, count.sum()));
        for (Latency latency : Latency.values()) {
            if (has(latency)) {
                ObjectNode values = root.putObject(latency.field);
                PERCENTILES.entrySet().stream()
                        .sorted(Map.Entry.comparingByValue())
                        .forEach(entry -> values.put(entry.getKey(), round(millis(latency, entry.getValue()))));
            }
        }
        return root;
    }

    static double round(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }

    private static void count(Map<String, LongAdder> counts, String key) {
        counts.computeIfAbsent(key, ignored -> new LongAdder()).increment();
    }
}
