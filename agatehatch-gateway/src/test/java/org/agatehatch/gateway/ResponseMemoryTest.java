package org.agatehatch.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.agatehatch.gateway.ScriptedServer.AfterResponse;
import org.agatehatch.gateway.ScriptedServer.ScriptedResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a heap that is exhausted by many incomplete responses, each of which keeps to the limit of one response. */
public final class ResponseMemoryTest {
    private static final int CALLERS = 60;
    private static final int BODY_BYTES = 200 * 1024;
    private static final int LIMIT_BYTES = 8 * 1024 * 1024;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\n";

    private final List<RawCaller> callers = new ArrayList<>();
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
        for (RawCaller caller : callers) {
            caller.close();
        }
        callers.clear();
        gateway.close();
        server.close();
    }

    private int exhaustions() {
        return gateway.count("agatehatch_response_memory_exhausted_total");
    }

    private void sendFromAllCallers(String route) throws IOException {
        for (int i = 0; i < CALLERS; i++) {
            RawCaller caller = new RawCaller(gateway.port);
            callers.add(caller);
            caller.send(RawCaller.request("POST", "/" + route + "/1", "", "body"));
            // One at a time: the server's queue of new connections is short.
            int sent = i + 1;
            Waiting.until("the request", () -> script.requests.size() == sent);
        }
    }

    @DataProvider
    public Object[][] incompleteResponses() {
        String length = "Content-Length: " + 2 * BODY_BYTES + "\r\n\r\n";
        String chunk = Integer.toHexString(BODY_BYTES) + "\r\n" + "a".repeat(BODY_BYTES) + "\r\n";
        return new Object[][] {
            {"patient", HEAD + length + "a".repeat(BODY_BYTES)},
            {"patient-once", HEAD + length + "a".repeat(BODY_BYTES)},
            {"patient-once", HEAD + "Transfer-Encoding: chunked\r\n\r\n" + chunk},
            {"patient-once", HEAD + "\r\n" + "a".repeat(BODY_BYTES)},
        };
    }

    // Guards against limits for one response only: some hundred of them do not fit into the heap.
    @Test(dataProvider = "incompleteResponses")
    public void incomplete_responses_of_one_server_hold_no_more_than_its_share(String route, String bytes)
            throws IOException {
        script.respondWith(new ScriptedResponse(bytes, AfterResponse.SILENCE));
        sendFromAllCallers(route);
        int held = LIMIT_BYTES / BODY_BYTES;
        Waiting.until("the limit", () -> exhaustions() >= CALLERS - held);
        Waiting.until("the close of the others", () -> gateway.attemptsInFlight() <= held);
        assertTrue(gateway.attemptsInFlight() > 0);
    }

    // Guards against memory that stays taken after its responses have ended.
    @Test
    public void a_server_is_used_again_once_its_responses_have_ended() throws IOException {
        script.respondWith(new ScriptedResponse(
                HEAD + "Content-Length: 999999\r\n\r\n" + "a".repeat(BODY_BYTES), AfterResponse.SILENCE));
        sendFromAllCallers("patient-once");
        Waiting.until("the limit", () -> exhaustions() > 0);
        for (RawCaller caller : callers) {
            caller.close();
        }
        Waiting.until("the end of all attempts", () -> gateway.attemptsInFlight() == 0);
        int before = exhaustions();
        String body = "b".repeat(BODY_BYTES);
        script.respondWith(
                new ScriptedResponse(HEAD + "Content-Length: " + BODY_BYTES + "\r\n\r\n" + body, AfterResponse.KEEP));
        for (int i = 0; i < CALLERS; i++) {
            try (RawCaller caller = new RawCaller(gateway.port)) {
                caller.send(RawCaller.request("POST", "/patient-once/1", "Connection: close\r\n", "body"));
                assertTrue(caller.readAll().endsWith(body));
            }
        }
        assertEquals(exhaustions(), before);
    }

    // Guards against counting what is passed on at once: a long stream would be cut.
    @Test
    public void a_stream_that_is_longer_than_the_limit_is_relayed_whole() throws IOException {
        String event = "data: " + "c".repeat(32 * 1024) + "\n\n";
        String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
        int events = 2 * LIMIT_BYTES / event.length();
        String stream = HEAD + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                + chunk.repeat(events) + "0\r\n\r\n";
        script.respondWith(new ScriptedResponse(stream, AfterResponse.KEEP));
        for (String route : List.of("patient-stream", "patient-resume")) {
            try (RawCaller caller = new RawCaller(gateway.port)) {
                caller.send(RawCaller.request("POST", "/" + route + "/1", "Connection: close\r\n", "body"));
                assertTrue(caller.countAll() >= events * (long) event.length(), route);
            }
        }
        assertEquals(exhaustions(), 0);
    }
}
