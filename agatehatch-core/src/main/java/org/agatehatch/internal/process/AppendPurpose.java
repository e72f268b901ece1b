package org.agatehatch.internal.process;

/**
 * Purpose of an append to the control stream. Each purpose has its own rate limit, so that a fault in one component
 * cannot use up the append rate of the others. The limits are per node and several times the planned rates of design
 * section 4.8.
 */
public enum AppendPurpose {
    /** Catalogue changes and drains. */
    CONFIGURATION(5),
    /** Lease acquisitions, renewals and releases. */
    LEASES(5),
    /** Placement intents and settled orders. */
    PLACEMENT(20),
    /** Strikes against requests that crash backend servers. */
    STRIKES(5);

    private final double defaultAppendsPerSecond;

    AppendPurpose(double defaultAppendsPerSecond) {
        this.defaultAppendsPerSecond = defaultAppendsPerSecond;
    }

    /** Returns the appends per second that a node may send unless its settings override the limit. */
    public double defaultAppendsPerSecond() {
        return defaultAppendsPerSecond;
    }
}
