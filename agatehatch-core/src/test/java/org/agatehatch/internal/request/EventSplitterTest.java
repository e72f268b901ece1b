package org.agatehatch.internal.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Guards against forwarding a partial event to a caller before the stream is resumed at another server. */
public final class EventSplitterTest {
    private static final String STREAM =
            "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid:3\ndata: c\ndata: d\n\n";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    public void events_are_split_correctly_at_every_chunk_boundary() {
        for (int cut = 0; cut <= STREAM.length(); cut++) {
            EventSplitter splitter = new EventSplitter();
            List<EventSplitter.Event> events = new ArrayList<>(splitter.add(bytes(STREAM.substring(0, cut))));
            events.addAll(splitter.add(bytes(STREAM.substring(cut))));
            assertEquals(events.stream().map(EventSplitter.Event::id).toList(), List.of("1", "2", "", "3"));
            StringBuilder joined = new StringBuilder();
            events.forEach(event -> joined.append(new String(event.bytes(), StandardCharsets.UTF_8)));
            assertEquals(joined.toString(), STREAM);
            assertFalse(splitter.holdsPartialEvent());
        }
    }

    // Guards against the head of an error's response that is relayed as an event, and against the same text in an
    // event's data that is taken for one.
    @Test
    public void a_status_line_is_noticed_at_every_chunk_boundary_and_only_at_the_start_of_a_line() {
        String sound = STREAM + "data: HTTP/1.1 500\nHTTP: HTTP/1.1\ndata\n HTTP/1.1\n\n";
        String all = sound + "HTTP/1.1 500 Failed\r\n\r\ndata: oops\n\n";
        for (int cut = 0; cut <= all.length(); cut++) {
            EventSplitter splitter = new EventSplitter();
            List<EventSplitter.Event> events = new ArrayList<>(splitter.add(bytes(all.substring(0, cut))));
            assertEquals(splitter.hasStatusLine(), cut >= sound.length() + "HTTP/1.".length());
            events.addAll(splitter.add(bytes(all.substring(cut))));
            assertTrue(splitter.hasStatusLine());
            assertEquals(events.stream().map(EventSplitter.Event::id).toList(), List.of("1", "2", "", "3", ""));
        }
    }

    @Test
    public void an_incomplete_event_is_buffered() {
        EventSplitter splitter = new EventSplitter();
        assertEquals(splitter.add(bytes("id: 1\ndata: a\n")).size(), 0);
        assertTrue(splitter.holdsPartialEvent());
    }

    @Test(expectedExceptions = IllegalStateException.class)
    public void an_event_above_the_size_limit_is_rejected() {
        EventSplitter splitter = new EventSplitter();
        byte[] chunk = bytes("x".repeat(64 * 1024));
        for (int i = 0; i < 40; i++) {
            splitter.add(chunk);
        }
    }

    // Guards against a limit that lets the incomplete events of a thousand streams fill a heap of 128 MiB.
    @Test
    public void the_incomplete_events_of_a_thousand_streams_fit_the_heap() {
        assertTrue(1_000L * EventSplitter.MAX_EVENT_BYTES < 128L * 1024 * 1024);
    }
}
