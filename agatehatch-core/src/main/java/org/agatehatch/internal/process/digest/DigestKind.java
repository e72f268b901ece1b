package org.agatehatch.internal.process.digest;

/** Kinds of digest entries. The ordinals are part of the protocol, so new kinds are added at the end. */
public enum DigestKind {
    /** Name, addresses and failure domain of a node; changes only with a restart. */
    NODE(600_000),
    /** Heartbeat, state and catalogue version of a node. */
    HEARTBEAT(600_000),
    /** Quantised load of a runner. */
    RUNNER_LOAD(60_000),
    /** Adapters that are resident on a runner. */
    RUNNER_ADAPTERS(600_000),
    /** Usage of an owner over all nodes. */
    OWNER_USAGE(60_000),
    /** A request that was in flight on a backend server whose process died. */
    STRIKE(60_000),
    /** A backend server that is leaving. */
    LEAVING(600_000),
    /** Account counters of a node that it has not written to the log yet. */
    ACCOUNT(600_000),
    /** Adapter loads that a node requests. */
    ADAPTER_DEMAND(60_000),
    /** What a node knows of recent crashes and of the prompt parts that may have caused them. */
    CRASH_EVIDENCE(60_000);

    private final long lifetimeMillis;

    DigestKind(long lifetimeMillis) {
        this.lifetimeMillis = lifetimeMillis;
    }

    /** Returns how long an entry is kept after it was last replaced by a newer one. */
    public long lifetimeMillis() {
        return lifetimeMillis;
    }
}
