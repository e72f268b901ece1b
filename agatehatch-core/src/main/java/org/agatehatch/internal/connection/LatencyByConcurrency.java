package org.agatehatch.internal.connection;

/**
 * How the latency of a server grows with its requests in flight, relative to its speed at the time. Each number of requests in
 * flight has its own mean, so the server's own slow phases, which shift all of them, are not taken for a limit.
 */
final class LatencyByConcurrency {
    /** Latency beyond this multiple of the lowest one shows that more requests in flight are of no use. */
    private static final double TOLERATED_LOG = Math.log(1.5);

    /** Number of answers over which the means move. */
    private static final int MEMORY = 40;

    /** Smallest number of answers from which a mean is compared; one slow answer limits nothing. */
    private static final int MIN_ANSWERS = 4;

    private static final double DEVIATION_SMOOTHING = 0.05;

    private final double[] meanLog;
    private final int[] answers;
    private double deviation;
    private int limit;

    LatencyByConcurrency(int slots) {
        meanLog = new double[slots];
        answers = new int[slots];
        limit = slots;
    }

    /** Records the logarithm of an answer's latency relative to the server's speed. */
    void add(int inFlight, double relativeLog) {
        int index = index(inFlight);
        answers[index] = Math.min(answers[index] + 1, MEMORY);
        double error = relativeLog - meanLog[index];
        meanLog[index] += error / answers[index];
        if (answers[index] > 1) {
            deviation += DEVIATION_SMOOTHING * (Math.abs(error) - deviation);
        }
        limit = firstBeyondTolerance();
    }

    /** Returns the logarithm of the expected latency relative to the server's speed; unknown numbers count as the next lower one. */
    double expectedLog(int inFlight) {
        for (int index = index(inFlight); index >= 0; index--) {
            if (answers[index] > 0) {
                return meanLog[index] + extrapolation(inFlight, index);
            }
        }
        return 0;
    }

    /** Returns the useful concurrency: the largest number in flight at which latency stays within 1.5 times the lowest. */
    int limit() {
        return limit;
    }

    /** Requests beyond the slots wait for one. */
    private double extrapolation(int inFlight, int index) {
        return inFlight <= meanLog.length || index < meanLog.length - 1
                ? 0
                : Math.log((double) inFlight / meanLog.length);
    }

    private int firstBeyondTolerance() {
        double lowest = Double.POSITIVE_INFINITY;
        for (int index = 0; index < meanLog.length; index++) {
            if (answers[index] < MIN_ANSWERS) {
                continue;
            }
            // The deviation of absolute errors is 0.8 of the standard deviation of normal ones.
            double uncertainty = 1.25 * deviation / Math.sqrt(answers[index]);
            if (meanLog[index] - uncertainty > lowest + TOLERATED_LOG) {
                return Math.max(1, index);
            }
            lowest = Math.min(lowest, meanLog[index] + uncertainty);
        }
        return meanLog.length;
    }

    private int index(int inFlight) {
        return Math.max(0, Math.min(inFlight, meanLog.length) - 1);
    }
}
