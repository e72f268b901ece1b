package org.agatehatch.internal.process;

/**
 * Why records are appended. Each purpose has its own rate, so that a fault in one part does not use up the log for the
 * others. The rates are per node, some times the planned ones of design section 4.8.
 */
public enum AppendPurpose {
    /** Catalogue changes and drains. */
    CONFIGURATION(5),
    /** Takes, renewals and releases of leases. */
    LEASES(5),
    /** Placement intents and settled orders. */
    PLACEMENT(20),
    /** Strikes against requests that crash backend servers. */
    STRIKES(5);

    private final double defaultAppendsPerSecond;

    AppendPurpose(double defaultPerSecond) {
        this.defaultAppendsPerSecond = defaultPerSecond;
    }

    /** Returns the appends a second that a node may send unless its settings say otherwise. */
    public double defaultAppendsPerSecond() {
        return defaultAppendsPerSecond;
    }
}
