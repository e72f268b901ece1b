package org.agatehatch.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Two runners are restarted under their ids with newer software, one after the other, and each crashes soon after. */
final class UpgradedRunner {
    private static final String SERVICE = "tutor";
    private static final int NODES = 6;
    private static final int RUNNERS = 4;
    private static final int UPGRADED = 2;
    private static final int EVENTS = 50;
    private static final int EVENT_MILLIS = 22;
    private static final int FIRST_EVENT_MILLIS = 30;
    private static final int STREAMS_PER_SECOND = 25;
    private static final long RUN_MILLIS = 15_000;
    private static final long FIRST_CRASH_MILLIS = 4_000;
    private static final long UP_MILLIS = 1_000;
    private static final long BETWEEN_UPGRADES_MILLIS = 3_000;
    private static final int ALLOWED = 2;

    private final Record record;
    private final boolean trouble;
    private static final long DOWN_MILLIS = 500;
    private final RawServer[] servers = new RawServer[RUNNERS];
    private final int[] ports = new int[RUNNERS];
    private final Map<String, Set<String>> versionsByStream = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> results = new ConcurrentHashMap<>();
    private volatile Optional<IOException> failure = Optional.empty();
    private Deployment deployment;

    private UpgradedRunner(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) {
        Case.main(arguments, (deployment, record, trouble) -> new UpgradedRunner(record, trouble).run(deployment));
    }

    private boolean run(Deployment parts) throws Exception {
        deployment = parts;
        deployment.configure(config());
        for (int i = 0; i < RUNNERS; i++) {
            startRunner(i, "v1", 0);
            ports[i] = servers[i].port();
            deployment.register("i-tutor-" + i, SERVICE, ports[i], 64);
        }
        for (int i = 0; i < NODES; i++) {
            deployment.startNode(i);
        }
        for (int i = 0; i < NODES; i++) {
            deployment.awaitReady(i);
        }
        Deployment.pause(2_000);
        Thread operator = new Thread(this::upgrade, "operator");
        operator.setDaemon(true);
        operator.start();
        List<Thread> clients = new ArrayList<>();
        long startNanos = System.nanoTime();
        for (int i = 0; (System.nanoTime() - startNanos) / 1_000_000 < RUN_MILLIS; i++) {
            String id = "stream" + i;
            int node = i % NODES;
            Thread client = new Thread(() -> stream(node, id), id);
            client.start();
            clients.add(client);
            Deployment.pause(1_000 / STREAMS_PER_SECOND);
        }
        for (Thread client : clients) {
            client.join(8_000);
        }
        if (failure.isPresent()) {
            throw failure.get();
        }
        return judge();
    }

    private void startRunner(int index, String version, int port) throws IOException {
        servers[index] = new RawServer(
                (connection, request, socket) -> answer(index, version, request, socket.getOutputStream()),
                "runner-" + index + "-" + version,
                port);
    }

    private void upgrade() {
        try {
            Deployment.pause(FIRST_CRASH_MILLIS);
            for (int i = 0; i < UPGRADED && trouble; i++) {
                upgrade(i);
                Deployment.pause(BETWEEN_UPGRADES_MILLIS);
            }
        } catch (IOException e) {
            failure = Optional.of(e);
        }
    }

    /** Restarts a runner. The new process registers itself as soon as it listens. */
    private void upgrade(int runner) throws IOException {
        String place = "runner " + runner;
        servers[runner].crash();
        record.add(place + " (v1): ends");
        Deployment.pause(DOWN_MILLIS);
        startRunner(runner, "v2", ports[runner]);
        synchronized (deployment) {
            String id = "i-tutor-" + runner;
            deployment.entry(id).put("version", "v2").put("born", System.currentTimeMillis());
            deployment.write(id);
        }
        record.add(place + " (v2): starts under its id and registers");
        Deployment.pause(UP_MILLIS);
        servers[runner].crash();
        record.add(place + " (v2): crashes");
    }

    private ObjectNode config() {
        ObjectNode root = deployment.newConfig(7);
        ObjectNode route = root.withArray("routes").addObject();
        route.put("name", "r-review").put("host", "tutor.example").put("pathPrefix", "/review/");
        route.put("routeKind", "streaming").put("timeoutMs", 6_000).put("targetLatencyMs", 1_500);
        route.put("priority", 1).put("service", SERVICE).put("maxAttempts", 2);
        route.put("resumable", true).put("gapTargetMs", 250);
        root.withArray("services").addObject().put("name", SERVICE).put("healthPath", "/health").put("maxConns", 360);
        return root;
    }

    private void stream(int node, String id) {
        try (Socket socket = new Socket()) {
            socket.connect(deployment.front(node), 1_000);
            socket.setSoTimeout(7_000);
            String body = "review " + id;
            RawServer.write(
                    socket.getOutputStream(),
                    "POST /review/1 HTTP/1.1\r\nHost: tutor.example\r\nX-Agatehatch-Attempt-Id: " + id
                            + "\r\nX-Agatehatch-Deadline-Ms: 6000\r\nConnection: close\r\nContent-Length: "
                            + body.length() + "\r\n\r\n" + body);
            ClientAnswer answer = ClientAnswer.of(socket.getInputStream().readAllBytes());
            Set<String> versions = new TreeSet<>();
            answer.body.lines().filter(line -> line.startsWith("data: ")).forEach(line -> versions.add(line.substring(6)));
            versionsByStream.put(id, versions);
            String end = answer.complete ? "complete" : "cut";
            String result = answer.statusLine + " " + end;
            results.computeIfAbsent(result, key -> new AtomicInteger()).incrementAndGet();
            if (versions.size() > 1) {
                record.add("client: " + id + ": events of " + versions + " in one answer, " + end);
            }
        } catch (IOException e) {
            results.computeIfAbsent("failed", key -> new AtomicInteger()).incrementAndGet();
        }
    }

    private boolean answer(int runner, String version, RawServer.Request request, OutputStream out) throws IOException {
        String id = request.attempt();
        String after = request.header("Last-Event-Id");
        if (!after.isEmpty()) {
            record.add("runner " + runner + " (" + version + "): goes on with " + id + " after event " + after);
        }
        Deployment.pause(FIRST_EVENT_MILLIS);
        RawServer.write(
                out,
                "HTTP/1.1 200 OK\r\nX-Agatehatch-Attempt-Id: " + id + "\r\nX-Agatehatch-Response-Seal: s." + id
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; event <= EVENTS; event++) {
            String text = "id: " + event + "\ndata: " + version + "\n\n";
            RawServer.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            Deployment.pause(EVENT_MILLIS);
        }
        RawServer.write(out, "0\r\n\r\n");
        return true;
    }

    private boolean judge() {
        long mixed = versionsByStream.values().stream().filter(versions -> versions.size() > 1).count();
        record.add("answers: " + new TreeMap<>(results));
        record.add("ORDER: " + mixed + " streams hold events of two versions of the software, " + ALLOWED + " are allowed");
        return mixed <= ALLOWED;
    }
}
