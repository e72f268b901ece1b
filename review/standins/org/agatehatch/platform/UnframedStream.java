package org.agatehatch.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A stream without length or chunks is broken off by the crash of its runner. The node stands still meanwhile, and goes on when the
 * runner has started again at its address.
 */
final class UnframedStream {
    private static final String SERVICE = "advisor";
    private static final String ID = "i-advisor-1";
    private static final int EVENTS = 13;
    private static final int EVENT_MILLIS = 100;
    private static final int STREAMS = 8;
    private static final int BROKEN_OFF = 4;
    private static final int EVENTS_BEFORE_FREEZE = 3;
    private static final long FREEZE_MILLIS = 2_700;
    private static final long CRASH_AFTER_MILLIS = 250;
    private static final long DOWN_MILLIS = 2_000;

    private final Record record;
    private final boolean trouble;
    private Deployment deployment;
    private RawServer server;
    private int port;
    private boolean struck;
    private boolean held = true;
    private volatile Optional<Exception> failure = Optional.empty();

    private UnframedStream(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) {
        Case.main(arguments, (deployment, record, trouble) -> new UnframedStream(record, trouble).run(deployment));
    }

    private boolean run(Deployment parts) throws Exception {
        deployment = parts;
        deployment.configure(config());
        startRunner();
        deployment.register(ID, SERVICE, port, 64);
        deployment.startNode(0);
        deployment.awaitReady(0);
        Deployment.pause(1_000);
        for (int i = 0; i < STREAMS; i++) {
            stream("stream" + i);
        }
        if (failure.isPresent()) {
            throw failure.get();
        }
        return held;
    }

    private void startRunner() throws IOException {
        server = new RawServer((connection, request, socket) -> answer(request, socket.getOutputStream()), "runner", port);
        port = server.port();
    }

    private ObjectNode config() {
        ObjectNode root = deployment.newConfig(7);
        ObjectNode route = root.withArray("routes").addObject();
        route.put("name", "r-history").put("host", "advisor.example").put("pathPrefix", "/history/");
        route.put("routeKind", "streaming").put("timeoutMs", 6_000).put("targetLatencyMs", 800);
        route.put("priority", 2).put("service", SERVICE).put("maxAttempts", 1);
        route.put("resumable", false).put("gapTargetMs", 250);
        root.withArray("services").addObject().put("name", SERVICE).put("healthPath", "/health").put("maxConns", 370);
        return root;
    }

    private void stream(String id) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(deployment.front(0), 1_000);
            // Clients abandon a stream after a gap of four times the objective.
            socket.setSoTimeout(3_200);
            String body = "review " + id;
            RawServer.write(
                    socket.getOutputStream(),
                    "POST /history/1 HTTP/1.1\r\nHost: advisor.example\r\nX-Agatehatch-Attempt-Id: " + id
                            + "\r\nX-Agatehatch-Deadline-Ms: 6000\r\nConnection: close\r\nContent-Length: "
                            + body.length() + "\r\n\r\n" + body);
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            long events = answer.lines().filter(line -> line.startsWith("id: ")).count();
            boolean complete = answer.endsWith("0\r\n\r\n");
            record.add("client: " + id + ": " + answer.lines().findFirst().orElse("no answer") + ", " + events + " of "
                    + EVENTS + " events, " + (complete ? "ends as complete" : "broken off"));
            if (answer.startsWith("HTTP/1.1 200") && complete && events < EVENTS) {
                record.add("ORDER: " + id + " ends as complete after event " + events);
                held = false;
            }
        }
    }

    private boolean answer(RawServer.Request request, OutputStream out) throws IOException {
        String id = request.attempt();
        record.add("runner: begins " + id);
        RawServer.write(
                out,
                "HTTP/1.1 200 OK\r\nX-Agatehatch-Attempt-Id: " + id + "\r\nX-Agatehatch-Response-Seal: s." + id
                        + "\r\nContent-Type: text/event-stream\r\n\r\n");
        for (int event = 1; event <= EVENTS; event++) {
            RawServer.write(out, "id: " + event + "\ndata: tokens of " + id + "\n\n");
            if (trouble && !struck && event == EVENTS_BEFORE_FREEZE && id.equals("stream" + BROKEN_OFF)) {
                struck = true;
                Thread operator = new Thread(this::strike, "disruption");
                operator.setDaemon(true);
                operator.start();
            }
            Deployment.pause(EVENT_MILLIS);
        }
        record.add("runner: ends " + id);
        return false;
    }

    private void strike() {
        try {
            signal("STOP");
            Deployment.pause(CRASH_AFTER_MILLIS);
            server.kill();
            record.add("runner: crashes");
            Deployment.pause(DOWN_MILLIS);
            startRunner();
            deployment.entry(ID).put("born", System.currentTimeMillis());
            deployment.write(ID);
            record.add("runner: starts again at its address and registers");
            Deployment.pause(FREEZE_MILLIS - CRASH_AFTER_MILLIS - DOWN_MILLIS);
            signal("CONT");
        } catch (IOException | InterruptedException e) {
            failure = Optional.of(e);
        }
    }

    private void signal(String name) throws IOException, InterruptedException {
        record.add("node: SIG" + name);
        new ProcessBuilder("kill", "-" + name, Long.toString(deployment.node(0).pid()))
                .inheritIO()
                .start()
                .waitFor(5, TimeUnit.SECONDS);
    }
}
