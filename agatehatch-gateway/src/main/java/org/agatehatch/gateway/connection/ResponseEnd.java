package org.agatehatch.gateway.connection;

/** What ended a response. */
public enum ResponseEnd {
    /** The response's own framing: a length, a final chunk, or a status or method without a body. */
    FRAMING,
    /** An orderly close of the connection, for a response without a length and without chunks. */
    CONNECTION_CLOSE
}
