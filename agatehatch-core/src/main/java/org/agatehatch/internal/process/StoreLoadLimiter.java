package org.agatehatch.internal.process;

import org.agatehatch.api.time.MonotonicClock;

/**
 * Limits the loads from the weight store that this node starts. It begins empty, because a former holder may have used up
 * what the window allows.
 */
final class StoreLoadLimiter {
    /** Loads that a window allows beside the rate. */
    private static final double EXTRA_LOADS = 3;

    /** Part of the allowed burst that is used; orders need some time to arrive. */
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
     * @param windowSeconds any span of this length is judged
     * @param overshoot factor by which the loads of a window may pass the rate, beside a few extra ones
     */
    StoreLoadLimiter(MonotonicClock clock, double windowSeconds, double overshoot) {
        this.clock = clock;
        this.windowSeconds = windowSeconds;
        this.overshoot = overshoot;
        this.refilledAtNanos = clock.nanos();
    }

    /** Sets the rate of the weight store. */
    void setLoadsPerSecond(double perSecond) {
        refill();
        loadsPerSecond = perSecond;
    }

    /** Empties the bucket, when the right to give orders was taken over. */
    void clear() {
        tokens = 0;
        refilledAtNanos = clock.nanos();
    }

    /** Returns how many loads may start now. */
    int availableLoads() {
        refill();
        return (int) tokens;
    }

    /** Notes that a load was ordered. */
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
