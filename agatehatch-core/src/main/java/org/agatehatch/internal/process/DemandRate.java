package org.agatehatch.internal.process;

import org.agatehatch.api.time.MonotonicClock;

/**
 * The demand for a model in milliseconds of runner time per second, as a weighted sum of a fast and a slow average. It rises
 * within a second when demand shifts to the model, and random variation moves it little.
 */
final class DemandRate {
    private static final double FAST_TIME_CONSTANT_SECONDS = 1.5;
    private static final double SLOW_TIME_CONSTANT_SECONDS = 5;
    private static final double FAST_WEIGHT = 0.6;

    private final DecayingRate fast;
    private final DecayingRate slow;

    DemandRate(MonotonicClock clock) {
        fast = new DecayingRate(clock, FAST_TIME_CONSTANT_SECONDS);
        slow = new DecayingRate(clock, SLOW_TIME_CONSTANT_SECONDS);
    }

    void add(double workMillis) {
        fast.add(workMillis);
        slow.add(workMillis);
    }

    /** Adds the averages of another node's rate. */
    void addAverages(double fastPerSecond, double slowPerSecond) {
        fast.add(fastPerSecond * FAST_TIME_CONSTANT_SECONDS);
        slow.add(slowPerSecond * SLOW_TIME_CONSTANT_SECONDS);
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

    double perSecond() {
        return FAST_WEIGHT * fast.perSecond() + (1 - FAST_WEIGHT) * slow.perSecond();
    }
}
