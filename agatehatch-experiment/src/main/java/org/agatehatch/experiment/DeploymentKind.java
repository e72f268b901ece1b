package org.agatehatch.experiment;

import java.util.List;
import java.util.Locale;

/** The two deployments of design section 1.6. */
public enum DeploymentKind {
    /** Dispatch service of tool works. Moves count most. */
    ALMATY(List.of("medeu", "bostandyk", "auezov", "turksib"), 1.5, 55, 4, 30, 5),
    /** Teaching and booking. Tutor models share a long course manual. Attainment counts most. */
    URUGUAY(List.of("mvd-a", "mvd-b", "canelones"), 1, 60, 2, 15, 1);

    private final List<String> failureDomains;
    private final double otherDomainMillis;
    private final int adapters;
    private final int storeLoadsAtOnce;
    private final int adapterLoadsInFlight;
    private final double moveWeight;

    DeploymentKind(
            List<String> failureDomains,
            double otherDomainMillis,
            int adapters,
            int storeLoadsAtOnce,
            int adapterLoadsInFlight,
            double moveWeight) {
        this.failureDomains = failureDomains;
        this.otherDomainMillis = otherDomainMillis;
        this.adapters = adapters;
        this.storeLoadsAtOnce = storeLoadsAtOnce;
        this.adapterLoadsInFlight = adapterLoadsInFlight;
        this.moveWeight = moveWeight;
    }

    List<String> failureDomains() {
        return failureDomains;
    }

    /** One-way latency to another failure domain. */
    double otherDomainMillis() {
        return otherDomainMillis;
    }

    int adapters() {
        return adapters;
    }

    int storeLoadsAtOnce() {
        return storeLoadsAtOnce;
    }

    int adapterLoadsInFlight() {
        return adapterLoadsInFlight;
    }

    double moveWeight() {
        return moveWeight;
    }

    boolean sharesManual() {
        return this == URUGUAY;
    }

    /** Returns the name as it is written on the command line. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
