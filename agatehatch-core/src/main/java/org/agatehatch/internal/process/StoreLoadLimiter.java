package org.agatehatch.internal.process;

import org.agatehatch.api.time.MonotonicClock;

/**
 * Token bucket that limits the loads from the weight store which this node orders. It starts empty, because the previous
 * placement holder may have used up the loads that the window allows.
 */
final class StoreLoadLimiter {
    /** Loads that the weight store allows in a window in addition to the rate. */
    private static final double EXTRA_LOADS = 3;

    /** Fraction of the allowed burst that is used, because orders take some time to reach the runners. */
    private static final double BURST_SAFETY_FACTOR = 0.9;

    private final MonotonicClock clock;
    private final double windowSeconds;
    private final double overshoot;
    private double loadsPerSecond;
    private double tokens;
    private long refilledAtNanos;

    /**
     * Creates an empty bucket.
     *
     * @param windowSeconds the weight store's limit applies to any span of this length
     * @param overshoot factor by which the loads of a window may exceed the rate, in addition to {@link #EXTRA_LOADS}
     */
    StoreLoadLimiter(MonotonicClock clock, double windowSeconds, double overshoot) {
        this.clock = clock;
        this.windowSeconds = windowSeconds;
        this.overshoot = overshoot;
        this.refilledAtNanos = clock.nanos();
    }

    /** Sets the sustained rate that the weight store allows. */
    void setLoadsPerSecond(double perSecond) {
        refill();
        loadsPerSecond = perSecond;
    }

    /** Empties the bucket after this node has taken over the placement lease. */
    void clear() {
        tokens = 0;
        refilledAtNanos = clock.nanos();
    }

    /** Returns the number of loads that may start now. */
    int availableLoads() {
        refill();
        return (int) tokens;
    }

    /** Takes a token for a load that is ordered. */
    void consume() {
        tokens--;
    }

    private void refill() {
        long nowNanos = clock.nanos();
        double allowedBurst = loadsPerSecond * windowSeconds * (overshoot - 1) + EXTRA_LOADS;
        double burst = Math.max(1, allowedBurst * BURST_SAFETY_FACTOR);
        tokens = Math.min(burst, tokens + (nowNanos - refilledAtNanos) / 1e9 * loadsPerSecond);
        refilledAtNanos = nowNanos;
    }
}
