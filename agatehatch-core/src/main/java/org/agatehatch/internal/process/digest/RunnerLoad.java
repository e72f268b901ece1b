package org.agatehatch.internal.process.digest;

import java.util.Set;
import org.agatehatch.api.engine.LoadReport;

/**
 * Load of a runner, in the form in which the digest carries it. See {@link LoadReport} for the
 * figures that are not described here.
 *
 * @param epochHash hash of the engine process's epoch
 * @param arrivals requests received since the engine started
 * @param decodeTokensPerSecond rate of one request at the current batch size
 */
public record RunnerLoad(
        int epochHash,
        long sequence,
        long queuedTokens,
        int runningRequests,
        long arrivals,
        double cacheUsedFraction,
        double prefillTokensPerSecond,
        double decodeTokensPerSecond,
        int adapterLoads) {
    private static final double STEPS_PER_DOUBLING = 4;
    private static final double CACHE_STEPS = 16;
    private static final int EPOCH_MASK = 0xffff;

    /**
     * Returns the form of an epoch in which nodes compare engine processes: some know the epoch, others only its hash.
     */
    public static String epochText(String runnerEpoch) {
        return Integer.toHexString(epochHash(runnerEpoch));
    }

    private static int epochHash(String runnerEpoch) {
        return runnerEpoch.hashCode() & EPOCH_MASK;
    }

    /** Returns the load of a report. */
    public static RunnerLoad of(LoadReport report) {
        return new RunnerLoad(
                epochHash(report.runnerEpoch()),
                report.sequence(),
                report.queuedTokens(),
                report.runningRequests(),
                report.arrivals(),
                report.cacheUsedFraction(),
                report.prefillTokensPerSecond(),
                report.decodeTokensPerSecond(),
                report.adapterLoads());
    }

    /** Returns a report with these figures. Its epoch only distinguishes engine processes. */
    public LoadReport toReport(Set<String> adapters) {
        return new LoadReport(
                Integer.toHexString(epochHash),
                sequence,
                0,
                queuedTokens,
                runningRequests,
                arrivals,
                cacheUsedFraction,
                prefillTokensPerSecond,
                decodeTokensPerSecond,
                adapterLoads,
                adapters);
    }

    /** Returns whether another load differs at most in its sequence. */
    public boolean equalsIgnoringSequence(RunnerLoad other) {
        return other != null
                && new RunnerLoad(
                                other.epochHash,
                                sequence,
                                other.queuedTokens,
                                other.runningRequests,
                                other.arrivals,
                                other.cacheUsedFraction,
                                other.prefillTokensPerSecond,
                                other.decodeTokensPerSecond,
                                other.adapterLoads)
                        .equals(this);
    }

    /**
     * Returns the load with its figures rounded to the precision of the codec, so that equal encodings mean equal
     * values.
     */
    public RunnerLoad quantised() {
        return new RunnerLoad(
                epochHash,
                sequence,
                Math.round(fromLevel(toLevel(queuedTokens))),
                (int) Math.round(fromLevel(toLevel(runningRequests))),
                arrivals,
                Math.round(cacheUsedFraction * CACHE_STEPS) / CACHE_STEPS,
                fromLevel(toLevel(prefillTokensPerSecond)),
                fromLevel(toLevel(decodeTokensPerSecond)),
                adapterLoads);
    }

    /** Returns the logarithmic level of a figure: four levels for each doubling, within 10% of the figure. */
    static int toLevel(double value) {
        return value <= 0 ? 0 : (int) Math.round(Math.log(value + 1) / Math.log(2) * STEPS_PER_DOUBLING);
    }

    /** Returns the figure of a level. */
    static double fromLevel(int level) {
        return Math.pow(2, level / STEPS_PER_DOUBLING) - 1;
    }
}
