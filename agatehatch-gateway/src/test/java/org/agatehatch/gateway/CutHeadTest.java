package org.agatehatch.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import org.agatehatch.gateway.ScriptedServer.AfterResponse;
import org.agatehatch.gateway.ScriptedServer.ScriptedResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against an answer whose server stopped within its head, or within the framing of its body, and that reaches the caller
 * as a whole one.
 */
public final class CutHeadTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Type: text/plain\r\n";
    private static final String WITH_LENGTH = HEAD + "Content-Length: 123\r\n\r\n" + "x".repeat(123);
    private static final String CHUNKED =
            HEAD + "Transfer-Encoding: chunked\r\n\r\n12\r\n" + "y".repeat(18) + "\r\n0\r\n\r\n";
    private static final String STREAM = CHUNKED.replace("text/plain", "text/event-stream")
            .replace("12\r\n" + "y".repeat(18), "f\r\nid: 1\ndata: a\n\n");
    private static final String WHOLE = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nwhole";
    private static final String WHOLE_STREAM = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\n"
            + "Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n";

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

    private static String post(TestGateway gateway, String target) throws IOException {
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("POST", target, "Connection: close\r\n", "body"));
            return caller.readAll();
        }
    }

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {WITH_LENGTH, AfterResponse.CLOSE, false},
            {WITH_LENGTH, AfterResponse.CLOSE, true},
            {WITH_LENGTH, AfterResponse.RESET, false},
            {WITH_LENGTH, AfterResponse.RESET, true},
            {CHUNKED, AfterResponse.CLOSE, false},
            {CHUNKED, AfterResponse.CLOSE, true},
            {CHUNKED, AfterResponse.RESET, false},
            {CHUNKED, AfterResponse.RESET, true},
        };
    }

    @Test(dataProvider = "answers")
    public void an_answer_that_stops_at_any_byte_is_a_failure(String answer, AfterResponse end, boolean reused)
            throws IOException {
        try (TestGateway gateway = new TestGateway(one).configured()) {
            for (int length = 0; length < answer.length(); length++) {
                int before = one.connections.get();
                if (reused) {
                    script.respondWith(new ScriptedResponse(WHOLE, AfterResponse.KEEP));
                    assertTrue(post(gateway, "/patient-once/1").endsWith("whole"));
                }
                String cut = answer.substring(0, length);
                script.respondWith(new ScriptedResponse(cut, end));
                String response = post(gateway, "/patient-once/1");
                assertTrue(response.startsWith("HTTP/1.1 502 "), "after '" + cut + "': " + response);
                assertEquals(script.requests.size(), 1, "sends after '" + cut + "'");
                assertEquals(one.connections.get(), before + 1, "connections after '" + cut + "'");
            }
        }
    }

    @DataProvider
    public Object[][] cuts() {
        String[] cuts = {
            "",
            "HTTP/1.1 200",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Se",
            HEAD,
            HEAD + "Content-Le",
            HEAD + "Content-Length: 1",
            HEAD + "Content-Length: 123\r\n",
            HEAD + "Content-Length: 123\r\n\r",
            HEAD + "Content-Length: 123\r\n\r\n",
            HEAD + "Transfer-Encoding: chunk",
            HEAD + "Transfer-Encoding: chunked\r\n\r\n",
            HEAD + "Transfer-Encoding: chunked\r\n\r\n12\r\n",
            HEAD + "Transfer-Encoding: chunked\r\n\r\n12\r\n" + "y".repeat(18) + "\r\n0",
        };
        Object[][] cases = new Object[4 * cuts.length][];
        for (int i = 0; i < cases.length; i++) {
            AfterResponse end = i % 2 == 0 ? AfterResponse.CLOSE : AfterResponse.RESET;
            cases[i] = new Object[] {cuts[i / 4], end, i % 4 >= 2};
        }
        return cases;
    }

    @Test(dataProvider = "cuts")
    public void an_answer_that_stops_is_replaced_if_the_request_may_be_repeated(
            String cut, AfterResponse end, boolean reused) throws IOException {
        try (TestGateway gateway = new TestGateway(one, two).configured()) {
            script.respondWith(new ScriptedResponse(WHOLE, AfterResponse.KEEP));
            for (int i = 0; reused && i < 8; i++) {
                post(gateway, "/patient/1");
            }
            script.respondWith(new ScriptedResponse(cut, end), new ScriptedResponse(WHOLE, AfterResponse.KEEP));
            String response = post(gateway, "/patient/1");
            assertTrue(response.endsWith("\r\n\r\nwhole"), response);
            assertEquals(script.requests.size(), 2, "sends");
        }
    }

    @Test(dataProvider = "cuts")
    public void a_resumable_stream_that_stops_is_replaced(String cut, AfterResponse end, boolean reused)
            throws IOException {
        try (TestGateway gateway = new TestGateway(one, two).configured()) {
            script.respondWith(new ScriptedResponse(WHOLE, AfterResponse.KEEP));
            for (int i = 0; reused && i < 8; i++) {
                post(gateway, "/patient/1");
            }
            String stream =
                    cut.replace("text/plain", "text/event-stream").replace("y".repeat(18), "id: 1\ndata: abcd\n\n");
            script.respondWith(
                    new ScriptedResponse(stream, end), new ScriptedResponse(WHOLE_STREAM, AfterResponse.KEEP));
            String response = post(gateway, "/patient-resume/1");
            assertTrue(
                    response.endsWith(
                            stream.endsWith("\r\n0") && !response.contains("data: a\n")
                                    ? "12\r\nid: 1\ndata: abcd\n\n\r\n0\r\n\r\n"
                                    : "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n"),
                    response);
            assertEquals(script.requests.size(), 2, "sends");
        }
    }

    @DataProvider
    public Object[][] ends() {
        return new Object[][] {{AfterResponse.CLOSE}, {AfterResponse.RESET}};
    }

    @Test(dataProvider = "ends")
    public void a_stream_that_stops_at_any_byte_is_not_ended_as_complete(AfterResponse end) throws IOException {
        try (TestGateway gateway = new TestGateway(one).configured()) {
            for (int length = 0; length < STREAM.length(); length++) {
                String cut = STREAM.substring(0, length);
                script.respondWith(new ScriptedResponse(cut, end));
                String response = post(gateway, "/patient-stream/1");
                assertEquals(script.requests.size(), 1, "sends after '" + cut + "'");
                assertFalse(response.endsWith("0\r\n\r\n"), "after '" + cut + "': " + response);
                boolean headWhole = cut.contains("\r\n\r\n");
                boolean begun = response.contains("\r\n\r\n") && response.startsWith("HTTP/1.1 200 ");
                assertTrue(
                        begun ? headWhole : response.startsWith("HTTP/1.1 502 "), "after '" + cut + "': " + response);
            }
        }
    }
}
