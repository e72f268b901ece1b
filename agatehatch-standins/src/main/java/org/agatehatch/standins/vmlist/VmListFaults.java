package org.agatehatch.standins.vmlist;

import org.agatehatch.standins.http.CommonFaults;

/**
 * Faults of the VM list stand-in that can change while it runs.
 *
 * @param outage whether the list is refused with 503
 * @param frozen see {@link CommonFaults#frozen}
 * @param answerDelayMillis see {@link CommonFaults#answerDelayMillis}
 * @param lagMillis how old the list is that readers get
 */
public record VmListFaults(boolean outage, boolean frozen, long answerDelayMillis, long lagMillis)
        implements CommonFaults {
    public VmListFaults {
        CommonFaults.notNegative("answer_delay_millis", answerDelayMillis);
        CommonFaults.notNegative("lag_millis", lagMillis);
    }

    /** Returns a list without lag. */
    public static VmListFaults none() {
        return new VmListFaults(false, false, 0, 0);
    }
}
