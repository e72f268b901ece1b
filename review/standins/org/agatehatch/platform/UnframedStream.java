package org.agatehatch.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * One stream of thirty comes without length or chunks, and is broken off by the crash of its runner, one of two. The node stands still
 * meanwhile, and goes on when the runner has started again at its address.
 */
final class UnframedStream {
    private static final String SERVICE = "advisor";
    private static final String ID_PREFIX = "i-advisor-";
    private static final int RUNNERS = 2;
    private static final int EVENTS = 13;
    private static final int EVENT_MILLIS = 50;
    private static final int STREAMS = 30;
    private static final int UNFRAMED = 20;
    private static final int EVENTS_BEFORE_FREEZE = 2;
    private static final long FREEZE_MILLIS = 2_700;
    private static final long CRASH_AFTER_MILLIS = 250;
    private static final long DOWN_MILLIS = 2_000;

    private final Record record;
    private final boolean trouble;
    private Deployment deployment;
    private final RawServer[] servers = new RawServer[RUNNERS];
    private final int[] ports = new int[RUNNERS];
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
        for (int i = 0; i < RUNNERS; i++) {
            startRunner(i);
            deployment.register(ID_PREFIX + i, SERVICE, ports[i], 64);
        }
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

    private void startRunner(int index) throws IOException {
        servers[index] = new RawServer(
                (connection, request, socket) -> answer(index, request, socket.getOutputStream()),
                "runner-" + index,
                ports[index]);
        ports[index] = servers[index].port();
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
            ClientAnswer answer = ClientAnswer.of(socket.getInputStream().readAllBytes());
            long events = answer.body.lines().filter(line -> line.startsWith("id: ")).count();
            record.add("client: " + id + ": " + answer.statusLine + ", " + events + " of "
                    + EVENTS + " events, " + (answer.complete ? "ends as complete" : "broken off"));
            if (answer.statusLine.startsWith("HTTP/1.1 200") && answer.complete && events < EVENTS) {
                record.add("ORDER: " + id + " ends as complete after event " + events);
                held = false;
            }
        }
    }

    private boolean answer(int runner, RawServer.Request request, OutputStream out) throws IOException {
        String id = request.attempt();
        boolean unframed = id.equals("stream" + UNFRAMED);
        record.add("runner " + runner + ": begins " + id + (unframed ? ", without length or chunks" : ""));
        RawServer.write(
                out,
                "HTTP/1.1 200 OK\r\nX-Agatehatch-Attempt-Id: " + id + "\r\nX-Agatehatch-Response-Seal: s." + id
                        + "\r\nContent-Type: text/event-stream\r\n"
                        + (unframed ? "" : "Transfer-Encoding: chunked\r\n") + "\r\n");
        for (int event = 1; event <= EVENTS; event++) {
            String text = "id: " + event + "\ndata: tokens of " + id + "\n\n";
            RawServer.write(out, unframed ? text : Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            if (trouble && !struck && unframed && event == EVENTS_BEFORE_FREEZE) {
                struck = true;
                Thread operator = new Thread(() -> strike(runner), "disruption");
                operator.setDaemon(true);
                operator.start();
            }
            Deployment.pause(EVENT_MILLIS);
        }
        if (!unframed) {
            RawServer.write(out, "0\r\n\r\n");
        }
        record.add("runner " + runner + ": ends " + id);
        return !unframed;
    }

    private void strike(int runner) {
        try {
            signal("STOP");
            Deployment.pause(CRASH_AFTER_MILLIS);
            servers[runner].kill();
            record.add("runner " + runner + ": crashes");
            Deployment.pause(DOWN_MILLIS);
            startRunner(runner);
            synchronized (deployment) {
                deployment.entry(ID_PREFIX + runner).put("born", System.currentTimeMillis());
                deployment.write(ID_PREFIX + runner);
            }
            record.add("runner " + runner + ": starts again at its address and registers");
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
