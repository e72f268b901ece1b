package org.agatehatch.internal.process;

/** How often nodes report to the one that gives orders. The pause grows with the nodes, so that its work stays bounded. */
public final class ReportIntervals {
    /** Pause in a small group. Queues at the runners change within some hundred milliseconds. */
    private static final long MIN_INTERVAL_MILLIS = 250;

    /** Pause for each node: 200 reports a second at most, a few parts in a hundred of a small machine's processor. */
    private static final long MILLIS_PER_NODE = 5;

    /** Pauses after which a node that is not heard of counts as silent: three reports may be lost. */
    private static final long STALE_INTERVALS = 4;

    /** Time for a report's way and the other work of its node. */
    private static final long DELAY_ALLOWANCE_MILLIS = 300;

    private ReportIntervals() {}

    /** Returns the pause between two reports of a node. */
    public static long intervalMillis(int nodeCount) {
        return Math.max(MIN_INTERVAL_MILLIS, nodeCount * MILLIS_PER_NODE);
    }

    /** Returns the age of a node's last report beyond which one has been missed. */
    public static long missedAfterMillis(int nodeCount) {
        return 2 * intervalMillis(nodeCount) + DELAY_ALLOWANCE_MILLIS;
    }

    /** Returns the age of a report beyond which it says nothing about the present. */
    public static long staleAfterMillis(int nodeCount) {
        return STALE_INTERVALS * intervalMillis(nodeCount);
    }
}
