package org.agatehatch.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Nodes of the deploy file as separate processes on loopback addresses, beside a store stand-in. The settings are those of a
 * small deployment of the users' pages.
 */
final class Deployment implements AutoCloseable {
    private static final long START_TIMEOUT_MILLIS = 40_000;

    /** Renewal interval of the runners' entries. */
    private static final long HEARTBEAT_MILLIS = 1_200;

    final StoreStandIn store = new StoreStandIn();
    private final ObjectMapper json = new ObjectMapper();
    private final Record record;
    private final Path folder = Files.createTempDirectory("agatehatch-review");
    private final Map<Integer, Process> nodes = new HashMap<>();
    private final Map<String, ObjectNode> entries = new HashMap<>();
    private final Map<String, Long> renewals = new HashMap<>();
    private final int frontPort = freePort();
    private final int readyPort = freePort();
    private final int controlPort = freePort();
    private final int directoryPort = freePort();
    private final int firstInnerPort = freePorts(4);
    private volatile boolean closed;

    Deployment(Record record) throws IOException {
        this.record = record;
        Thread renewer = new Thread(this::renewEntries, "heartbeats");
        renewer.setDaemon(true);
        renewer.start();
    }

    static String host(int index) {
        return "127.0.0." + (index + 1);
    }

    InetSocketAddress front(int index) throws IOException {
        return new InetSocketAddress(InetAddress.getByName(host(index)), frontPort);
    }

    void startNode(int index) throws IOException {
        ObjectNode settings = json.createObjectNode();
        settings.put("node", "edge-" + index).put("role", "edge").put("machineClass", "edge");
        settings.put("ip", host(index)).put("zone", "z" + index).put("region", "r");
        settings.putArray("innerPorts").add(firstInnerPort).add(firstInnerPort + 3);
        settings.putArray("seeds").add(host(0) + ":" + controlPort);
        settings.put("bootstrap", true).put("discovery", "platform").put("entry", "directory");
        settings.put("heartbeatMs", HEARTBEAT_MILLIS);
        settings.putObject("listen")
                .put("front", host(index) + ":" + frontPort)
                .put("ready", host(index) + ":" + readyPort)
                .put("control", host(index) + ":" + controlPort)
                .put("directory", host(index) + ":" + directoryPort);
        settings.putObject("limits").put("cpuShare", 0.75).put("cores", 1).put("memoryMb", 430);
        settings.putObject("bounds")
                .put("addrReuseS", 2)
                .put("contactMs", 3_000)
                .put("drainMs", 2_000)
                .put("graceS", 8)
                .put("configApplyMs", 2_000)
                .put("retryBudgetRatio", 0.2)
                .put("budgetWindowS", 10)
                .put("retryBudgetSlack", 56)
                .put("fencingEnforced", true)
                .put("leaseMs", 3_000)
                .put("ceilingWindowS", 5)
                .put("ceilingOvershoot", 1.1)
                .put("ttl_max_s", 5);
        settings.putObject("platform").put("addr", store.address().toString()).put("form", "log");
        Path file = folder.resolve("settings-" + index + ".json");
        Files.writeString(file, settings.toString());
        ProcessBuilder builder = new ProcessBuilder(runCommand());
        builder.environment().put("AGATEHATCH_NODE_FILE", file.toString());
        builder.redirectErrorStream(true).redirectOutput(folder.resolve("node-" + index + ".log").toFile());
        nodes.put(index, builder.start());
    }

    /** Returns the words of the deploy file's line {@code run}. */
    private static List<String> runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("the deploy file has no line 'run'");
    }

    Process node(int index) {
        return nodes.get(index);
    }

    String log(int index) throws IOException {
        return Files.readString(folder.resolve("node-" + index + ".log"));
    }

    void awaitReady(int index) throws IOException {
        await("node " + index + " is ready", START_TIMEOUT_MILLIS, () -> isReady(index));
    }

    boolean isReady(int index) {
        try {
            URI uri = URI.create("http://" + host(index) + ":" + readyPort + "/v1/readiness");
            HttpURLConnection call = (HttpURLConnection) uri.toURL().openConnection();
            call.setConnectTimeout(500);
            call.setReadTimeout(500);
            int status = call.getResponseCode();
            InputStream body = status < 400 ? call.getInputStream() : call.getErrorStream();
            if (body != null) {
                body.readAllBytes();
            }
            return status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    static void await(String what, long timeoutMillis, BooleanSupplier condition) throws IOException {
        long untilNanos = System.nanoTime() + timeoutMillis * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > untilNanos) {
                throw new IOException("not seen in time: " + what);
            }
            pause(50);
        }
    }

    static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the operator's configuration. */
    void configure(ObjectNode config) {
        store.put("keyed.op", "config", config.toString());
        record.add("operator writes configuration " + config.path("version").asLong());
    }

    /** Returns a configuration with the limits of the users' pages, and without routes and services. */
    ObjectNode newConfig(long version) {
        ObjectNode root = json.createObjectNode().put("version", version);
        root.putObject("limits")
                .put("maxHeaderBytes", 16_384)
                .put("maxBodyBytes", 4_194_304)
                .put("headerTimeoutMs", 3_000)
                .put("idleTimeoutMs", 15_000);
        return root;
    }

    /** Registers a server and renews its entry until it is changed. */
    synchronized void register(String id, String service, int port, int slots) {
        ObjectNode entry = json.createObjectNode();
        entry.put("service", service).put("addr", "127.0.0.1:" + port).put("zone", "z0").put("version", "v1");
        entry.put("slots", slots).put("state", "ready").put("coldLeftMs", 0).put("born", System.currentTimeMillis());
        entries.put(id, entry);
        write(id);
    }

    synchronized ObjectNode entry(String id) {
        return entries.get(id);
    }

    /** Writes a server's entry with the next count. */
    synchronized void write(String id) {
        long count = renewals.merge(id, 1L, Long::sum);
        store.put("keyed.servers", id, entries.get(id).put("seq", count).toString());
    }

    private void renewEntries() {
        while (!closed) {
            pause(HEARTBEAT_MILLIS);
            synchronized (this) {
                List.copyOf(entries.keySet()).forEach(this::write);
            }
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private static int freePorts(int count) throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            int first = freePort();
            if (first + count < 65_000 && areFree(first, count)) {
                return first;
            }
        }
        throw new IOException("no range of free ports was found");
    }

    private static boolean areFree(int first, int count) {
        List<ServerSocket> held = new ArrayList<>();
        try {
            for (int port = first; port < first + count; port++) {
                held.add(new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")));
            }
            return true;
        } catch (IOException e) {
            return false;
        } finally {
            for (ServerSocket socket : held) {
                try {
                    socket.close();
                } catch (IOException e) {
                    System.err.println("a port was not released: " + e.getMessage());
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        for (Map.Entry<Integer, Process> node : nodes.entrySet()) {
            node.getValue().destroyForcibly();
            try {
                node.getValue().waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        store.close();
        for (Map.Entry<Integer, Process> node : nodes.entrySet()) {
            record.addAll("node " + node.getKey() + ": ", log(node.getKey()));
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }
}
