package org.agatehatch.internal.process;

/** Intervals and time-outs of the nodes' reports. They grow with the number of nodes, to bound the placement holder's load. */
public final class ReportIntervals {
    /** Interval in a small group; the runners' queues change within some hundred milliseconds. */
    private static final long MIN_INTERVAL_MILLIS = 250;

    /** Interval per node: limits the holder to 200 reports per second, a few percent of a small machine's processor. */
    private static final long MILLIS_PER_NODE = 5;

    /** Intervals without a report after which a node's last one is stale; tolerates three lost reports. */
    private static final long STALE_INTERVALS = 4;

    /** Allowance for network latency and for the node's other work. */
    private static final long DELAY_ALLOWANCE_MILLIS = 300;

    private ReportIntervals() {}

    /** Returns the interval between two reports of a node. */
    public static long intervalMillis(int nodeCount) {
        return Math.max(MIN_INTERVAL_MILLIS, nodeCount * MILLIS_PER_NODE);
    }

    /** Returns the age of a node's last report beyond which its next report is missing. */
    public static long missedAfterMillis(int nodeCount) {
        return 2 * intervalMillis(nodeCount) + DELAY_ALLOWANCE_MILLIS;
    }

    /** Returns the age beyond which a report is too stale to be used. */
    public static long staleAfterMillis(int nodeCount) {
        return STALE_INTERVALS * intervalMillis(nodeCount);
    }
}
