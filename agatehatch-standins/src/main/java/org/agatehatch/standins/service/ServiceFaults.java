package org.agatehatch.standins.service;

import org.agatehatch.standins.http.CommonFaults;
import org.agatehatch.standins.http.FaultTrigger;

/**
 * Faults of the plain service stand-in that can change while it runs.
 *
 * @param frozen see {@link CommonFaults#frozen}
 * @param answerDelayMillis see {@link CommonFaults#answerDelayMillis}
 * @param leaving whether new calls are refused with 503
 * @param runMillis time between the arrival of a call and its effect
 * @param crashBeforeRun calls that crash the process before their effect
 * @param crashAfterRun calls that crash the process after their effect
 * @param crashOnText calls whose body contains this text crash the process before their effect; empty for none
 * @param lostAnswers calls that take effect, but whose connection is cut without an answer
 * @param restartMillis time from a crash until the process listens again
 */
public record ServiceFaults(
        boolean frozen,
        long answerDelayMillis,
        boolean leaving,
        long runMillis,
        FaultTrigger crashBeforeRun,
        FaultTrigger crashAfterRun,
        String crashOnText,
        FaultTrigger lostAnswers,
        long restartMillis)
        implements CommonFaults {
    private static final long DEFAULT_RESTART_MILLIS = 200;

    public ServiceFaults {
        CommonFaults.notNegative("answer_delay_millis", answerDelayMillis);
        CommonFaults.notNegative("run_millis", runMillis);
        CommonFaults.notNegative("restart_millis", restartMillis);
    }

    /** Returns a healthy service that answers at once. */
    public static ServiceFaults none() {
        return new ServiceFaults(
                false,
                0,
                false,
                0,
                FaultTrigger.off(),
                FaultTrigger.off(),
                "",
                FaultTrigger.off(),
                DEFAULT_RESTART_MILLIS);
    }
}
