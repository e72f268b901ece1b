package org.agatehatch.gateway;

import static org.agatehatch.gateway.EndlessFixture.CHUNKED;
import static org.agatehatch.gateway.EndlessFixture.HEAD;
import static org.agatehatch.gateway.EndlessFixture.WHOLE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.agatehatch.gateway.EndlessServer.Response;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that a response body without end is cut off, and what the caller gets. */
public final class EndlessBodyTest {
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
    public Object[][] bodies() {
        String text = "a".repeat(64);
        return new Object[][] {
            {Response.fast(HEAD + "\r\n", text)},
            {Response.fast(CHUNKED, "40\r\n" + text + "\r\n")},
            {Response.fast(HEAD + "Content-Length: 9000000000\r\n\r\n", text)},
            {Response.fast(CHUNKED.replace("200 OK", "500 No"), "40\r\n" + text + "\r\n")},
        };
    }

    // Guards against buffering a plain response until the heap is exhausted.
    @Test(dataProvider = "bodies")
    public void an_endless_plain_body_of_a_request_that_may_have_run_yields_502(Response response) throws IOException {
        fixture.script.respondWith(response);
        fixture.assertCutOff("/once/1", 502, 1);
    }

    // Guards against answering a repeatable request with a failure although another server can answer it.
    @Test(dataProvider = "bodies")
    public void a_repeatable_request_goes_to_another_server_after_an_endless_plain_body(Response response)
            throws IOException {
        fixture.script.respondWith(response, WHOLE);
        String received = fixture.post("/safe/1");
        assertTrue(received.startsWith("HTTP/1.1 200 ") && received.endsWith("\r\n\r\nok"), received);
        assertEquals(fixture.connections(), 2);
        fixture.assertClosedEarly(1);
    }

    // Guards against retries of an endless response that have no end themselves.
    @Test
    public void a_repeatable_request_with_endless_bodies_everywhere_yields_502() throws IOException {
        fixture.script.respondWith(Response.fast(HEAD + "\r\n", "a"));
        fixture.assertCutOff("/safe/1", 502, 2);
    }

    // Guards against a limit that refuses responses of a proper size.
    @Test
    public void a_body_of_100_kib_is_delivered_whole() throws IOException {
        String body = "b".repeat(100 * 1024);
        fixture.script.respondWith(Response.whole(HEAD + "Content-Length: " + body.length() + "\r\n\r\n" + body));
        String received = fixture.post("/once/1");
        assertTrue(received.startsWith("HTTP/1.1 200 ") && received.endsWith("\r\n\r\n" + body), received);
    }

    // Guards against a response that stays below the size limit and holds the caller beyond its deadline.
    @Test
    public void a_slow_endless_body_ends_at_the_deadline_with_504() throws IOException {
        fixture.script.respondWith(Response.slow(CHUNKED, "1\r\na\r\n"));
        fixture.assertCutOff("/once/1", 504, 1);
    }
}
