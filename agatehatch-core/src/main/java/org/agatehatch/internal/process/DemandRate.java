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

    /**
     * Variance of the difference of both averages, in multiples of the requests per second times the mean square of a request's
     * work, if requests arrive at random: 1/(2 fast) + 1/(2 slow) - 2/(fast + slow), in time constants.
     */
    private static final double DIFFERENCE_VARIANCE = 1 / (2 * FAST_TIME_CONSTANT_SECONDS)
            + 1 / (2 * SLOW_TIME_CONSTANT_SECONDS)
            - 2 / (FAST_TIME_CONSTANT_SECONDS + SLOW_TIME_CONSTANT_SECONDS);

    /** Squared difference of the averages, in multiples of its variance, at which half of it is taken for a change. */
    private static final double HALF_TRUST_VARIANCES = 4;

    /** Work of one request that is assumed for averages of another node, which name no single requests. */
    private static final double ASSUMED_REQUEST_WORK_MILLIS = 60;

    private final DecayingRate fast;
    private final DecayingRate slow;
    private final DecayingRate longRun;
    private final DecayingRate squares;

    DemandRate(MonotonicClock clock) {
        fast = new DecayingRate(clock, FAST_TIME_CONSTANT_SECONDS);
        slow = new DecayingRate(clock, SLOW_TIME_CONSTANT_SECONDS);
        longRun = new DecayingRate(clock, LONG_TIME_CONSTANT_SECONDS);
        squares = new DecayingRate(clock, SLOW_TIME_CONSTANT_SECONDS);
    }

    void add(double workMillis) {
        fast.add(workMillis);
        slow.add(workMillis);
        longRun.add(workMillis);
        squares.add(workMillis * workMillis);
    }

    /** Adds the averages of another node's rate. */
    void addAverages(double fastPerSecond, double slowPerSecond) {
        fast.add(fastPerSecond * FAST_TIME_CONSTANT_SECONDS);
        slow.add(slowPerSecond * SLOW_TIME_CONSTANT_SECONDS);
        longRun.add(slowPerSecond * LONG_TIME_CONSTANT_SECONDS);
        squares.add(slowPerSecond * SLOW_TIME_CONSTANT_SECONDS * ASSUMED_REQUEST_WORK_MILLIS);
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
     * two seconds that a move takes. A model with few requests a second seems to change all the time by chance, so the change
     * counts only as far as it is more than that.
     */
    double expectedPerSecond() {
        double recent = fast.perSecond();
        double average = slow.perSecond();
        double extrapolated = 2 * recent - average;
        double bounded = Math.max(MIN_TREND_FACTOR * recent, Math.min(MAX_TREND_FACTOR * recent, extrapolated));
        return average + trust(recent - average) * (bounded - average);
    }

    /** Returns the share of a difference between the averages that is taken for a change of the demand. */
    private double trust(double difference) {
        double variance = DIFFERENCE_VARIANCE * squares.perSecond();
        double square = difference * difference;
        return square <= 0 ? 0 : square / (square + HALF_TRUST_VARIANCES * variance);
    }
}
