package org.agatehatch.experiment;

import java.util.Locale;
import org.agatehatch.api.routing.AdmissionPolicy;
import org.agatehatch.internal.request.HoldbackPolicy;

/** Ways to admit requests. Those that hold back lower priorities admit like {@link #NONE}. */
public enum AdmissionKind {
    /** Only the bounds of the queue count. */
    NONE(AdmissionPolicy.admitAll(), HoldbackPolicy.none()),
    /** Refuses requests whose first token is predicted too late. */
    DEADLINE(AdmissionPolicy.deadlineAware(), HoldbackPolicy.none()),
    /** Ceilings that are 0.2 lower with each rank. */
    HOLDBACK_STATIC(AdmissionPolicy.admitAll(), HoldbackPolicy.fixed(0.2)),
    /** Ceilings that are 0.1 lower with each 0.2 of the higher priorities' saturation. */
    HOLDBACK_STEPWISE(AdmissionPolicy.admitAll(), HoldbackPolicy.stepwise(0.2, 0.1)),
    /** Ceilings that are lower by half of the higher priorities' saturation. */
    HOLDBACK_PROPORTIONAL(AdmissionPolicy.admitAll(), HoldbackPolicy.proportional(0.5));

    private final AdmissionPolicy policy;
    private final HoldbackPolicy holdback;

    AdmissionKind(AdmissionPolicy policy, HoldbackPolicy holdback) {
        this.policy = policy;
        this.holdback = holdback;
    }

    AdmissionPolicy policy() {
        return policy;
    }

    HoldbackPolicy holdback() {
        return holdback;
    }

    boolean holdsBack() {
        return name().startsWith("HOLDBACK");
    }

    /** Returns the name as it is written on the command line. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
