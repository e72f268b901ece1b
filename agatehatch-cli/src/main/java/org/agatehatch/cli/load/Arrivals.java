package org.agatehatch.cli.load;

import java.util.Arrays;
import java.util.SplittableRandom;

/** Arrival times of a Poisson process. */
final class Arrivals {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int FIRST_CAPACITY = 1_024;

    private Arrivals() {}

    /** Returns times in nanoseconds since the start, in order, below the duration; the same ones for the same seed. */
    static long[] nanos(double ratePerSecond, double durationSeconds, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long[] times = new long[FIRST_CAPACITY];
        int count = 0;
        double seconds = gapSeconds(random, ratePerSecond);
        while (seconds < durationSeconds && count < LoadSettings.MAX_REQUESTS) {
            if (count == times.length) {
                times = Arrays.copyOf(times, 2 * count);
            }
            times[count++] = (long) (seconds * NANOS_PER_SECOND);
            seconds += gapSeconds(random, ratePerSecond);
        }
        return Arrays.copyOf(times, count);
    }

    private static double gapSeconds(SplittableRandom random, double ratePerSecond) {
        return -Math.log(1 - random.nextDouble()) / ratePerSecond;
    }
}
