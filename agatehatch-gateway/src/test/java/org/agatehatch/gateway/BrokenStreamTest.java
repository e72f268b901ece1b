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
 * Guards against a stream that broke off and whose caller gets something else in place of the rest, or the end of a complete
 * stream.
 */
public final class BrokenStreamTest {
    private static final String OWN = "X-Id: ID\r\nX-Seal: s\r\n";
    private static final String EVENT_TYPE = "Content-Type: text/event-stream\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    private static final String EVENTS = "HTTP/1.1 200 OK\r\n" + OWN + EVENT_TYPE + CHUNKED;
    private static final String UNFRAMED_EVENTS = "HTTP/1.1 200 OK\r\n" + OWN + EVENT_TYPE + "\r\n";
    private static final String FIRST = "id: 1\ndata: a\n\n";
    private static final String SECOND = "id: 2\ndata: b\n\n";
    private static final String FINAL_CHUNK = "0\r\n\r\n";
    private static final String ERROR_HEAD =
            "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n";
    private static final ScriptedResponse REST =
            new ScriptedResponse(EVENTS + chunk(SECOND) + FINAL_CHUNK, AfterResponse.KEEP);

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

    private static String chunk(String data) {
        return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
    }

    private static ScriptedResponse broken(String... events) {
        StringBuilder answer = new StringBuilder(EVENTS);
        for (String event : events) {
            answer.append(chunk(event));
        }
        return new ScriptedResponse(answer.toString(), AfterResponse.CLOSE);
    }

    private String post(String target) throws IOException {
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("POST", target, "Connection: close\r\n", "body"));
            return caller.readAll();
        }
    }

    private static int count(String text, String part) {
        return text.split(part, -1).length - 1;
    }

    private static String answer(String status, String fields, String body) {
        return "HTTP/1.1 " + status + "\r\n" + OWN + fields + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @DataProvider
    public Object[][] answersInPlaceOfTheRest() {
        String plain = "Content-Type: text/plain\r\n";
        String json = "Content-Type: application/json\r\n";
        String[] kept = {
            answer("500 Failed", plain, "oops"),
            answer("500 Failed", EVENT_TYPE, "data: oops\n\n"),
            answer("404 Not Found", plain, "oops\n\n"),
            answer("302 Found", "Location: /oops\r\n", ""),
            answer("503 Busy", "X-Not-Run: 1\r\n", "oops"),
            answer("421 Other", "", "oops"),
            answer("200 OK", plain, "oops\n\n"),
            answer("200 OK", json, "{\"error\":\"oops\"}\n\n"),
            answer("200 OK", "", "oops\n\n"),
            answer("200 OK", plain, ""),
            answer("200 OK", "", ""),
            answer("206 Partial", EVENT_TYPE, SECOND.replace("b", "oops")),
            answer("202 Accepted", EVENT_TYPE, SECOND.replace("b", "oops")),
            answer("200 OK", EVENT_TYPE + "Content-Encoding: gzip\r\n", "oops\n\n"),
            "HTTP/1.1 204 None\r\n" + OWN + "\r\n",
            "HTTP/1.1 205 Reset\r\n" + OWN + "Content-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\n" + OWN + "Content-Type: text/html\r\n" + CHUNKED + chunk("oops\n\n") + FINAL_CHUNK,
            "HTTP/1.1 103 Hints\r\n\r\n" + answer("500 Failed", plain, "oops"),
            "oops\r\n\r\n",
            FINAL_CHUNK,
            chunk(SECOND) + FINAL_CHUNK,
        };
        String[] closed = {
            "HTTP/1.1 200 OK\r\n" + OWN + plain + "\r\noops\n\n",
            "HTTP/1.1 200 OK\r\n" + OWN + "\r\n",
            "HTTP/1.0 200 OK\r\n" + OWN + plain + "\r\n",
            UNFRAMED_EVENTS,
            "HTTP/1.1 103 Hints\r\n\r\n",
            "HTTP/1.1 200 OK\r\n" + OWN + EVENT_TYPE,
            "HTTP/1.1 500 Failed\r\n" + OWN + plain + "\r\noops\n\n",
            "oops",
            "",
        };
        Object[][] cases = new Object[kept.length + closed.length][];
        for (int i = 0; i < cases.length; i++) {
            cases[i] = i < kept.length
                    ? new Object[] {kept[i], AfterResponse.KEEP}
                    : new Object[] {closed[i - kept.length], AfterResponse.CLOSE};
        }
        return cases;
    }

    // Guards against an error's text in the middle of a stream, and against a cut stream that ends as if it were
    // complete.
    @Test(dataProvider = "answersInPlaceOfTheRest")
    public void nothing_but_the_rest_takes_the_place_of_the_rest(String second, AfterResponse end) throws IOException {
        script.respondWith(broken(FIRST), new ScriptedResponse(second, end));
        String response = post("/resume/1");
        assertTrue(response.startsWith("HTTP/1.1 200 "), response);
        assertTrue(response.endsWith(chunk(FIRST)), response);
    }

    // Guards against the same while the first server is only silent: it still has the rest.
    @Test(dataProvider = "answersInPlaceOfTheRest")
    public void a_silent_stream_is_not_given_up_for_another_answer(String second, AfterResponse end)
            throws IOException {
        script.respondWith(
                new ScriptedResponse(EVENTS + chunk(FIRST) + "PAUSE" + chunk(SECOND) + FINAL_CHUNK, AfterResponse.KEEP),
                new ScriptedResponse(second, end));
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("POST", "/patient-resume/1", "Connection: close\r\n", "body"));
            String begin = caller.readUntil("data: a");
            Waiting.until(
                    "the answer of the second server",
                    () -> gateway.attemptsInFlight() == 1 && script.requests.size() == 2);
            script.resume();
            String response = begin + caller.readAll();
            assertTrue(response.endsWith(chunk(FIRST) + chunk(SECOND) + FINAL_CHUNK), response);
        }
    }

    @DataProvider
    public Object[][] rests() {
        return new Object[][] {
            {REST.bytes()},
            {"HTTP/1.1 103 Hints\r\n\r\n" + REST.bytes()},
            {REST.bytes().replace("text/event-stream", "Text/Event-Stream; charset=utf-8")},
            {answer("200 OK", EVENT_TYPE, SECOND)},
            {REST.bytes().replace(chunk(SECOND), chunk(FIRST) + chunk(SECOND))},
        };
    }

    @Test(dataProvider = "rests")
    public void the_rest_is_accepted_in_another_framing_and_from_an_earlier_event(String rest) throws IOException {
        script.respondWith(broken(FIRST), new ScriptedResponse(rest, AfterResponse.KEEP));
        String response = post("/resume/1");
        assertTrue(response.endsWith(chunk(FIRST) + chunk(SECOND) + FINAL_CHUNK), response);
    }

    // Guards against events that reach the caller twice because the next server begins again at the first one.
    @Test
    public void a_stream_that_begins_again_with_ids_that_are_no_numbers_is_delivered_once() throws IOException {
        String[] events = {"id: x\ndata: a\n\n", "id: q\ndata: b\n\n", "id: k\ndata: c\n\n", "id: z\ndata: d\n\n"};
        script.respondWith(
                broken(events[0], events[1], events[2]),
                new ScriptedResponse(
                        EVENTS + chunk(String.join("data: no id\n\n", events)) + FINAL_CHUNK, AfterResponse.KEEP));
        String response = post("/resume/1");
        assertEquals(ScriptedServer.header(script.requests.get(1), "last-event-id"), "k");
        for (String data : new String[] {"data: a", "data: b", "data: c", "data: d", "data: no id"}) {
            assertEquals(count(response, data), 1, data + " in " + response);
        }
        assertTrue(response.endsWith(FINAL_CHUNK), response);
    }

    @DataProvider
    public Object[][] streamsThatEndBeforeTheLastEvent() {
        return new Object[][] {
            {"id: x\ndata: a\n\n", "id: q\ndata: b\n\n", "id: k\ndata: c\n\n"},
            {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"},
        };
    }

    // Guards against the end of a stream that did not get as far as the one that broke off.
    @Test(dataProvider = "streamsThatEndBeforeTheLastEvent")
    public void a_stream_that_begins_again_and_ends_early_is_not_complete(String first, String second, String third)
            throws IOException {
        script.respondWith(
                broken(first, second, third),
                new ScriptedResponse(EVENTS + chunk(first) + chunk(second) + FINAL_CHUNK, AfterResponse.KEEP));
        String response = post("/resume/1");
        assertTrue(response.endsWith(chunk(first) + chunk(second) + chunk(third)), response);
    }

    // Guards against events that are lost because their server uses an id twice.
    @Test
    public void a_stream_whose_server_uses_ids_again_is_delivered_whole() throws IOException {
        String events = "id: x\ndata: a\n\nid: q\ndata: b\n\nid: x\ndata: c\n\nid: q\ndata: d\n\n";
        script.respondWith(new ScriptedResponse(EVENTS + chunk(events) + FINAL_CHUNK, AfterResponse.KEEP));
        String response = post("/resume/1");
        for (String data : new String[] {"data: a", "data: b", "data: c", "data: d"}) {
            assertEquals(count(response, data), 1, data + " in " + response);
        }
    }

    // Guards against a stream that runs again from its start, since no event of it has an id to go on after.
    @Test
    public void a_stream_without_ids_is_not_begun_again() throws IOException {
        script.respondWith(
                broken("data: a\n\n"),
                new ScriptedResponse(
                        EVENTS + chunk("data: a\n\n") + chunk("data: b\n\n") + FINAL_CHUNK, AfterResponse.KEEP));
        String response = post("/resume/1");
        assertTrue(response.endsWith(chunk("data: a\n\n")), response);
        assertEquals(script.requests.size(), 1, "sends");
    }

    @Test
    public void a_stream_that_was_silent_before_its_first_id_is_not_begun_again() throws IOException {
        script.respondWith(
                new ScriptedResponse(
                        EVENTS + chunk("data: a\n\n") + "PAUSE" + chunk("data: b\n\n") + FINAL_CHUNK,
                        AfterResponse.KEEP),
                new ScriptedResponse(EVENTS + chunk("data: a\n\n") + FINAL_CHUNK, AfterResponse.KEEP));
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("POST", "/patient-resume/1", "Connection: close\r\n", "body"));
            String begin = caller.readUntil("data: a");
            Waiting.until("the silence", () -> gateway.count("agatehatch_silent_attempts_total") > 0);
            assertEquals(gateway.attemptsInFlight(), 1);
            script.resume();
            String response = begin + caller.readAll();
            assertTrue(response.endsWith(chunk("data: a\n\n") + chunk("data: b\n\n") + FINAL_CHUNK), response);
        }
        assertEquals(script.requests.size(), 1, "sends");
    }

    // A comment tells the caller nothing, so that the stream may still begin elsewhere.
    @Test
    public void a_stream_that_has_sent_only_comments_goes_on_elsewhere() throws IOException {
        script.respondWith(
                broken(": wait\n\n"),
                new ScriptedResponse(EVENTS + chunk(FIRST) + chunk(SECOND) + FINAL_CHUNK, AfterResponse.KEEP));
        String response = post("/resume/1");
        assertTrue(response.endsWith(chunk(FIRST) + chunk(SECOND) + FINAL_CHUNK), response);
    }

    @DataProvider
    public Object[][] bytesThatAreNoEvents() {
        return new Object[][] {
            {EVENTS + chunk(FIRST) + ERROR_HEAD + "oops"},
            {EVENTS + chunk(FIRST) + "oops\r\n" + FINAL_CHUNK},
            {EVENTS + chunk(FIRST) + "Bad oops\r\n" + "oops\n\n".repeat(600)},
            {EVENTS + chunk(FIRST) + "e oops\r\ndata: oops\n\n--\r\n" + FINAL_CHUNK},
            {EVENTS + "f\r\n" + FIRST + "oops\r\n" + FINAL_CHUNK},
            {EVENTS + "f\r\n" + FIRST + ERROR_HEAD + "oops"},
            {EVENTS + chunk(FIRST) + chunk(ERROR_HEAD) + chunk("oops\n\n") + FINAL_CHUNK},
            {EVENTS + chunk(FIRST) + "1000\r\n" + ERROR_HEAD + "oops"},
            {UNFRAMED_EVENTS + FIRST + ERROR_HEAD + "oops"},
            {UNFRAMED_EVENTS + FIRST + ERROR_HEAD + "oops\n\n"},
            {UNFRAMED_EVENTS + FIRST + "PAUSE" + ERROR_HEAD + "oops\n\n"},
            {EVENTS.replace(CHUNKED, "Content-Length: 1000\r\n\r\n") + FIRST + ERROR_HEAD + "oops\n\n"},
        };
    }

    // Guards against an error that the first server writes into its own stream with its head, or without.
    @Test(dataProvider = "bytesThatAreNoEvents")
    public void a_resumable_stream_goes_on_elsewhere_after_bytes_that_are_no_events(String first) throws IOException {
        script.resume();
        script.respondWith(new ScriptedResponse(first, AfterResponse.CLOSE), REST);
        String response = post("/resume/1");
        assertTrue(response.endsWith(chunk(FIRST) + chunk(SECOND) + FINAL_CHUNK), response);
        assertFalse(response.contains("oops") || response.contains("500"), response);
    }

    // Guards against the same where no other server may go on.
    @Test(dataProvider = "bytesThatAreNoEvents")
    public void a_stream_is_cut_before_bytes_that_are_no_events(String first) throws IOException {
        script.resume();
        script.respondWith(new ScriptedResponse(first, AfterResponse.CLOSE));
        String response = post("/stream/1");
        assertTrue(response.startsWith("HTTP/1.1 "), response);
        assertFalse(response.endsWith(FINAL_CHUNK), response);
        assertFalse(response.contains("oops") || response.contains("Internal Server"), response);
        assertEquals(script.requests.size(), 1, "sends");
    }
}
