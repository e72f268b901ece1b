package org.agatehatch.internal.request;

/**
 * Finds the ends of events in the bytes of a server-sent event stream: an empty line ends an event. It also notices the head of
 * an HTTP response in place of an event, as a server may write that fails within its stream.
 */
public final class EventBoundary {
    /** No field of an event begins like this. */
    private static final String STATUS_LINE_START = "HTTP/1.";

    private boolean lineEmpty = true;
    private boolean withinEvent;
    private int statusLineBytes;
    private boolean hasStatusLine;

    /** Adds a byte and returns whether it ends an event. */
    public boolean add(byte next) {
        withinEvent = true;
        if (next == '\r') {
            return false;
        }
        if (next != '\n') {
            matchStatusLine(next);
            lineEmpty = false;
            return false;
        }
        statusLineBytes = 0;
        boolean ends = lineEmpty;
        lineEmpty = true;
        withinEvent = !ends;
        return ends;
    }

    private void matchStatusLine(byte next) {
        boolean atStart = lineEmpty || statusLineBytes > 0;
        boolean matches = atStart && next == STATUS_LINE_START.charAt(statusLineBytes);
        statusLineBytes = matches ? statusLineBytes + 1 : 0;
        if (statusLineBytes == STATUS_LINE_START.length()) {
            hasStatusLine = true;
            statusLineBytes = 0;
        }
    }

    /** Returns whether a line began like the head of an HTTP response. */
    public boolean hasStatusLine() {
        return hasStatusLine;
    }

    /** Returns whether bytes were added after the end of the last event. */
    public boolean withinEvent() {
        return withinEvent;
    }
}
