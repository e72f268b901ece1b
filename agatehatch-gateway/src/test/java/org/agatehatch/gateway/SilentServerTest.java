package org.agatehatch.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.agatehatch.gateway.ScriptedServer.AfterResponse;
import org.agatehatch.gateway.ScriptedServer.ScriptedResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks what callers get from a server that pauses for longer than an attempt may be silent, and then goes on. */
public final class SilentServerTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\n";
    private static final String EVENTS = HEAD + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String FIRST = "f\r\nid: 1\ndata: a\n\n\r\n";
    private static final String SECOND = "f\r\nid: 2\ndata: b\n\n\r\n";
    private static final String END = "0\r\n\r\n";
    private static final String PAUSE = "PAUSE";
    private static final String NOT_RUN = "HTTP/1.1 503 No\r\nX-Id: ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String FAILED = "HTTP/1.1 500 No\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nbad";
    private static final String SILENT_ATTEMPTS = "agatehatch_silent_attempts_total";

    private ScriptedServer.Script script;
    private ScriptedServer one;
    private ScriptedServer two;

    @BeforeMethod
    public void start() throws IOException {
        script = new ScriptedServer.Script();
        one = new ScriptedServer(script);
        two = new ScriptedServer(script);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        one.close();
        two.close();
    }

    // Guards against an answer that is cut during a pause of its server, although no other server can continue it.
    @Test
    public void a_stream_that_pauses_is_completed_if_no_other_server_can_continue_it() throws IOException {
        script.respondWith(new ScriptedResponse(EVENTS + FIRST + PAUSE + SECOND + END, AfterResponse.KEEP));
        try (TestGateway gateway = new TestGateway(one).configured();
                RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("POST", "/resume/1", "Connection: close\r\n", "body"));
            caller.readUntil("data: a");
            await("the silence", () -> gateway.count(SILENT_ATTEMPTS) > 0);
            script.resume();
            assertWholeStream(caller.readAll());
        }
        assertEquals(script.requests.size(), 1);
    }

    // Guards against an answer that is cut because the server that should have continued it refused.
    @Test
    public void a_stream_that_pauses_is_completed_if_the_other_server_refuses() throws IOException {
        script.respondWith(
                new ScriptedResponse(EVENTS + FIRST + PAUSE + SECOND + END, AfterResponse.KEEP),
                new ScriptedResponse(NOT_RUN, AfterResponse.KEEP));
        try (TestGateway gateway = new TestGateway(one, two).configured();
                RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("POST", "/resume/1", "Connection: close\r\n", "body"));
            caller.readUntil("data: a");
            await("the refusal", () -> script.requests.size() == 2 && gateway.attemptsInFlight() == 1);
            script.resume();
            assertWholeStream(caller.readAll());
        }
    }

    // Guards against a stream that stays with a silent server although another one can continue it.
    @Test
    public void a_silent_stream_is_continued_by_another_server_after_its_last_event() throws IOException {
        script.respondWith(
                new ScriptedResponse(EVENTS + FIRST + PAUSE, AfterResponse.KEEP),
                new ScriptedResponse(EVENTS + SECOND + END, AfterResponse.KEEP));
        try (TestGateway gateway = new TestGateway(one, two).configured();
                RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("POST", "/resume/1", "Connection: close\r\n", "body"));
            assertWholeStream(caller.readAll());
            script.resume();
            await("the close at the silent server", () -> one.closedByPeer.get() + two.closedByPeer.get() > 0);
        }
        assertEquals(ScriptedServer.header(script.requests.get(1), "last-event-id"), "1");
    }

    // Guards against two servers that both write to one answer, and against work that goes on for nobody.
    @Test
    public void the_second_server_is_withdrawn_when_the_silent_one_goes_on_first() throws IOException {
        script.respondWith(
                new ScriptedResponse(EVENTS + FIRST + PAUSE + SECOND + END, AfterResponse.KEEP),
                new ScriptedResponse("", AfterResponse.SILENCE));
        try (TestGateway gateway = new TestGateway(one, two).configured();
                RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("POST", "/resume/1", "Connection: close\r\n", "body"));
            caller.readUntil("data: a");
            await("the second send", () -> script.requests.size() == 2);
            script.resume();
            assertWholeStream(caller.readAll());
            await("the close at the second server", () -> one.closedByPeer.get() + two.closedByPeer.get() > 0);
        }
    }

    // Guards against an answer that is lost because the server that took over broke off, or failed, while the first
    // went on.
    @Test(dataProvider = "failedSuccessors")
    public void a_stream_that_pauses_is_completed_if_the_other_server_fails(ScriptedResponse failure)
            throws IOException {
        script.respondWith(new ScriptedResponse(EVENTS + FIRST + PAUSE + SECOND + END, AfterResponse.KEEP), failure);
        try (TestGateway gateway = new TestGateway(one, two).configured();
                RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("POST", "/resume/1", "Connection: close\r\n", "body"));
            caller.readUntil("data: a");
            await("the failure", () -> script.requests.size() == 2 && gateway.attemptsInFlight() == 1);
            script.resume();
            assertWholeStream(caller.readAll());
        }
    }

    @DataProvider
    public Object[][] failedSuccessors() {
        return new Object[][] {
            {new ScriptedResponse("", AfterResponse.RESET)},
            {new ScriptedResponse(EVENTS, AfterResponse.CLOSE)},
            {new ScriptedResponse(EVENTS + "9\r\nid: 2\ndat\r\n" + END, AfterResponse.KEEP)},
            {
                new ScriptedResponse(
                        "HTTP/1.1 500 No\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n", AfterResponse.KEEP)
            },
            {new ScriptedResponse("garbage\r\n\r\n", AfterResponse.KEEP)},
        };
    }

    // Guards against a half received response that is given up for a head alone.
    @Test
    public void a_plain_response_that_pauses_is_completed_if_the_other_server_sends_only_a_head() throws IOException {
        script.respondWith(
                new ScriptedResponse(HEAD + "Content-Length: 2\r\n\r\no" + PAUSE + "k", AfterResponse.KEEP),
                new ScriptedResponse(HEAD + "Content-Length: 2\r\n\r\n", AfterResponse.CLOSE));
        assertEquals(lateAnswer(), 200);
    }

    // Guards against a whole response of the silent server that is held back to the deadline because a second was
    // asked.
    @Test(dataProvider = "bodilessResponses")
    public void a_late_response_without_a_body_is_delivered_at_once(int status) throws IOException {
        String late = "HTTP/1.1 " + status + " Late\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n";
        script.respondWith(
                new ScriptedResponse(PAUSE + late, AfterResponse.KEEP),
                new ScriptedResponse("", AfterResponse.SILENCE));
        assertEquals(lateAnswer(), status);
    }

    @DataProvider
    public Object[][] bodilessResponses() {
        return new Object[][] {{200}, {304}, {404}};
    }

    // Guards against a sound second server that is withdrawn because the silent one failed late.
    @Test
    public void a_late_server_error_leaves_the_request_with_the_other_server() throws IOException {
        script.respondWith(
                new ScriptedResponse(PAUSE + FAILED, AfterResponse.KEEP),
                new ScriptedResponse(PAUSE + HEAD + "Content-Length: 2\r\n\r\nok", AfterResponse.KEEP));
        try (TestGateway gateway = new TestGateway(one, two).configured();
                RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("GET", "/safe/1", "Connection: close\r\n", ""));
            await("the second send", () -> script.requests.size() == 2);
            script.resume();
            await("the error", () -> gateway.attemptsInFlight() == 1);
            script.resume();
            String response = caller.readAll();
            assertTrue(response.startsWith("HTTP/1.1 200 ") && response.endsWith("ok"), response);
        }
    }

    // Guards against an error response of a server that is replaced by a failure of the gateway.
    @Test
    public void an_error_of_the_second_server_is_delivered_if_the_silent_one_breaks_off() throws IOException {
        script.respondWith(
                new ScriptedResponse(PAUSE, AfterResponse.RESET), new ScriptedResponse(FAILED, AfterResponse.KEEP));
        try (TestGateway gateway = new TestGateway(one, two).configured();
                RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("GET", "/safe/1", "Connection: close\r\n", ""));
            await("the error", () -> script.requests.size() == 2 && gateway.attemptsInFlight() == 1);
            script.resume();
            String response = caller.readAll();
            assertTrue(response.startsWith("HTTP/1.1 500 ") && response.endsWith("bad"), response);
        }
    }

    // Guards against a second server that is withdrawn for bytes that bring the answer no further.
    @Test
    public void a_comment_line_of_the_silent_server_does_not_withdraw_the_second_one() throws IOException {
        script.respondWith(
                new ScriptedResponse(EVENTS + FIRST + PAUSE + "2\r\n:\n\r\n", AfterResponse.SILENCE),
                new ScriptedResponse(PAUSE + EVENTS + SECOND + END, AfterResponse.KEEP));
        try (TestGateway gateway = new TestGateway(one, two).configured();
                RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("POST", "/resume/1", "Connection: close\r\n", "body"));
            caller.readUntil("data: a");
            await("the second send", () -> script.requests.size() == 2);
            int writes = script.writes();
            script.resume();
            await("the comment", () -> script.writes() > writes && gateway.attemptsInFlight() == 2);
            script.resume();
            assertWholeStream(caller.readAll());
        }
    }

    // Guards against retries beyond the budget that all nodes share.
    @Test
    public void a_silent_attempt_stays_alone_without_retry_budget() throws IOException {
        script.respondWith(new ScriptedResponse(PAUSE + HEAD + "Content-Length: 2\r\n\r\nok", AfterResponse.KEEP));
        try (TestGateway gateway = new TestGateway(0, one, two).configured();
                RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("GET", "/safe/1", "Connection: close\r\n", ""));
            await("the silence", () -> gateway.count(SILENT_ATTEMPTS) > 0);
            script.resume();
            assertTrue(caller.readAll().startsWith("HTTP/1.1 200 "));
        }
        assertEquals(script.requests.size(), 1);
    }

    private int lateAnswer() throws IOException {
        try (TestGateway gateway = new TestGateway(one, two).configured();
                RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("GET", "/patient/1", "Connection: close\r\n", ""));
            await("the second send", () -> script.requests.size() == 2);
            script.resume();
            String response = caller.readAll();
            assertTrue(gateway.count(SILENT_ATTEMPTS) > 0);
            return Integer.parseInt(response.substring("HTTP/1.1 ".length(), "HTTP/1.1 ".length() + 3));
        }
    }

    // Guards against a failure that is reported before the deadline although the server goes on.
    @Test
    public void a_late_plain_response_is_delivered_if_no_other_server_can_answer() throws IOException {
        script.respondWith(new ScriptedResponse(PAUSE + HEAD + "Content-Length: 2\r\n\r\nok", AfterResponse.KEEP));
        try (TestGateway gateway = new TestGateway(one).configured();
                RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("GET", "/safe/1", "Connection: close\r\n", ""));
            await("the silence", () -> gateway.count(SILENT_ATTEMPTS) > 0);
            script.resume();
            String response = caller.readAll();
            assertTrue(response.startsWith("HTTP/1.1 200 ") && response.endsWith("ok"), response);
        }
    }

    // Guards against more sends of a request than its route allows while both servers are silent.
    @Test
    public void a_request_at_two_silent_servers_is_answered_504_at_its_deadline_and_closed_at_both()
            throws IOException {
        script.respondWith(new ScriptedResponse("", AfterResponse.SILENCE));
        try (ScriptedServer three = new ScriptedServer(script);
                TestGateway gateway = new TestGateway(one, two, three).configured();
                RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("GET", "/safe/1", "Connection: close\r\n", ""));
            String response = caller.readAll();
            assertTrue(response.startsWith("HTTP/1.1 504 "), response);
            await("the closes", () -> one.closedByPeer.get() + two.closedByPeer.get() + three.closedByPeer.get() == 2);
        }
        assertEquals(script.requests.size(), 2);
    }

    // Guards against servers that work on for a caller who has left.
    @Test
    public void a_caller_disconnect_closes_both_open_attempts() throws IOException {
        script.respondWith(new ScriptedResponse("", AfterResponse.SILENCE));
        try (TestGateway gateway = new TestGateway(one, two).configured()) {
            try (RawCaller caller = new RawCaller(gateway.port)) {
                caller.send(RawCaller.request("GET", "/safe/1", "", ""));
                await("the second send", () -> script.requests.size() == 2);
            }
            await("the closes", () -> one.closedByPeer.get() == 1 && two.closedByPeer.get() == 1);
        }
    }

    private static void assertWholeStream(String rest) {
        assertEquals(rest.split("data: b", -1).length, 2, rest);
        assertTrue(rest.endsWith("\r\n0\r\n\r\n"), rest);
    }

    private static void await(String what, BooleanSupplier condition) {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < untilNanos, "not seen: " + what);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
    }
}
