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
            await("the refusal", () -> script.requests.size() == 2);
            script.resume();
            assertWholeStream(caller.readAll());
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
