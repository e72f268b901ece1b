package org.agatehatch.gateway.request;

import org.agatehatch.api.fleet.RouteSpec;

/** Rank of a request among those queued at a runner; 0 is served first. */
final class Urgency {
    private static final int URGENCIES_PER_PRIORITY = 2;
    private static final int LOWEST_URGENCY = 9;

    /** Latency target above which a request ranks below other requests of its priority. */
    private static final long URGENT_TARGET_MILLIS = 1_000;

    private Urgency() {}

    static int of(RouteSpec route) {
        int base = route.priority() * URGENCIES_PER_PRIORITY;
        return Math.min(LOWEST_URGENCY, base + (route.targetMillis() > URGENT_TARGET_MILLIS ? 1 : 0));
    }
}
