package org.agatehatch.internal.connection;

/**
 * When a backend server is taken out of the candidates, and for how long. The figures are starting points that no
 * measurement supports yet.
 *
 * @param consecutiveFailures failures in a row that take a server out
 * @param minLatencySamples answers needed before latency is judged
 * @param latencyFactor how far above the pool's median an outlier's latency is
 * @param minOutlierLatencyMillis latencies below this are never outliers
 * @param baseEjectionMillis time out after the first ejection; doubles with each further one
 * @param maxEjectionMillis upper bound of the time out
 * @param jitterFraction random part of the time out, so that nodes do not all probe at once
 * @param requiredProbes probes that must succeed in a row
 * @param probeTimeoutMillis time after which a probe without a result no longer blocks the next
 * @param panicFraction part of the pool that must look bad for ejections to be ignored
 */
public record EjectionPolicy(
        int consecutiveFailures,
        int minLatencySamples,
        double latencyFactor,
        double minOutlierLatencyMillis,
        long baseEjectionMillis,
        long maxEjectionMillis,
        double jitterFraction,
        int requiredProbes,
        long probeTimeoutMillis,
        double panicFraction) {
    /** The rules that the daemon uses unless its settings say otherwise. */
    public static final EjectionPolicy DEFAULT = new EjectionPolicy(3, 20, 3, 50, 1_000, 60_000, 0.2, 2, 10_000, 0.5);

    /** For servers that are back within seconds of a crash: shorter times out, and one probe is enough to return. */
    public static final EjectionPolicy FAST_RECOVERY = new EjectionPolicy(2, 20, 4, 200, 400, 4_000, 0.2, 1, 1_500, 0.6);
}
