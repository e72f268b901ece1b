package org.agatehatch.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.agatehatch.gateway.ScriptedServer.AfterResponse;
import org.agatehatch.gateway.ScriptedServer.ScriptedResponse;
import org.agatehatch.internal.process.StreamOriginMessages.ServerProcess;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against streams that are joined from servers of two software versions, and against take-ups that are refused for no reason. */
public final class StreamVersionTest {
    private static final String EVENTS =
            "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String FIRST = "f\r\nid: 1\ndata: a\n\n\r\n";
    private static final String SECOND = "f\r\nid: 2\ndata: b\n\n\r\n";
    private static final String END = "0\r\n\r\n";
    private static final int TAKE_UPS = 12;

    /** Time within which a process that has begun to listen writes its entry. */
    private static final long REGISTRATION_MILLIS = 200;

    private ScriptedServer.Script oldScript;
    private ScriptedServer.Script newScript;
    private ScriptedServer oldServer;
    private ScriptedServer newServer;
    private InMemoryLog origins;
    private TestGateway gateway;

    @BeforeMethod
    public void start() throws IOException {
        oldScript = new ScriptedServer.Script();
        newScript = new ScriptedServer.Script();
        oldServer = new ScriptedServer(oldScript);
        newServer = new ScriptedServer(newScript);
        origins = new InMemoryLog();
        newScript.respondWith(new ScriptedResponse(EVENTS + SECOND + END, AfterResponse.KEEP));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        gateway.close();
        oldServer.close();
        newServer.close();
    }

    private void startGateway(List<String> versions, ScriptedServer... servers) {
        gateway = new TestGateway(origins, versions, servers).configured();
    }

    private String post(String headers) throws IOException {
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("POST", "/resume/1", "Connection: close\r\n" + headers, "body"));
            return caller.readAll();
        }
    }

    /** Begins a stream at the old version, which breaks off, through a gateway that reaches no other server. */
    private void beginStreamAtOldVersion() throws IOException {
        oldScript.respondWith(new ScriptedResponse(EVENTS + FIRST, AfterResponse.RESET));
        startGateway(List.of("v1"), oldServer);
        assertTrue(post("").contains("data: a"));
        gateway.close();
        oldScript.respondWith(new ScriptedResponse(EVENTS + SECOND + END, AfterResponse.KEEP));
    }

    @Test
    public void a_broken_stream_does_not_go_on_at_another_version() throws IOException {
        oldScript.respondWith(new ScriptedResponse(EVENTS + FIRST, AfterResponse.RESET));
        startGateway(List.of("v1", "v2"), oldServer, newServer);
        for (int i = 0; i < 4; i++) {
            newScript.respondWith(new ScriptedResponse(EVENTS + SECOND + END, AfterResponse.KEEP));
            String response = post("");
            boolean joined = response.contains("data: a") && response.contains("data: b");
            assertFalse(joined, response);
        }
    }

    @Test
    public void a_silent_stream_does_not_go_on_at_another_version() throws IOException {
        ScriptedResponse pausing = new ScriptedResponse(EVENTS + FIRST + "PAUSE" + END, AfterResponse.KEEP);
        oldScript.respondWith(pausing);
        newScript.respondWith(pausing);
        startGateway(List.of("v1", "v2"), oldServer, newServer);
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request("POST", "/resume/1", "Connection: close\r\n", "body"));
            Waiting.until("a silent attempt", () -> gateway.count("agatehatch_silent_attempts_total") > 0);
            assertEquals(gateway.attemptsInFlight(), 1, "attempts at both versions");
            oldScript.resume();
            newScript.resume();
            assertTrue(caller.readAll().endsWith(END));
        }
    }

    @Test
    public void a_stream_that_a_caller_takes_up_at_another_node_goes_on_at_the_version_that_began_it()
            throws IOException {
        beginStreamAtOldVersion();
        startGateway(List.of("v2", "v1", "v2"), newServer, oldServer, newServer);
        int wentOn = 0;
        for (int i = 0; i < TAKE_UPS; i++) {
            String response = post("Last-Event-Id: 1\r\nX-Resumes: 7\r\n");
            wentOn += response.startsWith("HTTP/1.1 200 ") && response.endsWith(END) ? 1 : 0;
        }
        assertEquals(newScript.requests.size(), 0, "take-ups at the other version");
        assertEquals(wentOn, TAKE_UPS, "take-ups that went on");
    }

    @Test
    public void a_stream_whose_version_is_gone_is_refused_at_once() throws IOException {
        beginStreamAtOldVersion();
        startGateway(List.of("v2"), newServer);
        String response = post("Last-Event-Id: 1\r\nX-Resumes: 7\r\n");
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        assertEquals(newScript.requests.size(), 0);
    }

    @Test
    public void a_stream_of_which_nothing_is_known_is_refused() throws IOException {
        startGateway(List.of("v2"), newServer);
        assertTrue(post("Last-Event-Id: 1\r\nX-Resumes: other\r\n").startsWith("HTTP/1.1 503 "));
        assertTrue(post("Last-Event-Id: 1\r\n").startsWith("HTTP/1.1 503 "));
        assertEquals(newScript.requests.size(), 0);
    }

    @Test
    public void a_stream_of_which_nothing_is_known_goes_on_if_only_one_version_was_there_for_as_long_as_streams_last()
            throws IOException {
        startGateway(List.of("v2"), newServer);
        Waiting.until("an answer", this::takesUpStreamOfWhichNothingIsKnown);
    }

    private boolean takesUpStreamOfWhichNothingIsKnown() {
        try {
            return post("Last-Event-Id: 1\r\nX-Resumes: other\r\n").startsWith("HTTP/1.1 200 ");
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    // Guards against a stream that goes on at the version of the entries, but was begun by a restarted server that
    // had not written its entry yet.
    @Test
    public void a_stream_of_which_nothing_is_known_waits_for_the_entries_of_processes_that_listened_before()
            throws IOException {
        startGateway(List.of("v2", "v2"), newServer, oldServer);
        Waiting.until("an answer", this::takesUpStreamOfWhichNothingIsKnown);
        newScript.requests.clear();
        oldScript.respondWith(new ScriptedResponse(EVENTS + SECOND + END, AfterResponse.KEEP));
        AtomicInteger questions = new AtomicInteger();
        // The request arrives later, so a process that began to listen before has written its entry after this time.
        long viewNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REGISTRATION_MILLIS);
        gateway.serverViewAsOf = nanos -> {
            questions.incrementAndGet();
            return viewNanos - nanos >= 0;
        };
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request(
                    "POST", "/resume/1", "Connection: close\r\nLast-Event-Id: 1\r\nX-Resumes: other\r\n", "body"));
            Waiting.until("checks of the view", () -> questions.get() > 4 || sends() > 0);
            gateway.onRestarted(1, "v3");
            gateway.serverViewAsOf = nanos -> true;
            String response = caller.readAll();
            assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        }
        assertEquals(sends(), 0, "sends");
    }

    private int sends() {
        return newScript.requests.size() + oldScript.requests.size();
    }

    // Guards against a version that is taken from the entry of a server's former process.
    @Test
    public void a_stream_that_a_restarted_server_began_goes_on_nowhere_else() throws IOException {
        int begun = 0;
        for (int i = 0; i < 4; i++) {
            // Both entries name the same version, but one server has started again with another one.
            int restarted = i % 2;
            oldScript.respondWith(new ScriptedResponse(EVENTS + FIRST + "PAUSE", AfterResponse.RESET));
            newScript.respondWith(new ScriptedResponse(EVENTS + SECOND + END, AfterResponse.KEEP));
            startGateway(
                    List.of("v1", "v1"),
                    restarted == 0 ? oldServer : newServer,
                    restarted == 0 ? newServer : oldServer);
            gateway.viewIsRecent = false;
            try (RawCaller caller = new RawCaller(gateway.port)) {
                caller.send(RawCaller.request("POST", "/resume/1", "Connection: close\r\n", "body"));
                String start = caller.readUntil("data: ");
                if (oldScript.requests.isEmpty()) {
                    continue;
                }
                begun++;
                oldScript.resume();
                Waiting.until("the break", () -> gateway.attemptsInFlight() == 0);
                gateway.onRestarted(restarted, "v2");
                gateway.viewIsRecent = true;
                String response = start + caller.readAll();
                assertFalse(response.contains("data: b"), response);
            } finally {
                gateway.close();
            }
            assertEquals(newScript.requests.size(), 0, "sends to the other version");
        }
        assertTrue(begun > 0, "streams that the restarted server began");
    }

    // Guards against a stream that goes on at a server that has started again with another version.
    @Test
    public void a_stream_waits_for_the_entry_of_a_server_that_it_has_no_earlier_connection_to() throws IOException {
        beginStreamAtOldVersion();
        startGateway(List.of("v1"), newServer);
        gateway.viewIsRecent = false;
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request(
                    "POST", "/resume/1", "Connection: close\r\nLast-Event-Id: 1\r\nX-Resumes: 7\r\n", "body"));
            Waiting.until("the connection", () -> newServer.connections.get() == 1);
            gateway.onRestarted(0, "v2");
            gateway.viewIsRecent = true;
            assertTrue(caller.readAll().startsWith("HTTP/1.1 503 "));
        }
        assertEquals(newScript.requests.size(), 0, "sends to the other version");
    }

    // Guards against a restarted server of the same version that is taken for one of another.
    @Test
    public void a_stream_goes_on_after_a_restart_with_the_same_version() throws IOException {
        beginStreamAtOldVersion();
        startGateway(List.of("v1"), newServer);
        gateway.viewIsRecent = false;
        try (RawCaller caller = new RawCaller(gateway.port)) {
            caller.send(RawCaller.request(
                    "POST", "/resume/1", "Connection: close\r\nLast-Event-Id: 1\r\nX-Resumes: 7\r\n", "body"));
            Waiting.until("the connection", () -> newServer.connections.get() == 1);
            gateway.onRestarted(0, "v1");
            gateway.viewIsRecent = true;
            assertTrue(caller.readAll().endsWith(END));
        }
    }

    // Guards against a stream that is refused at a node without the store, although other nodes know the server's
    // process.
    @Test
    public void a_stream_goes_on_at_a_node_with_a_late_view_if_other_nodes_confirm_the_server() throws IOException {
        beginStreamAtOldVersion();
        startGateway(List.of("v1"), newServer);
        gateway.viewIsRecent = false;
        gateway.processToldByPeers = Optional.of(new ServerProcess(1, "v1"));
        assertTrue(post("Last-Event-Id: 1\r\nX-Resumes: 7\r\n").endsWith(END));
    }

    // Guards against a stream that goes on at another version, because its node has not heard of a server's restart.
    @Test
    public void a_stream_does_not_go_on_at_a_server_that_other_nodes_know_by_another_version() throws IOException {
        beginStreamAtOldVersion();
        startGateway(List.of("v1"), newServer);
        gateway.viewIsRecent = false;
        gateway.processToldByPeers = Optional.of(new ServerProcess(2, "v2"));
        String response = post("Last-Event-Id: 1\r\nX-Resumes: 7\r\n");
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        assertEquals(newScript.requests.size(), 0, "sends to the other version");
    }
}
