package org.agatehatch.gateway;

import static org.agatehatch.gateway.EndlessFixture.WHOLE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.agatehatch.gateway.EndlessServer.Response;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that a pooled connection on which bytes arrive without a request is closed. */
public final class IdleConnectionBytesTest {
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
    public Object[][] idleBytes() {
        return new Object[][] {
            {"blank lines", "\r\n"}, {"no response", "a"}, {"start of a head", "X-A: b\r\n"},
        };
    }

    // Guards against reading from an idle connection without end, since incomplete messages went unnoticed.
    @Test(dataProvider = "idleBytes")
    public void endless_bytes_after_a_response_close_the_connection(String place, String repeated) throws IOException {
        String start = place.equals("start of a head") ? "HTTP/1.1 200 OK\r\n" : "";
        fixture.script.respondWith(Response.slow(WHOLE.start() + start, repeated));
        String received = fixture.post("/once/1");
        assertTrue(received.startsWith("HTTP/1.1 200 ") && received.endsWith("\r\n\r\nok"), received);
        fixture.assertClosedEarly(1);
        assertEquals(fixture.connections(), 1);
    }

    // Guards against giving a caller the rest of a response that began before its request was sent.
    @Test
    public void a_response_that_begins_before_its_request_is_not_delivered() throws IOException {
        String early = "HTTP/1.1 200 OK\r\nX-Seal: s\r\n";
        fixture.script.respondWith(
                Response.whole(WHOLE.start() + early), Response.whole("Content-Length: 5\r\n\r\nother"));
        assertTrue(fixture.post("/once/1").endsWith("\r\n\r\nok"));
        for (int i = 0; i < 4; i++) {
            String received = fixture.post("/once/1");
            assertFalse(received.contains("other"), received);
        }
    }
}
