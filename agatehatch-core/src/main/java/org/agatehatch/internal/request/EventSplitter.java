package org.agatehatch.internal.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the bytes of a server-sent event stream into complete events, so that a stream that breaks within an event can
 * be resumed after the last complete event.
 */
public final class EventSplitter {
    /** Events carry a few tokens. A node relays many streams, and each may hold an incomplete event. */
    static final int MAX_EVENT_BYTES = 64 * 1024;

    private static final String ID_FIELD = "id:";
    private static final String DATA_FIELD = "data";

    /**
     * A complete event.
     *
     * @param id empty if the event has none
     * @param hasData whether the event reaches the caller's program, unlike one of comments only
     * @param bytes the event, including the empty line that terminates it
     */
    public record Event(String id, boolean hasData, byte[] bytes) {}

    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private final EventBoundary boundary = new EventBoundary();

    /**
     * Adds bytes and returns the events that they complete. Nothing after the beginning of a status line counts as an event.
     *
     * @throws IllegalStateException if an incomplete event exceeds {@link #MAX_EVENT_BYTES}
     */
    public List<Event> add(byte[] bytes) {
        List<Event> complete = new ArrayList<>();
        for (byte b : bytes) {
            partial.write(b);
            if (boundary.add(b) && !boundary.hasStatusLine()) {
                complete.add(takeEvent());
            }
        }
        if (partial.size() > MAX_EVENT_BYTES) {
            throw new IllegalStateException(
                    "event stream: incomplete event exceeds the limit of " + MAX_EVENT_BYTES + " bytes");
        }
        return complete;
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    public boolean holdsPartialEvent() {
        return partial.size() > 0;
    }

    /** Returns whether a line began like the head of an HTTP response. */
    public boolean hasStatusLine() {
        return boundary.hasStatusLine();
    }

    private Event takeEvent() {
        byte[] bytes = partial.toByteArray();
        partial.reset();
        String id = "";
        boolean hasData = false;
        for (String line : new String(bytes, StandardCharsets.UTF_8).split("\r?\n")) {
            if (line.startsWith(ID_FIELD)) {
                id = line.substring(ID_FIELD.length()).strip();
            }
            hasData |= line.startsWith(DATA_FIELD);
        }
        return new Event(id, hasData, bytes);
    }
}
