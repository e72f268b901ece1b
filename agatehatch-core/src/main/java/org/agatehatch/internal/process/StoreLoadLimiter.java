package org.agatehatch.internal.process;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Limits the loads from the weight store which this node orders. A token bucket limits the loads that are planned. It starts empty,
 * because the previous placement holder may have used up the loads that the window allows. Loads that were planned one after the
 * other may begin together, for example behind unloads, so that the loads that may begin in a window are counted as well.
 */
final class StoreLoadLimiter {
    /** Loads that the weight store allows in a window in addition to the rate. */
    private static final double EXTRA_LOADS = 3;

    /** Fraction of the allowed burst that is used, because orders take some time to reach the runners. */
    private static final double BURST_SAFETY_FACTOR = 0.9;

    /** Time after which a load whose order got no reply counts no more: runners execute orders up to 12 s late. */
    private static final long UNANSWERED_MILLIS = 20_000;

    /** A load that was sent to a runner. */
    static final class SentLoad {
        private final long sentAtMillis;

        private SentLoad(long sentAtMillis) {
            this.sentAtMillis = sentAtMillis;
        }
    }

    private final Set<SentLoad> undecided = new HashSet<>();
    private final Deque<Long> begunAtMillis = new ArrayDeque<>();
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

    /** Returns whether one more load may begin in a window that ends now or later. */
    boolean mayBegin() {
        long nowMillis = clock.millis();
        long windowMillis = (long) (windowSeconds * 1_000);
        while (!begunAtMillis.isEmpty() && nowMillis - begunAtMillis.peek() >= windowMillis) {
            begunAtMillis.poll();
        }
        undecided.removeIf(load -> nowMillis - load.sentAtMillis > UNANSWERED_MILLIS);
        double allowed = loadsPerSecond * windowSeconds * overshoot + EXTRA_LOADS;
        return begunAtMillis.size() + undecided.size() + 1 <= allowed;
    }

    /** Records a load that a runner may begin from now on, until it is known whether it has. */
    SentLoad onSent() {
        SentLoad load = new SentLoad(clock.millis());
        undecided.add(load);
        return load;
    }

    /** Records that a runner has begun a load by now if it has not refused it. */
    void onDecided(SentLoad load, boolean mayHaveBegun) {
        if (undecided.remove(load) && mayHaveBegun) {
            begunAtMillis.add(clock.millis());
        }
    }

    private void refill() {
        long nowNanos = clock.nanos();
        double allowedBurst = loadsPerSecond * windowSeconds * (overshoot - 1) + EXTRA_LOADS;
        double burst = Math.max(1, allowedBurst * BURST_SAFETY_FACTOR);
        tokens = Math.min(burst, tokens + (nowNanos - refilledAtNanos) / 1e9 * loadsPerSecond);
        refilledAtNanos = nowNanos;
    }
}
