package org.agatehatch.internal.process;

import org.agatehatch.api.time.MonotonicClock;

/**
 * The demand for a model in milliseconds of runner time per second, as averages over a second or two, some seconds, and the
 * time after which a rarely requested model is requested again.
 */
final class DemandRate {
    private static final double FAST_TIME_CONSTANT_SECONDS = 1.5;
    private static final double SLOW_TIME_CONSTANT_SECONDS = 5;
    private static final double LONG_TIME_CONSTANT_SECONDS = 20;

    /** Bounds of the trend, as multiples of the fast average, so that noise is not taken for a trend. */
    private static final double MIN_TREND_FACTOR = 0.4;

    private static final double MAX_TREND_FACTOR = 1.5;

    private final DecayingRate fast;
    private final DecayingRate slow;
    private final DecayingRate longRun;

    DemandRate(MonotonicClock clock) {
        fast = new DecayingRate(clock, FAST_TIME_CONSTANT_SECONDS);
        slow = new DecayingRate(clock, SLOW_TIME_CONSTANT_SECONDS);
        longRun = new DecayingRate(clock, LONG_TIME_CONSTANT_SECONDS);
    }

    void add(double workMillis) {
        fast.add(workMillis);
        slow.add(workMillis);
        longRun.add(workMillis);
    }

    /** Adds the averages of another node's rate. */
    void addAverages(double fastPerSecond, double slowPerSecond) {
        fast.add(fastPerSecond * FAST_TIME_CONSTANT_SECONDS);
        slow.add(slowPerSecond * SLOW_TIME_CONSTANT_SECONDS);
        longRun.add(slowPerSecond * LONG_TIME_CONSTANT_SECONDS);
    }

    double fastPerSecond() {
        return fast.perSecond();
    }

    double slowPerSecond() {
        return slow.perSecond();
    }

    /** Returns the lower of both averages, so that a short burst does not count. */
    double sustainedPerSecond() {
        return Math.min(fast.perSecond(), slow.perSecond());
    }

    /** Returns the average over the time in which a rarely requested model is requested again. */
    double longRunPerSecond() {
        return longRun.perSecond();
    }

    /**
     * Returns the demand that is expected when a move that begins now is done. The fast average follows a steady change by
     * 1.5 s and the slow one by 5 s, so that their difference is what changes in 3.5 s: the lag of the fast average and the
     * two seconds that a move takes.
     */
    double expectedPerSecond() {
        double recent = fast.perSecond();
        double extrapolated = 2 * recent - slow.perSecond();
        return Math.max(MIN_TREND_FACTOR * recent, Math.min(MAX_TREND_FACTOR * recent, extrapolated));
    }
}
