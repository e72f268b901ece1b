package org.agatehatch.standins.log;

import org.agatehatch.standins.http.CommonFaults;
import org.agatehatch.standins.http.FaultTrigger;

/**
 * Faults and limits of the log stand-in that can change while it runs.
 *
 * @param outage whether appends and reads are refused with 503
 * @param frozen see {@link CommonFaults#frozen}
 * @param answerDelayMillis see {@link CommonFaults#answerDelayMillis}
 * @param lostAnswers appends that take effect, but whose connection is cut without an answer
 * @param lostAppends appends that take no effect and whose connection is cut without an answer
 * @param lostReads reads whose connection is cut without an answer
 * @param maxAppendsPerSecond appends a second over all streams; further ones wait
 * @param maxAppendWaitMillis longest time that an append waits for its turn before it is refused with 429
 * @param retentionRecords most records that a stream keeps
 * @param retentionMillis longest time that a record is kept
 */
public record LogFaults(
        boolean outage,
        boolean frozen,
        long answerDelayMillis,
        FaultTrigger lostAnswers,
        FaultTrigger lostAppends,
        FaultTrigger lostReads,
        double maxAppendsPerSecond,
        long maxAppendWaitMillis,
        long retentionRecords,
        long retentionMillis)
        implements CommonFaults {
    private static final double DEFAULT_APPENDS_PER_SECOND = 500;
    private static final long DEFAULT_APPEND_WAIT_MILLIS = 2_000;
    private static final long DEFAULT_RETENTION_RECORDS = 1_000_000;
    private static final long DEFAULT_RETENTION_MILLIS = 86_400_000;

    public LogFaults {
        CommonFaults.notNegative("answer_delay_millis", answerDelayMillis);
        CommonFaults.notNegative("max_append_wait_millis", maxAppendWaitMillis);
        CommonFaults.notNegative("retention_millis", retentionMillis);
        CommonFaults.notNegative("retention_records", retentionRecords);
        if (!(maxAppendsPerSecond > 0)) {
            throw new IllegalArgumentException(
                    "max_appends_per_second is " + maxAppendsPerSecond + "; it must be positive");
        }
    }

    /** Returns a healthy log: 500 appends a second, records kept for a day. */
    public static LogFaults none() {
        return new LogFaults(
                false,
                false,
                0,
                FaultTrigger.off(),
                FaultTrigger.off(),
                FaultTrigger.off(),
                DEFAULT_APPENDS_PER_SECOND,
                DEFAULT_APPEND_WAIT_MILLIS,
                DEFAULT_RETENTION_RECORDS,
                DEFAULT_RETENTION_MILLIS);
    }
}
