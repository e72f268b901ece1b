package org.agatehatch.experiment;

import java.util.Locale;

/** Policies that an experiment compares. */
public enum PolicyKind {
    /** Default routing and default placement. */
    AGATEHATCH,
    /** Any replica, with default placement. */
    RANDOM,
    /** Each replica in turn, with default placement. */
    ROUND_ROBIN,
    /** The replica with the least load in its last report, with default placement. */
    LEAST_LOAD,
    /** Default routing; replicas as in the catalogue, never moved. */
    STATIC_PLACEMENT;

    /** Returns the name as it is written on the command line. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
