package org.agatehatch.gateway;

import static org.agatehatch.gateway.EndlessFixture.WHOLE;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.agatehatch.gateway.EndlessServer.Response;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that a declaration that a request did not run takes effect before the end of its response. */
public final class EndlessRefusalTest {
    private static final String NOT_RUN = "HTTP/1.1 503 No\r\nX-Id: ID\r\nX-Not-Run: 1\r\n";
    private static final String MISDIRECTED = "HTTP/1.1 421 No\r\nX-Id: ID\r\n";

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
    public Object[][] refusals() {
        String chunked = "Transfer-Encoding: chunked\r\n\r\n";
        String chunk = "4\r\nfull\r\n";
        return new Object[][] {
            {Response.fast(NOT_RUN + "\r\n", "a")},
            {Response.fast(NOT_RUN + chunked, chunk)},
            {Response.fast(NOT_RUN + "Content-Length: 9000000000\r\n\r\n", "a")},
            {Response.slow(NOT_RUN + chunked, chunk)},
            {Response.fast(MISDIRECTED + chunked, chunk)},
            {Response.slow(MISDIRECTED + chunked, chunk)},
        };
    }

    // Guards against 504 for a request that provably did not run.
    @Test(dataProvider = "refusals")
    public void a_refusal_with_an_endless_body_is_retried_at_another_server(Response refusal) throws IOException {
        fixture.script.respondWith(refusal, WHOLE);
        String received = fixture.post("/once/1");
        assertTrue(received.startsWith("HTTP/1.1 200 "), received);
        fixture.assertClosedEarly(1);
    }

    // Guards against 502 and 504 for a request that no server ran.
    @Test(dataProvider = "refusals")
    public void refusals_with_endless_bodies_at_all_servers_yield_503(Response refusal) throws IOException {
        fixture.script.respondWith(refusal);
        String received = fixture.post("/once/1");
        assertTrue(received.startsWith("HTTP/1.1 503 "), received);
        fixture.assertClosedEarly(fixture.script.requests.get());
    }

    // Guards against a new connection for each refusal whose body arrives after its head.
    @Test
    public void a_connection_is_reused_after_the_body_of_a_refusal() throws IOException {
        fixture.script.respondWith(Response.whole(NOT_RUN + "Content-Length: 4\r\n\r\nfull"));
        for (int i = 0; i < 4; i++) {
            fixture.post("/once/1");
        }
        assertTrue(fixture.script.requests.get() > 2, "sends: " + fixture.script.requests.get());
        assertTrue(fixture.connections() <= 2, "connections: " + fixture.connections());
    }
}
