package org.agatehatch.standins.engine;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts adapter loads in progress over all engines that share it. A load takes 5 to 10 ms up to a number in flight,
 * proportionally longer beyond.
 */
public final class AdapterLoads {
    private static final double MIN_MILLIS = 5;
    private static final double MAX_MILLIS = 10;

    private final int fullSpeedLoads;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger mostInFlight = new AtomicInteger();

    public AdapterLoads(int fullSpeedLoads) {
        if (fullSpeedLoads < 1) {
            throw new IllegalArgumentException("full_speed_loads is " + fullSpeedLoads + "; it must be positive");
        }
        this.fullSpeedLoads = fullSpeedLoads;
    }

    /** Starts a load and returns how long it takes, in milliseconds of the model. */
    double start() {
        int now = inFlight.incrementAndGet();
        mostInFlight.accumulateAndGet(now, Math::max);
        double atFullSpeed = ThreadLocalRandom.current().nextDouble(MIN_MILLIS, MAX_MILLIS);
        return atFullSpeed * Math.max(1, (double) now / fullSpeedLoads);
    }

    void finish() {
        inFlight.decrementAndGet();
    }

    /** Returns the loads in progress. */
    public int inFlight() {
        return inFlight.get();
    }

    /** Returns the highest number of loads that were in progress at once. */
    public int mostInFlight() {
        return mostInFlight.get();
    }
}
