package org.agatehatch.api.log;

/** Names of the log streams that agatehatch uses. */
public final class LogStreams {
    /** Catalogue changes, leases, placement intents, drains and strikes: all records that need a total order. */
    public static final String CONTROL = "control";
    /** Snapshots of the state derived from {@link #CONTROL}. */
    public static final String SNAPSHOTS = "snapshots";
    /** Usage counters that the nodes record per owner. */
    public static final String ACCOUNTS = "accounts";

    private static final String CLAIMS_PREFIX = "claims-";

    private LogStreams() {}

    /** Returns the name of the stream for one partition of idempotency claims. */
    public static String claims(int partition) {
        return CLAIMS_PREFIX + partition;
    }
}
