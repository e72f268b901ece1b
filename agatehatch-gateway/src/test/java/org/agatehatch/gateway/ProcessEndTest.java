package org.agatehatch.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.agatehatch.gateway.ScriptedServer.AfterResponse;
import org.agatehatch.gateway.ScriptedServer.ScriptedResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests that the exit of the process cuts without an answer, and against runs that nobody learns of. */
public final class ProcessEndTest {
    private static final String EMPTY = "Content-Length: 0\r\n\r\n";
    private static final String CLOSED =
            "HTTP/1.1 503 Busy\r\nX-Id: ID\r\nX-Not-Run: 1\r\nX-Closed-Ms: 300\r\n" + EMPTY;
    private static final String WHOLE = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\n" + EMPTY;
    private static final ScriptedResponse SILENCE = new ScriptedResponse("", AfterResponse.SILENCE);

    private ScriptedServer.Script script;
    private ScriptedServer server;
    private TestGateway gateway;

    @BeforeMethod
    public void start() throws IOException {
        script = new ScriptedServer.Script();
        server = new ScriptedServer(script);
        gateway = new TestGateway(server).configured();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        gateway.close();
        server.close();
    }

    private void respondWith(String... responses) {
        ScriptedResponse[] scripted = new ScriptedResponse[responses.length];
        for (int i = 0; i < responses.length; i++) {
            scripted[i] = new ScriptedResponse(responses[i], AfterResponse.KEEP);
        }
        script.respondWith(scripted);
    }

    private static RawCaller send(TestGateway gateway, String route, String headers) throws IOException {
        RawCaller caller = new RawCaller(gateway.port);
        caller.send(RawCaller.request("POST", "/" + route + "/1", headers + "Connection: close\r\n", "body"));
        return caller;
    }

    @DataProvider
    public Object[][] patientRoutes() {
        return new Object[][] {{"patient"}, {"patient-once"}, {"patient-stream"}, {"patient-resume"}};
    }

    // Guards against a request that waited for a server and is sent so late that the exit of the process cuts it.
    @Test(dataProvider = "patientRoutes")
    public void a_request_that_waits_is_refused_as_not_run_if_its_time_exceeds_that_of_the_process(String route)
            throws IOException {
        respondWith("PAUSE" + CLOSED, WHOLE);
        try (RawCaller caller = send(gateway, route, "")) {
            Waiting.until("the request", () -> script.requests.size() == 1);
            gateway.lifeMillis = 0;
            script.resume();
            String response = caller.readAll();
            assertTrue(response.startsWith("HTTP/1.1 503 "), response);
            assertEquals(script.requests.size(), 1);
        }
    }

    // Guards against refusing what the process still has time for.
    @Test
    public void a_request_whose_deadline_comes_before_the_end_of_the_process_is_still_sent() throws IOException {
        respondWith(CLOSED, WHOLE);
        gateway.lifeMillis = 120_000;
        try (RawCaller caller = send(gateway, "patient-once", "")) {
            assertTrue(caller.readAll().startsWith("HTTP/1.1 200 "));
            assertEquals(script.requests.size(), 2);
        }
    }

    // Guards against a connection that closes without an answer to a request that a server may be running.
    @Test(dataProvider = "patientRoutes")
    public void a_request_at_a_server_is_answered_as_timed_out_before_the_process_ends(String route)
            throws IOException {
        script.respondWith(SILENCE);
        try (RawCaller caller = send(gateway, route, "")) {
            Waiting.until("the request", () -> script.requests.size() == 1);
            gateway.endInFlight();
            String response = caller.readAll();
            assertTrue(response.startsWith("HTTP/1.1 504 "), response);
            Waiting.until("the close of the attempt", () -> server.closedByPeer.get() == 1);
        }
    }

    // Guards against an answer that leaves open whether a request has run that was never sent.
    @Test(dataProvider = "patientRoutes")
    public void a_request_that_waits_for_a_server_is_answered_as_not_run_before_the_process_ends(String route)
            throws IOException {
        gateway.keepsRequestsWaiting = true;
        try (RawCaller caller = send(gateway, route, "X-Model: m\r\nX-Parts: p:10\r\n")) {
            Waiting.until("the request for the model", () -> gateway.residencyRequests == 1);
            gateway.endInFlight();
            String response = caller.readAll();
            assertTrue(response.startsWith("HTTP/1.1 503 "), response);
            assertEquals(script.requests.size(), 0);
        }
    }

    // Guards against cutting a stream that may still be completed before the process ends.
    @Test
    public void a_response_that_has_begun_is_not_cut_before_the_process_ends() throws IOException {
        String head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n"
                + "Content-Type: text/event-stream\r\n\r\n";
        respondWith(head + "f\r\nid: 1\ndata: a\n\n\r\nPAUSEf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
        try (RawCaller caller = send(gateway, "stream", "")) {
            caller.readUntil("data: a");
            gateway.endInFlight();
            script.resume();
            String rest = caller.readAll();
            assertTrue(rest.contains("data: b") && rest.endsWith("0\r\n\r\n"), rest);
        }
    }
}
