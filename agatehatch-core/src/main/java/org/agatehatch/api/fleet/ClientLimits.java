package org.agatehatch.api.fleet;

/** Limits on the size of a caller's request, the time to receive its header and the idle time of its connection. */
public record ClientLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits that apply until the first configuration is received. */
    public static final ClientLimits INITIAL = new ClientLimits(16_384, 4_194_304, 3_000, 15_000);
}
