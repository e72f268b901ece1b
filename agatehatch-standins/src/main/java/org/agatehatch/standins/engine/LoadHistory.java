package org.agatehatch.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import org.agatehatch.api.engine.LoadReport;

/** Samples of an engine's load, from which reports with a lag are answered. Not safe for use by several threads. */
final class LoadHistory {
    private static final long SAMPLE_INTERVAL_MILLIS = 20;

    private final Deque<Sample> samples = new ArrayDeque<>();

    private record Sample(long atMillis, LoadReport report) {}

    boolean isDue(long nowMillis) {
        return samples.isEmpty() || nowMillis - samples.getLast().atMillis >= SAMPLE_INTERVAL_MILLIS;
    }

    void add(long nowMillis, long lagMillis, LoadReport report) {
        samples.addLast(new Sample(nowMillis, report));
        prune(nowMillis, lagMillis);
    }

    /** Returns the newest sample that is at least {@code lagMillis} old, or the oldest one if none is. */
    LoadReport read(long nowMillis, long lagMillis) {
        prune(nowMillis, lagMillis);
        Sample sample = samples.getFirst();
        LoadReport report = sample.report;
        return new LoadReport(
                report.runnerEpoch(),
                report.sequence(),
                nowMillis - sample.atMillis,
                report.queuedTokens(),
                report.runningRequests(),
                report.arrivals(),
                report.cacheUsedFraction(),
                report.prefillTokensPerSecond(),
                report.decodeTokensPerSecond(),
                report.adapterLoads(),
                report.adapters(),
                report.uptimeMillis() + nowMillis - sample.atMillis);
    }

    private void prune(long nowMillis, long lagMillis) {
        while (samples.size() > 1) {
            Sample first = samples.removeFirst();
            if (nowMillis - samples.getFirst().atMillis < lagMillis) {
                samples.addFirst(first);
                return;
            }
        }
    }
}
