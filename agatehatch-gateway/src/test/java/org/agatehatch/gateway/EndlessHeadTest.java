package org.agatehatch.gateway;

import static org.agatehatch.gateway.EndlessFixture.CHUNKED;
import static org.agatehatch.gateway.EndlessFixture.HEAD;
import static org.agatehatch.gateway.EndlessFixture.WHOLE;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.agatehatch.gateway.EndlessServer.Response;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that bytes without end that carry no body, before or within a response, are cut off. */
public final class EndlessHeadTest {
    private static final String OTHER = "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\n";

    private EndlessFixture fixture;

    @BeforeMethod
    public void start() throws IOException {
        fixture = new EndlessFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        fixture.close();
    }

    @DataProvider
    public Object[][] fastBytes() {
        String extension = "1;" + "e".repeat(3_000) + "\r\na\r\n";
        return new Object[][] {
            {"no head", Response.fast("", "\0\1\2\3")},
            {"blank lines", Response.fast("\r\n", "\r\n")},
            {"blank lines in small segments", new Response("\r\n", "\r\n".repeat(1_000), 1)},
            {"status line", Response.fast("HTTP/1.1 200 ", "O")},
            {"header block", Response.fast(HEAD, "X-A: b\r\n")},
            {"header line", Response.fast(HEAD + "X-A: ", "b")},
            {"interim responses", Response.fast("", "HTTP/1.1 100 Continue\r\n\r\n")},
            {"processing responses", Response.fast("", "HTTP/1.1 102 Processing\r\nX-Id: 7\r\n\r\n")},
            {"protocol switch", Response.fast("HTTP/1.1 101 No\r\nUpgrade: x\r\n\r\n", "a")},
            {"responses to other attempts", Response.fast("", OTHER + "Content-Length: 5\r\n\r\nother")},
            {"body for another attempt", Response.fast(OTHER + "\r\n", "a")},
            {"chunks for another attempt", Response.fast(OTHER + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n")},
            {"trailers", Response.fast(CHUNKED + "1\r\na\r\n0\r\n", "X-A: b\r\n")},
            {"chunk extension", Response.fast(CHUNKED + "1;", "e")},
            {"chunk extensions", Response.fast(CHUNKED, extension)},
        };
    }

    // Guards against reading until the deadline, with 504, what can no longer become a response.
    @Test(dataProvider = "fastBytes")
    public void endless_bytes_without_a_body_yield_502(String place, Response response) throws IOException {
        fixture.script.respondWith(response);
        fixture.assertCutOff("/once/1", 502, 1);
    }

    // Guards against forwarding a stream whose chunk framing outweighs its content without limit.
    @Test
    public void a_stream_with_endless_chunk_extensions_is_cut() throws IOException {
        fixture.script.respondWith(Response.fast(CHUNKED, "1;" + "e".repeat(3_000) + "\r\na\r\n"));
        String received = fixture.post("/stream/1");
        assertTrue(received.startsWith("HTTP/1.1 200 "), received);
        assertFalse(received.endsWith("\r\n0\r\n\r\n"), received);
        fixture.assertClosedEarly(1);
        assertTrue(received.length() < 100_000, "received " + received.length());
    }

    // Guards against a limit that refuses the smallest chunks, which have the most framing for their content.
    @Test
    public void a_body_in_chunks_of_one_byte_is_delivered_whole() throws IOException {
        fixture.script.respondWith(Response.whole(CHUNKED + "1\r\na\r\n".repeat(150_000) + "0\r\n\r\n"));
        String received = fixture.post("/once/1");
        assertTrue(received.startsWith("HTTP/1.1 200 "), received);
        assertTrue(received.endsWith("\r\n\r\n" + "a".repeat(150_000)), "received " + received.length());
    }

    // Guards against a limit that refuses a response after a few interim and late ones.
    @Test
    public void a_response_after_interim_and_late_ones_is_delivered() throws IOException {
        String late = OTHER + "Content-Length: 5\r\n\r\nother";
        String interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(20);
        fixture.script.respondWith(Response.whole("\r\n" + interim + late + WHOLE.start()));
        String received = fixture.post("/once/1");
        assertTrue(received.startsWith("HTTP/1.1 200 ") && received.endsWith("\r\n\r\nok"), received);
    }

    // Guards against waiting for the body that the head of a response to HEAD announces.
    @Test
    public void a_response_to_head_has_no_body_and_its_connection_is_reused() throws IOException {
        fixture.script.respondWith(Response.whole(HEAD + "Content-Length: 9000000000\r\n\r\n"));
        for (int i = 0; i < 4; i++) {
            try (RawCaller caller = new RawCaller(fixture.gateway.port)) {
                caller.send(RawCaller.request("HEAD", "/once/1", "Connection: close\r\n", ""));
                String received = caller.readAll();
                assertTrue(received.startsWith("HTTP/1.1 200 "), received);
            }
        }
        assertTrue(fixture.connections() <= 2, "connections: " + fixture.connections());
    }

    @DataProvider
    public Object[][] slowBytes() {
        return new Object[][] {
            {"blank lines", Response.slow("\r\n", "\r\n")},
            {"status line", Response.slow("HTTP/1.1 200 ", "O")},
            {"header block", Response.slow(HEAD, "X-A: b\r\n")},
            {"interim responses", Response.slow("", "HTTP/1.1 100 Continue\r\n\r\n")},
            {"responses to other attempts", Response.slow("", OTHER + "Content-Length: 5\r\n\r\nother")},
            {"chunk extension", Response.slow(CHUNKED + "1;", "e")},
            {"trailers", Response.slow(CHUNKED + "1\r\na\r\n0\r\n", "X-A: b\r\n")},
        };
    }

    // Guards against a timer that each received byte restarts, so that the caller waits beyond its deadline.
    @Test(dataProvider = "slowBytes")
    public void slow_endless_bytes_without_a_body_end_at_the_deadline_with_504(String place, Response response)
            throws IOException {
        fixture.script.respondWith(response);
        fixture.assertCutOff("/once/1", 504, 1);
    }
}
