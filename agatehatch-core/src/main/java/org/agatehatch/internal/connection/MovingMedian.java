package org.agatehatch.internal.connection;

import java.util.Arrays;

/**
 * Median of the latest values: those of the last 1.5 seconds, but at least five and at most 32, so that a change shows after a
 * few values and a single odd one does not count.
 */
final class MovingMedian {
    private static final int MAX_VALUES = 32;
    private static final int MIN_VALUES = 5;
    private static final long WINDOW_MILLIS = 1_500;

    private final double[] values = new double[MAX_VALUES];
    private final MovingMedian[] bases = new MovingMedian[MAX_VALUES];
    private final long[] timesMillis = new long[MAX_VALUES];
    private final double[] sorted = new double[MAX_VALUES];
    private int size;
    private int next;
    private double median;
    private double error;

    void add(double value, long nowMillis) {
        add(value, null, nowMillis);
    }

    /**
     * Adds a value of which only the difference from a base counts. The differences are taken anew with each value, since the base
     * moves with the same answers: with fixed ones, both moved by the same change, and back again.
     */
    void add(double value, MovingMedian base, long nowMillis) {
        values[next] = value;
        bases[next] = base;
        timesMillis[next] = nowMillis;
        next = (next + 1) % MAX_VALUES;
        size = Math.min(size + 1, MAX_VALUES);
        median = latestMedian(nowMillis);
    }

    /** Returns the standard error of the median, from the spread of the values. */
    double error() {
        return error;
    }

    /** Returns the median; 0 without values. */
    double median() {
        return median;
    }

    /** Returns the number of values, up to the maximum of the window. */
    int size() {
        return size;
    }

    /** Returns the time of the latest value; 0 without values. */
    long latestMillis() {
        return size == 0 ? 0 : timesMillis[(next + MAX_VALUES - 1) % MAX_VALUES];
    }

    private double latestMedian(long nowMillis) {
        int taken = 0;
        while (taken < size) {
            int index = (next + MAX_VALUES - 1 - taken) % MAX_VALUES;
            if (taken >= MIN_VALUES && nowMillis - timesMillis[index] > WINDOW_MILLIS) {
                break;
            }
            sorted[taken++] = values[index] - (bases[index] == null ? 0 : bases[index].median);
        }
        Arrays.sort(sorted, 0, taken);
        // The quartiles of normal values are 1.35 standard deviations apart, and a median's error is 1.25 times a
        // mean's.
        double spread = sorted[taken - 1 - taken / 4] - sorted[taken / 4];
        error = 1.25 / 1.35 * spread / Math.sqrt(taken);
        return (sorted[(taken - 1) / 2] + sorted[taken / 2]) / 2;
    }
}
