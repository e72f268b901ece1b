package org.agatehatch.api.errors;

/** Whether a request ran on a backend server, as far as it is known. */
public enum Outcome {
    /** The request did not run and will not run. This is final. */
    NOT_RUN("not_run"),
    /** A backend server answered the request. */
    RAN("ran"),
    /** The request was sent to a backend server, but its answer is not known. */
    UNKNOWN("unknown");

    /** HTTP response header that carries the outcome. */
    public static final String HEADER = "Agatehatch-Outcome";

    private final String wireName;

    Outcome(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name used in headers and JSON bodies. */
    public String wireName() {
        return wireName;
    }
}
