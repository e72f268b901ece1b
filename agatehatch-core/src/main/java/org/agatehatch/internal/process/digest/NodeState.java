package org.agatehatch.internal.process.digest;

/** State that a node reports in its heartbeat. */
public enum NodeState {
    /** Not serving yet. */
    STARTING,
    /** Serving. */
    READY,
    /** Shutting down gracefully; callers must not be sent to it. */
    LEAVING
}
