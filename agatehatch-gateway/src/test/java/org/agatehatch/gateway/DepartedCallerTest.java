package org.agatehatch.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.agatehatch.gateway.ScriptedServer.AfterResponse;
import org.agatehatch.gateway.ScriptedServer.ScriptedResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests that are sent to a server although their callers had left before the node read them. */
public final class DepartedCallerTest {
    private static final String WHOLE = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok";
    private static final String GET = RawCaller.request("GET", "/safe/1", "", "");
    private static final String POST = RawCaller.request("POST", "/once/1", "", "body");
    private static final String CHUNKED =
            RawCaller.request("POST", "/once/1", "Transfer-Encoding: chunked\r\n", "") + "4\r\nbody\r\n0\r\n\r\n";

    private ScriptedServer.Script script;
    private ScriptedServer server;
    private TestGateway gateway;

    @BeforeMethod
    public void start() throws IOException {
        script = new ScriptedServer.Script();
        server = new ScriptedServer(script);
        gateway = new TestGateway(server).configured();
        script.respondWith(new ScriptedResponse(WHOLE, AfterResponse.KEEP));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        gateway.close();
        server.close();
    }

    @FunctionalInterface
    private interface CallerTask {
        void run() throws IOException;
    }

    /** Runs a task before the node reads any of what the caller does in it. */
    private void beforeTheNextRead(CallerTask task) {
        gateway.freezeDuring(() -> {
            try {
                task.run();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    private void assertOnlyALaterRequestIsSent(int sendsBefore) throws IOException {
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("POST", "/once/later", "Connection: close\r\n", "body"));
            assertTrue(caller.readAll().startsWith("HTTP/1.1 200 "));
        }
        List<String> lines = script.requests.stream()
                .map(request -> request.split("\r\n", 2)[0])
                .toList();
        assertEquals(lines.subList(sendsBefore, lines.size()), List.of("POST /once/later HTTP/1.1"));
        assertEquals(server.connections.get(), 1, "connections to the server");
    }

    private static String post(int bodyBytes) {
        return RawCaller.request("POST", "/once/1", "", "b".repeat(bodyBytes));
    }

    @DataProvider
    public Object[][] inputs() {
        return new Object[][] {
            {GET},
            {POST},
            {CHUNKED},
            {GET + GET},
            {POST + POST + POST},
            {POST + "POST /once/1 HT"},
            // Read in several turns of the event loop.
            {post(99_000)},
            // Ends with what is read of a connection in the first turn.
            {post(2_048 + 3 * 16_384 - post(10_000).length() + 10_000)},
        };
    }

    @Test(dataProvider = "inputs")
    public void a_request_read_together_with_the_close_of_its_connection_is_not_sent(String input) throws IOException {
        beforeTheNextRead(() -> {
            RawCaller caller = new RawCaller(gateway.port);
            caller.send(input);
            caller.close();
        });
        assertOnlyALaterRequestIsSent(0);
    }

    @Test(dataProvider = "inputs")
    public void a_request_read_together_with_the_end_of_the_input_is_not_sent(String input) throws IOException {
        try (RawCaller caller = new RawCaller(gateway.port)) {
            beforeTheNextRead(() -> {
                caller.send(input);
                caller.endOutput();
            });
            assertOnlyALaterRequestIsSent(0);
        }
    }

    @Test
    public void a_later_request_of_a_connection_is_not_sent_either() throws IOException {
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(POST);
            caller.readUntil("ok");
            beforeTheNextRead(() -> {
                caller.send(POST);
                caller.close();
            });
            assertOnlyALaterRequestIsSent(1);
        }
    }

    @Test
    public void a_request_that_waits_when_its_caller_leaves_is_not_sent() throws IOException {
        gateway.keepsRequestsWaiting = true;
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("POST", "/patient-stream/1", "X-Model: m\r\nX-Parts: p:10\r\n", "body"));
            Waiting.until("the question for the model", () -> gateway.residencyRequests == 1);
            beforeTheNextRead(caller::close);
        }
        gateway.onTrafficThread(gateway::loadModelNow);
        assertOnlyALaterRequestIsSent(0);
    }
}
