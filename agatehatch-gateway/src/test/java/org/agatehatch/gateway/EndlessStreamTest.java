package org.agatehatch.gateway;

import static org.agatehatch.gateway.EndlessFixture.CHUNKED;
import static org.agatehatch.gateway.EndlessFixture.HEAD;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.agatehatch.gateway.EndlessServer.Response;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks that an event stream without end is cut off and never completed. */
public final class EndlessStreamTest {
    private EndlessFixture fixture;

    @BeforeMethod
    public void start() throws IOException {
        fixture = new EndlessFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        fixture.close();
    }

    private void assertCutWithoutEnd(String target, int sends) throws IOException {
        String received = fixture.post(target);
        assertTrue(received.startsWith("HTTP/1.1 200 ") && received.contains("data: a"), received);
        assertFalse(received.endsWith("\r\n0\r\n\r\n"), "ended as complete");
        assertEquals(fixture.script.requests.get(), sends);
        fixture.assertClosedEarly(sends);
    }

    // Guards against buffering an event until the heap is exhausted.
    @Test
    public void an_endless_first_event_of_a_resumable_stream_yields_502_after_the_retries() throws IOException {
        fixture.script.respondWith(Response.fast(HEAD + "\r\ndata: ", "a"));
        fixture.assertCutOff("/resume/1", 502, 2);
    }

    // Guards against ending a stream as complete after an event that exceeds the limit.
    @Test
    public void a_resumable_stream_with_an_endless_later_event_is_cut_after_the_retries() throws IOException {
        fixture.script.respondWith(Response.fast(CHUNKED + "f\r\nid: 1\ndata: a\n\n\r\n", "8\r\naaaaaaaa\r\n"));
        assertCutWithoutEnd("/resume/1", 2);
    }

    // Guards against losing a stream that another server can continue after an endless event.
    @Test
    public void another_server_continues_a_resumable_stream_after_an_endless_event() throws IOException {
        fixture.script.respondWith(
                Response.fast(CHUNKED + "f\r\nid: 1\ndata: a\n\n\r\n", "8\r\naaaaaaaa\r\n"),
                Response.whole(CHUNKED + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"));
        String received = fixture.post("/resume/1");
        assertTrue(received.contains("id: 1\ndata: a\n\n") && received.contains("id: 2\ndata: b\n\n"), received);
        assertTrue(received.endsWith("\r\n0\r\n\r\n"), received);
        fixture.assertClosedEarly(1);
    }

    // Guards against a stream that holds the caller beyond its deadline, or is completed there.
    @Test
    public void a_slow_endless_stream_is_cut_at_the_deadline() throws IOException {
        fixture.script.respondWith(Response.slow(CHUNKED, "9\r\ndata: a\n\n\r\n"));
        assertCutWithoutEnd("/stream/1", 1);
    }

    // Guards against buffering a stream for a caller that does not read it.
    @Test
    public void a_fast_endless_stream_is_read_only_as_fast_as_the_caller_reads() throws IOException {
        fixture.script.respondWith(Response.fast(CHUNKED, "9\r\ndata: a\n\n\r\n"));
        try (RawCaller caller = new RawCaller(fixture.gateway.port)) {
            caller.send(RawCaller.request("POST", "/stream/1", "", "body"));
            caller.readUntil("data: a");
            fixture.assertClosedEarly(1);
        }
    }
}
