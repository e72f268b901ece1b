package org.agatehatch.internal.process.digest;

/** Intervals that grow with the size of the deployment, so that the bytes that a node sends stay within its budget. */
public final class DigestPacing {
    private static final long MIN_PERIOD_MILLIS = 500;
    private static final long MAX_PERIOD_MILLIS = 16_000;
    private static final double BUDGET_BYTES_PER_SECOND = 4_000;
    private static final double BYTES_PER_RUNNER = 30;
    /** A node has about 4 links, and each entry is sent over each of them once. */
    private static final double LINKS_PER_NODE = 4;

    private static final long MIN_HEARTBEAT_MILLIS = 1_000;
    private static final long MAX_HEARTBEAT_MILLIS = 20_000;
    private static final long HEARTBEAT_MILLIS_PER_NODE = 50;

    private DigestPacing() {}

    /** Returns the time between two load reports of one runner. */
    public static long loadPeriodMillis(int runners) {
        double millis = runners * BYTES_PER_RUNNER * LINKS_PER_NODE / BUDGET_BYTES_PER_SECOND * 1_000;
        return clamp(Math.round(millis), MIN_PERIOD_MILLIS, MAX_PERIOD_MILLIS);
    }

    /** Returns the time between two heartbeats of one node. */
    public static long heartbeatMillis(int nodes) {
        return clamp(nodes * HEARTBEAT_MILLIS_PER_NODE, MIN_HEARTBEAT_MILLIS, MAX_HEARTBEAT_MILLIS);
    }

    /** Returns the time between two messages on one link. */
    public static long linkPeriodMillis(int nodes) {
        return clamp(nodes * 3L, MIN_PERIOD_MILLIS, MIN_HEARTBEAT_MILLIS);
    }

    private static long clamp(long value, long min, long max) {
        return Math.max(min, Math.min(max, value));
    }
}
