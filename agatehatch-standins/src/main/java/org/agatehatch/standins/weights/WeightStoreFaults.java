package org.agatehatch.standins.weights;

import org.agatehatch.standins.http.CommonFaults;
import org.agatehatch.standins.http.FaultTrigger;

/**
 * Faults and rates of the weight store stand-in that can change while it runs. Durations and rates are in the time of
 * the model, which runs {@code time_scale} times as fast as real time.
 *
 * @param outage whether loads are refused with 503
 * @param frozen see {@link CommonFaults#frozen}
 * @param answerDelayMillis see {@link CommonFaults#answerDelayMillis}; in real time
 * @param failedLoads loads that end with 500 after their time
 * @param loadMillis time of a load at full speed
 * @param loadsPerSecond loads that may start in a second
 * @param fullSpeedLoads loads that can be in progress at once at full speed
 */
public record WeightStoreFaults(
        boolean outage,
        boolean frozen,
        long answerDelayMillis,
        FaultTrigger failedLoads,
        long loadMillis,
        double loadsPerSecond,
        int fullSpeedLoads)
        implements CommonFaults {
    private static final long DEFAULT_LOAD_MILLIS = 3_000;
    private static final double DEFAULT_LOADS_PER_SECOND = 1;
    private static final int DEFAULT_FULL_SPEED_LOADS = 4;

    public WeightStoreFaults {
        CommonFaults.notNegative("answer_delay_millis", answerDelayMillis);
        CommonFaults.notNegative("load_millis", loadMillis);
        if (!(loadsPerSecond > 0) || fullSpeedLoads < 1) {
            throw new IllegalArgumentException("loads_per_second is " + loadsPerSecond + " and full_speed_loads is "
                    + fullSpeedLoads + "; both must be positive");
        }
    }

    /** Returns a healthy store: one load a second, 4 at once at full speed, 3 s each. */
    public static WeightStoreFaults none() {
        return new WeightStoreFaults(
                false,
                false,
                0,
                FaultTrigger.off(),
                DEFAULT_LOAD_MILLIS,
                DEFAULT_LOADS_PER_SECOND,
                DEFAULT_FULL_SPEED_LOADS);
    }

    /** Returns these settings with another rate and number at full speed. */
    public WeightStoreFaults withRates(long newLoadMillis, double newLoadsPerSecond, int newFullSpeedLoads) {
        return new WeightStoreFaults(
                outage, frozen, answerDelayMillis, failedLoads, newLoadMillis, newLoadsPerSecond, newFullSpeedLoads);
    }
}
