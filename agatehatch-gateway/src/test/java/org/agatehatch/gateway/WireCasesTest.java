package org.agatehatch.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Locale;
import org.agatehatch.gateway.ScriptedServer.AfterResponse;
import org.agatehatch.gateway.ScriptedServer.ScriptedResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks what callers and backend servers see on their sockets, for complete responses and for each way they can break. */
public final class WireCasesTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\n";
    private static final String WHOLE = HEAD + "Content-Length: 2\r\n\r\nok";
    private static final String NOT_RUN = "HTTP/1.1 503 No\r\nX-Id: ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String FAILED = "HTTP/1.1 500 No\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nbad";
    private static final String EVENTS = HEAD + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String FIRST = "f\r\nid: 1\ndata: a\n\n\r\n";
    private static final String SECOND = "f\r\nid: 2\ndata: b\n\n\r\n";
    private static final String END = "0\r\n\r\n";

    private ScriptedServer.Script script;
    private ScriptedServer one;
    private ScriptedServer two;
    private TestGateway gateway;

    @BeforeMethod
    public void start() throws IOException {
        script = new ScriptedServer.Script();
        one = new ScriptedServer(script);
        two = new ScriptedServer(script);
        gateway = new TestGateway(one, two).configured();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        gateway.close();
        one.close();
        two.close();
    }

    private int sends() {
        return script.requests.size();
    }

    private String post(String target) throws IOException {
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("POST", target, "Connection: close\r\n", "body"));
            return caller.readAll();
        }
    }

    @DataProvider
    public Object[][] serverResponses() {
        String unframed = HEAD + "\r\nok";
        String cut = HEAD + "Content-Length: 9\r\n\r\nok";
        String otherAttempt = "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nother";
        String unsealed = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 2\r\n\r\nok";
        return new Object[][] {
            // target, first response, what the server does afterwards, status at the caller, sends
            {"/once/1", WHOLE, AfterResponse.KEEP, 200, 1},
            {"/once/1", unframed, AfterResponse.CLOSE, 200, 1},
            {"/once/1", unframed, AfterResponse.RESET, 502, 1},
            {"/once/1", cut, AfterResponse.CLOSE, 502, 1},
            {"/once/1", unsealed, AfterResponse.KEEP, 502, 1},
            {"/once/1", "garbage\r\n\r\n", AfterResponse.KEEP, 502, 1},
            {"/once/1", "", AfterResponse.RESET, 502, 1},
            {"/once/1", "", AfterResponse.SILENCE, 504, 1},
            {"/once/1", otherAttempt + WHOLE, AfterResponse.KEEP, 200, 1},
            {"/once/1", FAILED, AfterResponse.KEEP, 500, 1},
            {"/once/1", NOT_RUN, AfterResponse.KEEP, 503, 2},
            {"/once/1", "HTTP/1.1 100 Continue\r\n\r\n" + WHOLE, AfterResponse.KEEP, 200, 1},
            {"/safe/1", cut, AfterResponse.CLOSE, 502, 2},
            {"/safe/1", FAILED, AfterResponse.KEEP, 500, 2},
            {"/safe/1", "", AfterResponse.SILENCE, 504, 2},
            {"/stream/1", "", AfterResponse.RESET, 502, 1},
            {"/resume/1", "", AfterResponse.RESET, 502, 2},
        };
    }

    @Test(dataProvider = "serverResponses")
    public void each_server_response_yields_the_expected_status_and_number_of_sends(
            String target, String bytes, AfterResponse then, int status, int sends) throws IOException {
        script.respondWith(new ScriptedResponse(bytes, then));
        String response = post(target);
        assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
        assertEquals(sends(), sends);
        if (status == 200) {
            assertTrue(response.endsWith("\r\n\r\nok"), response);
            assertEquals(ScriptedServer.header(response, "x-seal"), "s");
        }
    }

    @DataProvider
    public Object[][] streamsThatEndWithTheirConnection() {
        String first = "id: 1\ndata: a\n\n";
        return new Object[][] {
            // target, events before the connection ends, whether the answer is complete
            {"/stream/1", first, true},
            {"/stream/1", first + "id: 2\nda", false},
            {"/stream/1", "", false},
            {"/resume/1", first, true},
            {"/resume/1", first + "id: 2\nda", false},
            {"/resume/1", "", false},
        };
    }

    // Guards against a stream that a crash broke off and that looks complete to the caller.
    @Test(dataProvider = "streamsThatEndWithTheirConnection")
    public void a_stream_without_length_or_chunks_is_complete_only_after_a_whole_event(
            String target, String events, boolean complete) throws IOException {
        String head = HEAD + "Content-Type: text/event-stream\r\n\r\n";
        script.respondWith(new ScriptedResponse(head + events, AfterResponse.CLOSE));
        String response = post(target);
        assertEquals(response.startsWith("HTTP/1.1 200 ") && response.endsWith("0\r\n\r\n"), complete, response);
        if (events.isEmpty()) {
            assertTrue(response.startsWith("HTTP/1.1 502 "), response);
        }
    }

    @Test
    public void a_refused_request_is_sent_to_another_server() throws IOException {
        script.respondWith(
                new ScriptedResponse(NOT_RUN, AfterResponse.KEEP), new ScriptedResponse(WHOLE, AfterResponse.KEEP));
        assertTrue(post("/once/1").startsWith("HTTP/1.1 200"));
        assertEquals(one.connections.get(), 1);
        assertEquals(two.connections.get(), 1);
    }

    @Test
    public void the_request_is_forwarded_unchanged_except_for_connection_and_system_headers() throws IOException {
        script.respondWith(new ScriptedResponse(WHOLE, AfterResponse.KEEP));
        try (RawCaller caller = new RawCaller(gateway.port)) {
            String headers =
                    "X-Own: a\r\nX-Only-System: forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Deadline: 900\r\n";
            caller.send(RawCaller.request("PUT", "/once/a%20b//c?q=%2F;x", headers, "a\r\n\r\nGET /once/2 HTTP/1.1"));
            caller.readUntil("ok");
        }
        assertEquals(sends(), 1);
        String received = script.requests.get(0);
        assertTrue(received.startsWith("PUT /once/a%20b//c?q=%2F;x HTTP/1.1\r\n"), received);
        assertTrue(received.endsWith("\r\n\r\na\r\n\r\nGET /once/2 HTTP/1.1"), received);
        assertEquals(ScriptedServer.header(received, "x-own"), "a");
        assertEquals(ScriptedServer.header(received, "x-only-system"), "");
        assertEquals(ScriptedServer.header(received, "x-hop"), "");
        long left = Long.parseLong(ScriptedServer.header(received, "x-deadline"));
        assertTrue(left > 0 && left <= 900, "deadline passed on: " + left);
    }

    @DataProvider
    public Object[][] malformedRequests() {
        String host = "Host: " + TestGateway.HOST + "\r\nX-Id: 7\r\n";
        return new Object[][] {
            {"POST /once/1 HTTP/1.1\r\n" + host + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody", 400},
            {
                "POST /once/1 HTTP/1.1\r\n" + host + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                400
            },
            {"POST /once/1 HTTP/1.1\r\n" + host + "Host: other\r\n\r\n", 400},
            {"POST once HTTP/1.1\r\n" + host + "\r\n", 400},
            {"POST /once/1 HTTP/1.1\r\n" + host + "X-Long: " + "a".repeat(6_000) + "\r\n\r\n", 431},
            {"POST /once/1 HTTP/1.1\r\n" + host + "Content-Length: 200000\r\n\r\n", 413},
            {"POST /nowhere/1 HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n", 404},
        };
    }

    @Test(dataProvider = "malformedRequests")
    public void a_malformed_oversized_or_unroutable_request_reaches_no_server(String bytes, int status)
            throws IOException {
        script.respondWith(new ScriptedResponse(WHOLE, AfterResponse.KEEP));
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(bytes);
            String response = caller.readAll();
            assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
        }
        assertEquals(sends(), 0);
    }

    @Test
    public void pipelined_requests_are_answered_in_order() throws IOException {
        script.respondWith(new ScriptedResponse(HEAD + "Content-Length: 2\r\n\r\nok", AfterResponse.KEEP));
        try (RawCaller caller = new RawCaller(gateway.port)) {
            String first = RawCaller.request("GET", "/once/1", "", "");
            caller.send(first + RawCaller.request("GET", "/nowhere/2", "", "") + first);
            caller.readUntil("ok");
            caller.readUntil("404");
            caller.readUntil("ok");
        }
    }

    @Test
    public void a_chunked_request_body_is_forwarded_whole() throws IOException {
        script.respondWith(new ScriptedResponse(WHOLE, AfterResponse.KEEP));
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send("POST /once/1 HTTP/1.1\r\nHost: " + TestGateway.HOST
                    + "\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
            caller.readUntil("ok");
        }
        String received = script.requests.get(0);
        assertTrue(received.endsWith("\r\n\r\nabcde"), received);
    }

    @Test
    public void a_stream_is_forwarded_as_it_arrives() throws IOException {
        script.respondWith(new ScriptedResponse(EVENTS + FIRST, AfterResponse.SILENCE));
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("POST", "/stream/1", "", "body"));
            assertTrue(caller.readUntil("data: a\n\n").startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    public void a_truncated_stream_is_not_ended_with_a_final_chunk() throws IOException {
        script.respondWith(new ScriptedResponse(EVENTS + FIRST, AfterResponse.RESET));
        String response = post("/stream/1");
        assertTrue(response.contains("data: a"), response);
        assertFalse(response.contains("\r\n0\r\n"), response);
        assertEquals(sends(), 1);
    }

    @Test
    public void a_resumable_stream_continues_after_its_last_whole_event() throws IOException {
        ScriptedResponse cut = new ScriptedResponse(EVENTS + FIRST + "9\r\nid: 2\ndat\r\n", AfterResponse.RESET);
        script.respondWith(cut, new ScriptedResponse(EVENTS + SECOND + END, AfterResponse.KEEP));
        String response = post("/resume/1");
        assertEquals(ScriptedServer.header(script.requests.get(1), "last-event-id"), "1");
        assertEquals(response.split("data: a", -1).length, 2, response);
        assertEquals(response.split("data: b", -1).length, 2, response);
        assertTrue(response.endsWith("0\r\n\r\n"), response);
    }

    @Test
    public void a_caller_disconnect_closes_the_connection_to_the_server() throws IOException {
        script.respondWith(new ScriptedResponse("", AfterResponse.SILENCE));
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("POST", "/once/1", "", "body"));
            Waiting.until("the request", () -> sends() == 1);
        }
        Waiting.until("the close", () -> one.closedByPeer.get() + two.closedByPeer.get() == 1);
    }

    @Test
    public void a_connection_with_bytes_after_the_response_is_not_reused() throws IOException {
        script.respondWith(
                new ScriptedResponse(WHOLE + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", AfterResponse.KEEP));
        post("/once/1");
        Waiting.until("the close", () -> one.closedByPeer.get() + two.closedByPeer.get() == 1);
    }

    @Test
    public void a_connection_is_reused_after_a_complete_response() throws IOException {
        script.respondWith(new ScriptedResponse(WHOLE, AfterResponse.KEEP));
        for (int i = 0; i < 8; i++) {
            post("/once/1");
        }
        assertTrue(one.connections.get() + two.connections.get() <= 2);
    }

    // Guards against refusing a route for good that was added while this node heard nothing of the configuration.
    @Test
    public void a_route_that_an_old_configuration_lacks_is_refused_with_a_time_to_return() throws IOException {
        gateway.viewIsRecent = false;
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("GET", "/nowhere/1", "", ""));
            String response = caller.readUntil("\r\n\r\n");
            assertTrue(response.startsWith("HTTP/1.1 503 "), response);
            assertTrue(response.toLowerCase(Locale.ROOT).contains("retry-after: "), response);
        }
    }

    @Test
    public void a_node_without_a_configuration_answers_503_and_not_404() throws IOException {
        try (TestGateway fresh = new TestGateway(one);
                RawCaller caller = new RawCaller(fresh.port)) {
            caller.send(RawCaller.request("GET", "/once/1", "Connection: close\r\n", ""));
            String response = caller.readAll();
            assertTrue(response.startsWith("HTTP/1.1 503 "), response);
            assertFalse(ScriptedServer.header(response, "retry-after").isEmpty());
        }
    }

    @Test
    public void a_leaving_node_closes_connections_after_its_responses() throws IOException {
        script.respondWith(new ScriptedResponse(WHOLE, AfterResponse.KEEP));
        try (RawCaller caller = new RawCaller(gateway.port)) {
            gateway.leaving = true;
            caller.send(RawCaller.request("GET", "/once/1", "", ""));
            String response = caller.readAll();
            assertEquals(ScriptedServer.header(response, "connection"), "close");
            assertTrue(response.endsWith("ok"), response);
        }
    }

    @Test
    public void an_idle_connection_and_an_unfinished_request_head_time_out() throws IOException {
        try (RawCaller idle = new RawCaller(gateway.port);
                RawCaller slow = new RawCaller(gateway.port)) {
            slow.send("POST /once/1 HTTP/1.1\r\nHost:");
            assertEquals(slow.readAll(), "");
            assertEquals(idle.readAll(), "");
        }
    }
}
