package org.agatehatch.internal.request;

/** Finds the ends of events in the bytes of a server-sent event stream: an empty line ends an event. */
public final class EventBoundary {
    private boolean lineEmpty = true;
    private boolean withinEvent;

    /** Adds a byte and returns whether it ends an event. */
    public boolean add(byte next) {
        withinEvent = true;
        if (next == '\r') {
            return false;
        }
        if (next != '\n') {
            lineEmpty = false;
            return false;
        }
        boolean ends = lineEmpty;
        lineEmpty = true;
        withinEvent = !ends;
        return ends;
    }

    /** Returns whether bytes were added after the end of the last event. */
    public boolean withinEvent() {
        return withinEvent;
    }
}
