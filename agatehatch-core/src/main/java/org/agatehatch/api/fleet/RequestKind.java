package org.agatehatch.api.fleet;

/** Whether the requests on a route may be retried. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once for each attempt of the caller. */
    AT_MOST_ONCE,
    /** Answered by a stream of events. May be retried only if the route allows streams to be resumed. */
    STREAM
}
