package org.agatehatch.internal.connection;

/**
 * Thresholds for the ejection of unhealthy backend servers, and the length of ejections.
 *
 * @param consecutiveFailures consecutive failures that eject a server
 * @param minLatencySamples answers needed before a server can be a latency outlier
 * @param latencyFactor a server is an outlier if its mean latency exceeds the pool's median by more than this factor
 * @param minOutlierLatencyMillis latencies below this are never outliers
 * @param baseEjectionMillis length of the first ejection; doubles with each further one
 * @param maxEjectionMillis upper bound of the ejection time before jitter
 * @param jitterFraction largest random addition to the ejection time, as a fraction of it, so that nodes do not all
 *     probe at once
 * @param requiredProbes successful probes after which a server is reinstated; a failed probe ejects it again
 * @param probeTimeoutMillis time after which a probe without a result no longer blocks the next one
 * @param panicFraction ejections are ignored while more than this fraction of the servers that are not leaving is
 *     ejected
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
    /** Default policy of the daemon. */
    public static final EjectionPolicy DEFAULT = new EjectionPolicy(3, 20, 3, 50, 1_000, 60_000, 0.2, 2, 10_000, 0.5);

    /**
     * For servers that restart within seconds of a crash: ejections are shorter, and one successful probe reinstates.
     */
    public static final EjectionPolicy FAST_RECOVERY =
            new EjectionPolicy(2, 20, 4, 200, 400, 4_000, 0.2, 1, 1_500, 0.6);
}
