package org.agatehatch.gateway.request;

/** Tells how long this process goes on serving once it is shutting down. */
public interface ProcessLife {
    /** Returns whether new requests are refused. */
    boolean refusesRequests();

    /** Returns whether work that takes the given time from now is done before requests are ended for the exit of the process. */
    boolean outlasts(long durationMillis);
}
