package org.agatehatch.internal.request;

/** How an attempt at a backend server ended. */
public enum AttemptEnd {
    /** No connection could be opened, so nothing was sent. */
    NOT_CONNECTED(false),
    /** The server said in the meantime that it takes no requests from this node, so nothing was sent. */
    WITHDRAWN(false),
    /** The server explicitly rejected the request without running it. */
    REFUSED(false),
    /** The address now belongs to another server, or the server does not hold the model. The request did not run. */
    MISDIRECTED(false),
    /** The connection broke, or the data received was not a response to this request. The request may have run. */
    BROKEN(true),
    /** The server returned a server error. The request ran. */
    SERVER_ERROR(true),
    /** The complete response arrived. */
    ANSWERED(true),
    /** The attempt ended because another one delivers the response. The request may have run. */
    SILENT(true);

    private final boolean mayHaveRun;

    AttemptEnd(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Returns whether the server may have run the request or may still run it. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
