package org.agatehatch.api.placement;

/** State of the replica or reservation that holds the memory of a {@link Charge}. */
public enum ChargeState {
    /** Reserved for a standby replica, which may be loaded during an outage of the log. */
    RESERVED,
    /** A load was recorded in the log; its result is not known yet. */
    LOADING,
    /** The model is resident and serves requests. */
    READY,
    /** An unload was recorded in the log; its result is not known yet. */
    UNLOADING,
    /** The outcome of an order is unknown, or a delayed order may still allocate the memory. */
    IN_DOUBT
}
