package org.agatehatch.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import org.agatehatch.gateway.ScriptedServer.AfterResponse;
import org.agatehatch.gateway.ScriptedServer.ScriptedResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a second copy of a response, which arrives late on its connection and is taken for the response to a later
 * send of the same attempt.
 */
public final class LateCopyTest {
    private static final String EMPTY = "Content-Length: 0\r\n\r\n";
    private static final String REFUSED = "HTTP/1.1 503 Busy\r\nX-Id: ID\r\nX-Not-Run: 1\r\n";
    private static final String CLOSED = REFUSED + "X-Closed-Ms: 60\r\n" + EMPTY;
    private static final String MISDIRECTED = "HTTP/1.1 421 Other\r\nX-Id: ID\r\n" + EMPTY;
    private static final String WHOLE = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok";
    private static final String EVENTS =
            "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";

    /** Slack of the retry budget that allows one retry of a single request, and no second one. */
    private static final double SLACK_FOR_ONE_RETRY = 2;

    private ScriptedServer.Script script;
    private ScriptedServer server;

    @BeforeMethod
    public void start() throws IOException {
        script = new ScriptedServer.Script();
        server = new ScriptedServer(script);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        server.close();
    }

    private static ScriptedResponse kept(String bytes) {
        return new ScriptedResponse(bytes, AfterResponse.KEEP);
    }

    private static String post(TestGateway gateway, String route, String id, String headers) throws IOException {
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send("POST /" + route + "/1 HTTP/1.1\r\nHost: " + TestGateway.HOST + "\r\nX-Id: " + id + "\r\n"
                    + headers + "Connection: close\r\nContent-Length: 4\r\n\r\nbody");
            return caller.readAll();
        }
    }

    @DataProvider
    public Object[][] refusalsThatAreResent() {
        String model = "X-Model: m\r\nX-Parts: p:10\r\n";
        return new Object[][] {
            {"refusal with a time", "patient-once", "", CLOSED, WHOLE},
            {"of a stream", "patient-stream", "", CLOSED, EVENTS},
            {"of a resumable stream", "patient-resume", "", CLOSED, EVENTS},
            {"of a repeatable request", "patient", "", CLOSED, WHOLE},
            {"missing model", "patient-once", model, MISDIRECTED, WHOLE},
            {"missing model of a stream", "patient-stream", model, MISDIRECTED, EVENTS},
        };
    }

    // Guards against a request that runs twice because the copy of a refusal passed for the refusal of its second send.
    @Test(dataProvider = "refusalsThatAreResent")
    public void a_copy_where_the_next_response_is_expected_does_not_cause_another_send(
            String kind, String route, String headers, String refusal, String answer) throws IOException {
        script.respondWith(kept(refusal), kept("COPY" + answer), kept("COPY" + answer));
        try (TestGateway gateway = new TestGateway(server).configured()) {
            gateway.loadsModels = true;
            String response = post(gateway, route, "a1", headers);
            assertTrue(response.startsWith("HTTP/1.1 200 "), kind + ": " + response);
            assertEquals(script.requests.size(), 2, "sends: " + kind);
        }
    }

    // Guards against a promise that a request has not run, given after the copy of a refusal while the request runs.
    @Test(dataProvider = "refusalsThatAreResent")
    public void a_copy_is_not_reported_as_a_refusal_when_the_retry_budget_is_spent(
            String kind, String route, String headers, String refusal, String answer) throws IOException {
        script.respondWith(kept(refusal), kept("COPY" + answer), kept("COPY" + answer));
        try (TestGateway gateway = new TestGateway(SLACK_FOR_ONE_RETRY, server).configured()) {
            gateway.loadsModels = true;
            String response = post(gateway, route, "a1", headers);
            assertTrue(response.startsWith("HTTP/1.1 200 "), kind + ": " + response);
        }
    }

    @DataProvider
    public Object[][] arrivals() {
        return new Object[][] {
            {"with the refusal", CLOSED + CLOSED, WHOLE},
            {"before or with the second send", CLOSED + "PAUSE" + CLOSED, WHOLE},
            {"after the true answer", CLOSED, WHOLE + CLOSED},
        };
    }

    // Guards against a copy that is taken for an answer on another path than the one where the next response is
    // expected.
    @Test(dataProvider = "arrivals")
    public void a_copy_reaches_no_caller_whenever_it_arrives(String arrival, String refusal, String answer)
            throws IOException {
        script.respondWith(kept(refusal), kept(answer), kept(WHOLE));
        try (TestGateway gateway = new TestGateway(server).configured()) {
            script.resume();
            assertTrue(post(gateway, "patient-once", "a1", "").startsWith("HTTP/1.1 200 "), arrival);
            for (int i = 0; i < 4; i++) {
                assertTrue(post(gateway, "patient-once", "b" + i, "").startsWith("HTTP/1.1 200 "), arrival);
            }
            assertEquals(script.requests.size(), 6, "sends: " + arrival);
        }
    }

    // Guards against 'not run, try again' for a request that runs, after the refusal of another caller's request came
    // twice.
    @Test
    public void a_copy_of_a_refusal_does_not_refuse_the_next_request_on_its_connection() throws IOException {
        script.respondWith(kept(REFUSED + EMPTY), kept("COPY" + WHOLE));
        try (TestGateway gateway = new TestGateway(server).configured()) {
            assertTrue(post(gateway, "patient-once", "a1", "").startsWith("HTTP/1.1 503 "));
            assertTrue(post(gateway, "patient-once", "b1", "").startsWith("HTTP/1.1 200 "));
            assertEquals(script.requests.size(), 2);
            assertEquals(server.connections.get(), 1);
            assertEquals(gateway.count("agatehatch_skipped_responses_total"), 1);
        }
    }

    // Guards against a refusal of some other request, which its lack of an id lets pass for one of the request in
    // flight.
    @Test
    public void a_response_without_an_id_on_a_reused_connection_is_not_taken_for_the_answer() throws IOException {
        script.respondWith(kept(WHOLE), kept((REFUSED + EMPTY).replace("X-Id: ID\r\n", "") + WHOLE), kept(WHOLE));
        try (TestGateway gateway = new TestGateway(server).configured()) {
            assertTrue(post(gateway, "patient-once", "a1", "").startsWith("HTTP/1.1 200 "));
            String response = post(gateway, "patient-once", "b1", "");
            assertTrue(response.startsWith("HTTP/1.1 502 "), response);
            assertEquals(server.connections.get(), 1);
        }
    }

    // Guards against copies on connections that carried the attempt two or more requests ago.
    @Test
    public void requests_run_once_while_any_response_may_come_twice() throws IOException {
        Random random = new Random(39);
        try (TestGateway gateway = new TestGateway(server).configured()) {
            for (int i = 0; i < 60; i++) {
                boolean refused = random.nextInt(3) == 0;
                String copy = random.nextBoolean() ? "COPY" : "";
                String answer = kind(random.nextInt(3));
                List<ScriptedResponse> responses =
                        refused ? List.of(kept(copy + CLOSED), kept("COPY" + answer)) : List.of(kept(copy + answer));
                script.respondWith(responses.toArray(ScriptedResponse[]::new));
                String response = post(gateway, "patient-once", "r" + i, "");
                assertFalse(response.startsWith("HTTP/1.1 503 "), "request " + i + ": " + response);
                assertEquals(script.requests.size(), responses.size(), "sends of request " + i);
            }
        }
    }

    private static String kind(int number) {
        return switch (number) {
            case 0 -> WHOLE;
            case 1 -> WHOLE.replace("200 OK", "201 Created");
            default -> WHOLE.replace("200 OK", "500 Failed");
        };
    }
}
