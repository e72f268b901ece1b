package org.agatehatch.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import org.agatehatch.gateway.ScriptedServer.AfterResponse;
import org.agatehatch.gateway.ScriptedServer.ScriptedResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests that reach a server after it has said that it is leaving, or wants none for a time. */
public final class ServerAvailabilityUsageTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\n";
    private static final String REFUSED = "HTTP/1.1 503 Busy\r\nX-Id: ID\r\nX-Not-Run: 1\r\n";
    private static final String EVENTS = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String EVENT = "f\r\nid: 1\ndata: a\n\n\r\n";
    private static final String END = "0\r\n\r\n";
    private static final String EMPTY = "Content-Length: 0\r\n\r\n";
    private static final int REQUESTS = 8;

    private ScriptedServer.Script script;
    private ScriptedServer.Script otherScript;
    private ScriptedServer server;
    private ScriptedServer other;
    private TestGateway gateway;

    @BeforeMethod
    public void start() throws IOException {
        script = new ScriptedServer.Script();
        otherScript = new ScriptedServer.Script();
        server = new ScriptedServer(script);
        other = new ScriptedServer(otherScript);
        otherScript.respondWith(new ScriptedResponse(OK + EMPTY, AfterResponse.KEEP));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        gateway.close();
        server.close();
        other.close();
    }

    private String get(String route) throws IOException {
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("GET", "/" + route + "/1", "Connection: close\r\n", ""));
            return caller.readAll();
        }
    }

    @DataProvider
    public Object[][] answersOfLeavingServers() {
        String leaving = "X-Leaving: 1\r\n";
        return new Object[][] {
            {"plain", "safe", OK + leaving + EMPTY, AfterResponse.KEEP},
            {"at most once", "once", OK + leaving + EMPTY, AfterResponse.KEEP},
            {"stream", "stream", OK + leaving + EVENTS + EVENT + END, AfterResponse.KEEP},
            {"broken stream", "resume", OK + leaving + EVENTS + EVENT, AfterResponse.RESET},
            {"refusal", "safe", REFUSED + leaving + EMPTY, AfterResponse.KEEP},
            {"server error", "safe", "HTTP/1.1 500 E\r\nX-Id: ID\r\nX-Seal: s\r\n" + leaving + EMPTY, AfterResponse.KEEP
            },
            {"other attempt's answer", "safe", OK.replace("ID", "99") + leaving + EMPTY + OK + EMPTY, AfterResponse.KEEP
            },
        };
    }

    @Test(dataProvider = "answersOfLeavingServers")
    public void a_server_that_is_leaving_gets_no_further_request(
            String kind, String route, String answer, AfterResponse after) throws IOException {
        script.respondWith(new ScriptedResponse(answer, after));
        gateway = new TestGateway(server).configured();
        get(route);
        int before = script.requests.size();
        for (int i = 0; i < REQUESTS; i++) {
            String response = get(route);
            assertTrue(response.startsWith("HTTP/1.1 503 "), kind + ": " + response);
        }
        assertEquals(script.requests.size(), before, "requests after the notice: " + kind);
        assertEquals(gateway.count("agatehatch_leaving_servers_total"), 1);
    }

    @Test
    public void a_notice_in_the_held_answer_of_a_second_attempt_counts() throws IOException {
        script.respondWith(new ScriptedResponse(OK + EVENTS + EVENT + "PAUSE" + END, AfterResponse.KEEP));
        ScriptedResponse heldBack =
                new ScriptedResponse(OK + "X-Leaving: 1\r\n" + EVENTS + "PAUSE" + EVENT + END, AfterResponse.KEEP);
        otherScript.respondWith(heldBack);
        gateway = new TestGateway(server, other).configured();
        while (gateway.count("agatehatch_leaving_servers_total") == 0) {
            try (RawCaller caller = new RawCaller(gateway.port)) {
                caller.send(RawCaller.request("POST", "/resume/1", "Connection: close\r\n", "body"));
                Waiting.until(
                        "a silent attempt or the notice",
                        () -> gateway.attemptsInFlight() == 2 || gateway.count("agatehatch_leaving_servers_total") > 0);
            }
            script.resume();
        }
        script.respondWith(new ScriptedResponse(OK + EVENTS + EVENT + END, AfterResponse.KEEP));
        otherScript.requests.clear();
        for (int i = 0; i < REQUESTS; i++) {
            assertTrue(get("stream").startsWith("HTTP/1.1 200 "));
        }
        assertEquals(otherScript.requests.size(), 0);
    }

    @Test
    public void a_retry_goes_elsewhere_when_the_refusing_server_is_leaving() throws IOException {
        script.respondWith(new ScriptedResponse(REFUSED + "X-Leaving: 1\r\n" + EMPTY, AfterResponse.KEEP));
        gateway = new TestGateway(server, other).configured();
        for (int i = 0; i < 2 * REQUESTS; i++) {
            assertTrue(get("once").startsWith("HTTP/1.1 200 "));
        }
        assertTrue(script.requests.size() <= 1, "requests to the leaving server: " + script.requests.size());
    }

    @Test
    public void a_closed_server_gets_no_request_until_its_time_is_over() throws IOException {
        script.respondWith(
                new ScriptedResponse(REFUSED + "X-Closed-Ms: 1500\r\n" + EMPTY, AfterResponse.KEEP),
                new ScriptedResponse(OK + EMPTY, AfterResponse.KEEP));
        gateway = new TestGateway(server, other).configured();
        while (script.requests.isEmpty()) {
            assertTrue(get("safe").startsWith("HTTP/1.1 200 "));
        }
        long closedNanos = System.nanoTime();
        while (System.nanoTime() - closedNanos < 1_200_000_000L) {
            assertTrue(get("safe").startsWith("HTTP/1.1 200 "));
            assertEquals(script.requests.size(), 1, "requests to the closed server");
        }
        Waiting.until("traffic at the server after its time", () -> {
            try {
                get("safe");
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
            return script.requests.size() > 1;
        });
    }

    @Test
    public void a_request_waits_if_the_only_server_opens_soon() throws IOException {
        script.respondWith(
                new ScriptedResponse(REFUSED + "X-Closed-Ms: 200\r\n" + EMPTY, AfterResponse.KEEP),
                new ScriptedResponse(OK + EMPTY, AfterResponse.KEEP));
        gateway = new TestGateway(server).configured();
        assertTrue(get("once").startsWith("HTTP/1.1 200 "));
        assertEquals(script.requests.size(), 2);
    }

    @Test
    public void a_request_is_refused_at_once_with_the_time_if_all_servers_stay_closed() throws IOException {
        ScriptedResponse closing = new ScriptedResponse(REFUSED + "X-Closed-Ms: 60000\r\n" + EMPTY, AfterResponse.KEEP);
        script.respondWith(closing);
        otherScript.respondWith(closing);
        gateway = new TestGateway(server, other).configured();
        get("once");
        int sent = script.requests.size() + otherScript.requests.size();
        for (int i = 0; i < REQUESTS; i++) {
            String response = get("once");
            assertTrue(
                    response.startsWith("HTTP/1.1 503 ")
                            && response.toLowerCase(java.util.Locale.ROOT).contains("retry-after: "),
                    response);
        }
        assertEquals(List.of(sent, 2), List.of(2, script.requests.size() + otherScript.requests.size()));
    }
}
