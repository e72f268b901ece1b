package org.agatehatch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A runner leaves a load order unanswered and carries it out late, as the pages describe. Meanwhile it crashes and starts again under
 * the id that it had.
 */
final class LateOrder {
    private static final String SERVICE = "tutor";
    private static final String ID = "i-tutor-1";
    private static final List<String> MODELS = List.of("mA", "mB", "mC");
    private static final double WEIGHTS_MB = 72_700;
    private static final double CAPACITY_MB = 200_000;
    private static final long STORE_LOAD_MILLIS = 1_200;
    private static final long DISK_LOAD_MILLIS = 520;
    private static final long UNLOAD_MILLIS = 60;
    private static final long LATE_MILLIS = 10_000;
    private static final long CRASH_AFTER_MILLIS = 600;
    private static final long DOWN_MILLIS = 1_500;
    private static final long REQUEST_INTERVAL_MILLIS = 60;
    private static final long FIRST_DEMAND_MILLIS = 500;
    private static final long RUN_MILLIS = 13_000;

    private final Record record;
    private final boolean trouble;
    private final ObjectMapper json = new ObjectMapper();
    private final Map<String, Set<String>> held = new TreeMap<>();
    private final Set<String> onDisk = new TreeSet<>();
    private final Map<String, Integer> statuses = new TreeMap<>();
    private volatile Optional<IOException> failure = Optional.empty();
    private Deployment deployment;
    private RawServer server;
    private int port;
    private String loading = "";
    private String unloading = "";
    private long busyUntilNanos;
    private long ordersAccepted;
    private long highestFence;
    private boolean lateOrderSent;
    private boolean overloaded;
    private volatile boolean wantsC = true;
    private long startNanos;

    private LateOrder(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) {
        Case.main(arguments, (deployment, record, trouble) -> new LateOrder(record, trouble).run(deployment));
    }

    private boolean run(Deployment parts) throws IOException {
        deployment = parts;
        deployment.configure(config());
        synchronized (this) {
            held.put("mA", new TreeSet<>());
            held.put("mB", new TreeSet<>());
            onDisk.addAll(List.of("mA", "mB"));
            server = new RawServer((connection, request, socket) -> answer(request, socket.getOutputStream()), "runner");
            port = server.port();
            deployment.register(ID, SERVICE, port, 64);
            writeEntry();
        }
        deployment.startNode(0);
        deployment.awaitReady(0);
        Deployment.pause(2_500);
        startNanos = System.nanoTime();
        int number = 0;
        while (sinceStartMillis() < RUN_MILLIS) {
            request("r" + number, model(number));
            number++;
            Deployment.pause(REQUEST_INTERVAL_MILLIS);
            tick();
        }
        record.add("answers by model: " + statuses);
        if (failure.isPresent()) {
            throw failure.get();
        }
        return !overloaded;
    }

    /** An adapter of mA is asked for once, mA throughout, mC at first, and mB later. */
    private String model(int number) {
        if (number == 0) {
            return "mA/a1";
        }
        boolean early = sinceStartMillis() < FIRST_DEMAND_MILLIS;
        return number % 2 == 0 || early ? "mA" : wantsC ? "mC" : "mB";
    }

    private long sinceStartMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    private ObjectNode config() {
        ObjectNode root = deployment.newConfig(7);
        ObjectNode route = root.withArray("routes").addObject();
        route.put("name", "r-chat").put("host", "tutor.example").put("pathPrefix", "/chat/");
        route.put("routeKind", "streaming").put("timeoutMs", 5_000).put("targetLatencyMs", 800);
        route.put("priority", 1).put("service", SERVICE).put("maxAttempts", 1).put("sticky", true);
        route.put("resumable", false).put("gapTargetMs", 250);
        ObjectNode service = root.withArray("services").addObject();
        service.put("name", SERVICE).put("healthPath", "/health").put("maxConns", 360);
        ObjectNode engine = service.putObject("engine");
        engine.put("slots", 64).put("kvCapacity", 232_000).put("weightsMb", CAPACITY_MB).put("adapterSlots", 5);
        engine.put("loadsPerS", 1.1);
        ArrayNode models = engine.putArray("models");
        for (String name : MODELS) {
            models.addObject().put("name", name).put("weightsMb", WEIGHTS_MB).put("loadS", STORE_LOAD_MILLIS / 1e3)
                    .put("adapters", 4).put("adapterMb", 66.0).put("warmS", 0.4).put("diskS", DISK_LOAD_MILLIS / 1e3);
        }
        return root;
    }

    private void request(String id, String model) {
        String status = "no answer";
        try (Socket socket = new Socket()) {
            socket.connect(deployment.front(0), 1_000);
            socket.setSoTimeout(400);
            String body = "chat " + id;
            RawServer.write(
                    socket.getOutputStream(),
                    "POST /chat/1 HTTP/1.1\r\nHost: tutor.example\r\nX-Agatehatch-Attempt-Id: " + id
                            + "\r\nX-Agatehatch-Model: " + model + "\r\nX-Agatehatch-Token-Count: 800,60"
                            + "\r\nX-Agatehatch-Prompt-Prefix: " + Integer.toHexString(id.hashCode()) + ":800"
                            + "\r\nX-Agatehatch-Deadline-Ms: 5000\r\nConnection: close\r\nContent-Length: "
                            + body.length() + "\r\n\r\n" + body);
            RawServer.Request answer = RawServer.read(socket.getInputStream());
            status = answer == null ? "closed" : answer.line.split(" ")[1];
        } catch (IOException e) {
            status = "left";
        }
        statuses.merge(model + " " + status, 1, Integer::sum);
        if (overloaded) {
            record.add("client: request for " + model + ": " + status);
        }
    }

    /** Writes the runner's entry. */
    private synchronized void writeEntry() {
        ObjectNode entry = deployment.entry(ID).put("stage", "colocated");
        models(entry.putArray("models"));
        ObjectNode atHand = entry.putObject("atHand");
        atHand.putArray("inMemory");
        ArrayNode disk = atHand.putArray("onDisk");
        onDisk.forEach(disk::add);
        deployment.write(ID);
    }

    private void models(ArrayNode list) {
        held.forEach((model, adapters) -> {
            ArrayNode names = list.addObject().put("name", model).put("version", 1).putArray("adapters");
            adapters.forEach(names::add);
        });
    }

    /** Ends the order in progress if its time is over. */
    private synchronized void tick() {
        if ((loading.isEmpty() && unloading.isEmpty()) || System.nanoTime() < busyUntilNanos) {
            return;
        }
        if (!loading.isEmpty()) {
            held.put(loading, new TreeSet<>());
            onDisk.add(loading);
        }
        held.remove(unloading);
        record.add("runner: holds " + held + ", orders accepted: " + ordersAccepted);
        loading = "";
        unloading = "";
        writeEntry();
    }

    private boolean answer(RawServer.Request request, OutputStream out) throws IOException {
        tick();
        if (request.line.contains(" /v1/report")) {
            RawServer.write(out, withBody("200 OK", report()));
            return true;
        }
        if (request.line.contains(" /v1/order")) {
            JsonNode order = json.readTree(request.body);
            if (isFirstLoadOfC(order)) {
                // From now on mB is asked for again, and mC no more.
                wantsC = false;
                if (trouble) {
                    startLateOrder(order);
                    return true;
                }
            }
            int status = carryOut(order, request.header("X-Agatehatch-Expect-Instance"));
            if (status > 0) {
                RawServer.write(out, "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n");
            }
            return status > 0;
        }
        return stream(request, out);
    }

    private synchronized boolean isFirstLoadOfC(JsonNode order) {
        boolean first = !lateOrderSent
                && order.path("op").asText().equals("load")
                && order.path("model").asText().equals("mC")
                && !order.has("adapter");
        boolean sound = order.path("precondition").asLong() == ordersAccepted && unloading.isEmpty();
        lateOrderSent |= first && sound;
        return first && sound;
    }

    private void startLateOrder(JsonNode order) {
        record.add("runner: leaves an order unanswered: " + order);
        Thread late = new Thread(() -> {
            Deployment.pause(LATE_MILLIS);
            tick();
            record.add("runner: carries the order out late: " + order);
            carryOut(order, ID);
        });
        late.setDaemon(true);
        late.start();
        Thread crash = new Thread(() -> {
            Deployment.pause(CRASH_AFTER_MILLIS);
            try {
                crashAndRestart();
            } catch (IOException e) {
                failure = Optional.of(e);
            }
        });
        crash.setDaemon(true);
        crash.start();
    }

    private void crashAndRestart() throws IOException {
        synchronized (this) {
            server.crash();
            record.add("runner: crashes");
        }
        Deployment.pause(DOWN_MILLIS);
        synchronized (this) {
            held.clear();
            loading = "";
            unloading = "";
            ordersAccepted = 0;
            highestFence = 0;
            server = new RawServer(
                    (connection, request, socket) -> answer(request, socket.getOutputStream()), "runner", port);
            deployment.entry(ID).put("born", System.currentTimeMillis());
            writeEntry();
            record.add("runner: starts again under its id, holds nothing, orders accepted: 0");
        }
    }

    private synchronized String report() {
        ObjectNode report = json.createObjectNode().put("stage", "colocated");
        models(report.putArray("models"));
        report.put("busy", !loading.isEmpty() || !unloading.isEmpty()).put("seq", ordersAccepted);
        report.put("queueDepth", 0).put("inFlight", 1).put("kvUsed", 1_000).put("kvTotal", 232_000).put("handles", 0);
        report.set("born", deployment.entry(ID).get("born"));
        return report.toString();
    }

    /** Carries an order out as the pages say, and returns the status of its answer; 0 if the runner crashed. */
    private synchronized int carryOut(JsonNode order, String expectedId) {
        int status = status(order, expectedId);
        record.add("runner: order " + order + " -> " + status);
        return status;
    }

    private int status(JsonNode order, String expectedId) {
        String model = order.path("model").asText();
        boolean load = order.path("op").asText().equals("load");
        if (!expectedId.equals(ID)) {
            return 421;
        }
        if (order.path("fence").asLong() < highestFence) {
            return 412;
        }
        highestFence = order.path("fence").asLong();
        boolean busy = !loading.isEmpty() || !unloading.isEmpty();
        if (order.path("precondition").asLong() != ordersAccepted || busy) {
            return 409;
        }
        if (order.has("adapter")) {
            ordersAccepted++;
            Set<String> adapters = held.getOrDefault(model, new TreeSet<>());
            if (load) {
                adapters.add(order.path("adapter").asText());
                return 202;
            }
            adapters.remove(order.path("adapter").asText());
            return 200;
        }
        if (load == held.containsKey(model)) {
            return 200;
        }
        ordersAccepted++;
        if (!load) {
            unloading = model;
            busyUntilNanos = System.nanoTime() + UNLOAD_MILLIS * 1_000_000;
            return 202;
        }
        double neededMb = (held.size() + 1) * WEIGHTS_MB;
        if (neededMb > CAPACITY_MB) {
            record.add(String.format(
                    Locale.ROOT,
                    "LIMIT: the runner holds %s and has to load %s: %.0f MB of %.0f MB; it crashes",
                    held.keySet(), model, neededMb, CAPACITY_MB));
            overloaded = true;
            try {
                server.crash();
            } catch (IOException e) {
                failure = Optional.of(e);
            }
            return 0;
        }
        loading = model;
        long loadMillis = onDisk.contains(model) ? DISK_LOAD_MILLIS : STORE_LOAD_MILLIS;
        busyUntilNanos = System.nanoTime() + loadMillis * 1_000_000;
        return 202;
    }

    private boolean stream(RawServer.Request request, OutputStream out) throws IOException {
        String[] wanted = request.header("X-Agatehatch-Model").split("/");
        boolean present;
        synchronized (this) {
            present = held.containsKey(wanted[0])
                    && !unloading.equals(wanted[0])
                    && (wanted.length == 1 || held.get(wanted[0]).contains(wanted[1]));
        }
        String id = request.attempt();
        if (!present) {
            RawServer.write(
                    out,
                    "HTTP/1.1 421 Misdirected Request\r\nX-Agatehatch-Attempt-Id: " + id
                            + "\r\nX-Agatehatch-Instance-Id: " + ID + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        Deployment.pause(25);
        String text = "id: 1\ndata: tokens of " + id + "\n\n";
        RawServer.write(
                out,
                "HTTP/1.1 200 OK\r\nX-Agatehatch-Attempt-Id: " + id + "\r\nX-Agatehatch-Response-Seal: s." + id
                        + "\r\nContent-Type: text/event-stream\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
        return true;
    }

    private static String withBody(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body;
    }
}
