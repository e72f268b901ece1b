package org.agatehatch.daemon.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.DoubleSupplier;

/** Counters, gauges and histograms of a node. */
public final class NodeMetrics {
    /** Media type of {@link #render()}. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = Counter.builder()
            .name("agatehatch_requests_total")
            .help("Requests by entry, outcome and error code (ok for none)")
            .labelNames("entry", "outcome", "code")
            .register(registry);
    private final Counter attempts = Counter.builder()
            .name("agatehatch_attempts_total")
            .help("Attempts sent to backend servers by result")
            .labelNames("result")
            .register(registry);
    private final Counter droppedFrames = Counter.builder()
            .name("agatehatch_dropped_frames_total")
            .help("Frames of answers that did not match their attempt or index")
            .labelNames("cause")
            .register(registry);
    private final Counter outputTokens = Counter.builder()
            .name("agatehatch_output_tokens_total")
            .help("Output tokens sent to callers")
            .labelNames("owner")
            .register(registry);
    private final Histogram firstToken = Histogram.builder()
            .name("agatehatch_first_token_seconds")
            .help("Time from the request's arrival to its first token")
            .classicUpperBounds(0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 1, 2, 5, 10)
            .labelNames("request_class")
            .register(registry);
    private final Gauge inFlight = Gauge.builder()
            .name("agatehatch_requests_in_flight")
            .help("Requests that were not answered yet")
            .register(registry);

    /** Counts a request that ended, whether answered or failed. */
    public void countRequest(String entry, String outcome, String code) {
        requests.labelValues(entry, outcome, code).inc();
    }

    /** Counts an attempt that ended. */
    public void countAttempt(String result) {
        attempts.labelValues(result).inc();
    }

    /** Counts response frames that did not match their attempt or index. */
    public void countDroppedFrames(String cause, long count) {
        if (count > 0) {
            droppedFrames.labelValues(cause).inc(count);
        }
    }

    /** Counts output tokens sent to callers of an owner. */
    public void countOutputTokens(String owner, long count) {
        outputTokens.labelValues(owner).inc(count);
    }

    /** Records the time from a request's arrival to its first token. */
    public void recordFirstToken(String requestClass, long elapsedNanos) {
        firstToken.labelValues(requestClass).observe(elapsedNanos / 1e9);
    }

    /** Adds {@code change}, which may be negative, to the number of requests in flight. */
    public void addInFlight(int change) {
        inFlight.inc(change);
    }

    /** Registers a gauge whose value is read on each scrape. */
    public void registerGauge(String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public byte[] render() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(output, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return output.toByteArray();
    }
}
