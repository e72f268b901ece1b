import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases of this review share: a node started by the deploy file, the platform's store, a link that can be cut, a client. */
final class Kit {
    static final String HOST = "127.0.0.1";
    static final int HEARTBEAT_MILLIS = 1_200;
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long START_NANOS = System.nanoTime();
    private static final StringBuilder RECORD = new StringBuilder();
    private static final List<Process> STARTED = new ArrayList<>();
    private static Path temporary;

    private Kit() {}

    /** What a case does. It returns whether the rule was broken. */
    interface Case {
        boolean run() throws Exception;
    }

    /** Runs a case, writes its record, ends all processes that it started, and exits with 1, 0 or 2. */
    static void main(String folder, Case work) {
        int exit = 2;
        Thread limit = new Thread(() -> {
            sleep(110_000);
            note("the case takes too long");
            finish(folder, 2);
        });
        limit.setDaemon(true);
        limit.start();
        try {
            temporary = Files.createTempDirectory("review-2-");
            note("trouble: " + TROUBLE);
            exit = work.run() ? 1 : 0;
        } catch (Throwable e) {
            note("the case could not run: " + e);
        }
        finish(folder, exit);
    }

    private static synchronized void finish(String folder, int exit) {
        for (Process process : List.copyOf(STARTED)) {
            process.destroyForcibly();
        }
        note(exit == 1 ? "BROKEN" : exit == 0 ? "held" : "could not run");
        try {
            Files.writeString(Path.of(folder, "record.txt"), RECORD.toString());
            if (temporary != null) {
                try (var files = Files.list(temporary)) {
                    for (Path file : files.toList()) {
                        Files.delete(file);
                    }
                }
                Files.delete(temporary);
            }
        } catch (IOException e) {
            System.out.println(e);
        }
        Runtime.getRuntime().halt(exit);
    }

    /** Adds a line to the record. */
    static synchronized void note(String text) {
        String line = String.format("%8.3f s  %s%n", (System.nanoTime() - START_NANOS) / 1e9, text);
        RECORD.append(line);
        System.out.print(line);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void await(String what, long millis, java.util.concurrent.Callable<Boolean> condition) throws Exception {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!condition.call()) {
            if (System.nanoTime() > until) {
                throw new IllegalStateException("waited in vain for " + what);
            }
            sleep(10);
        }
    }

    static Thread daemon(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The connection or the listener has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface IoTask {
        void run() throws IOException;
    }

    static int freePort() throws IOException {
        return freePort(HOST);
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    /** Returns a port that, with the 15 after it, is free at the addresses of some nodes, below those of outgoing connections. */
    static int freeInnerPort(List<String> hosts) throws IOException {
        for (int tried = 0; tried < 200; tried++) {
            int port = 20_000 + 16 * java.util.concurrent.ThreadLocalRandom.current().nextInt(700);
            boolean free = true;
            for (String host : hosts) {
                for (int next = port; next < port + 16; next++) {
                    try (ServerSocket socket = new ServerSocket(next, 1, InetAddress.getByName(host))) {
                        free &= socket.isBound();
                    } catch (IOException e) {
                        free = false;
                    }
                }
            }
            if (free) {
                return port;
            }
        }
        throw new IOException("no free ports");
    }

    /** Starts a process, whose output goes to a temporary file. */
    static Process start(String name, Map<String, String> environment, List<String> command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(temporary.resolve(name + "-" + STARTED.size() + ".log").toFile());
        builder.environment().putAll(environment);
        Process process = builder.start();
        STARTED.add(process);
        return process;
    }

    /** Returns the lines that a process wrote so far that hold a text. */
    static List<String> output(String name, String text) throws IOException {
        List<String> found = new ArrayList<>();
        try (var files = Files.list(temporary)) {
            for (Path file : files.filter(path -> path.getFileName().toString().startsWith(name + "-")).toList()) {
                for (String line : Files.readAllLines(file, StandardCharsets.ISO_8859_1)) {
                    if (line.contains(text)) {
                        found.add(line);
                    }
                }
            }
        }
        return found;
    }

    static void signal(Process process, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    static List<String> java(String main, String... arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), main));
        command.addAll(List.of(arguments));
        return command;
    }

    /** A node, started with the command of the deploy file. */
    static final class Node {
        final String name;
        final String host;
        final int front;
        final int ready;
        final int directory;
        private final Path settings;
        Process process;

        /**
         * Starts a node.
         *
         * @param innerPort first port between nodes, the same on all nodes
         */
        Node(String name, String host, int store, int innerPort, List<String> seeds) throws IOException {
            this.name = name;
            this.host = host;
            front = freePort(host);
            ready = freePort(host);
            directory = freePort(host);
            settings = temporary.resolve(name + ".json");
            String seedList = seeds.stream().map(seed -> "\"" + seed + "\"").reduce((a, b) -> a + "," + b).orElse("");
            Files.writeString(settings, "{\"node\":\"" + name + "\",\"role\":\"edge\",\"machineClass\":\"edge\","
                    + "\"serves\":[\"edge\",\"control\",\"directory\"],\"ip\":\"" + host + "\",\"zone\":\"mvd-a\","
                    + "\"region\":\"uy-sur\",\"zones\":{\"mvd-a\":\"uy-sur\"},\"listen\":{\"front\":\"" + host + ":" + front
                    + "\",\"ready\":\"" + host + ":" + ready + "\",\"control\":\"" + host + ":" + innerPort
                    + "\",\"directory\":\"" + host + ":" + directory + "\"},\"innerPorts\":[" + innerPort + ","
                    + (innerPort + 15) + "],\"seeds\":[" + seedList + "],\"bootstrap\":true,\"countsAsLoss\":false,"
                    + "\"limits\":{\"cpuShare\":0.75,\"cores\":1,\"memoryMb\":430,\"maxFds\":4100,\"linkMbps\":1000.0,"
                    + "\"diskMb\":0},\"discovery\":\"platform\",\"entry\":\"directory\",\"heartbeatMs\":" + HEARTBEAT_MILLIS
                    + ",\"faultTolerance\":{\"machines\":2,\"zones\":0,\"regions\":0},\"bounds\":{\"seedLagS\":3,"
                    + "\"addrReuseS\":2,\"contactMs\":3000,\"ackMs\":4000,\"catchUpS\":4,\"drainMs\":2000,\"graceS\":8,"
                    + "\"lossSlackMs\":200,\"configApplyMs\":2000,\"downgradeSlackMs\":250,\"stretchMaxMs\":5000,"
                    + "\"retryBudgetRatio\":0.2,\"budgetWindowS\":10,\"retryBudgetSlack\":52,\"recoverS\":12,\"passMs\":120,"
                    + "\"retryAfterS\":0,\"fencingEnforced\":true,\"leaseMs\":3000,\"thawSlackMs\":300,\"ceilingWindowS\":5,"
                    + "\"ceilingOvershoot\":1.1,\"ttl_max_s\":5},\"platform\":{\"addr\":\"" + HOST + ":" + store
                    + "\",\"form\":\"log\",\"writesPerS\":400,\"readsPerS\":2000,\"parts\":24,\"appendMs\":1.0,"
                    + "\"partMbPerS\":20.0,\"readMbPerS\":80.0,\"recordBytes\":262144,\"callBytes\":2097152,\"keep_s\":20,"
                    + "\"partMb\":200,\"ttlMinMs\":1000}}");
            launch();
        }

        void launch() throws IOException {
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
            if (!run.find()) {
                throw new IOException("deploy/system.toml has no command");
            }
            List<String> command = Arrays.asList(run.group(1).split(" "));
            process = start(name, Map.of("AGATEHATCH_NODE_FILE", settings.toString()), command);
        }

        boolean isReady() {
            try {
                return new Client(host, ready, "GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1_000)
                                .status()
                        == 200;
            } catch (IOException e) {
                return false;
            }
        }
    }

    /** One request on a connection of its own, and what came back. */
    static final class Client {
        final String head;
        final byte[] body;
        /** Whether the answer ended as its head and chunks say. */
        final boolean complete;

        Client(String host, int port, String request, int timeoutMillis) throws IOException {
            this(host, port, request.getBytes(StandardCharsets.ISO_8859_1), timeoutMillis);
        }

        Client(String host, int port, byte[] request, int timeoutMillis) throws IOException {
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            boolean ended = false;
            long until = System.nanoTime() + timeoutMillis * 1_000_000L;
            try (Socket socket = new Socket(host, port)) {
                socket.getOutputStream().write(request);
                byte[] buffer = new byte[65_536];
                while (!ended && System.nanoTime() < until) {
                    socket.setSoTimeout((int) Math.max(1, (until - System.nanoTime()) / 1_000_000));
                    int count;
                    try {
                        count = socket.getInputStream().read(buffer);
                    } catch (IOException e) {
                        break;
                    }
                    if (count < 0) {
                        break;
                    }
                    received.write(buffer, 0, count);
                    ended = isWhole(received.toString(StandardCharsets.ISO_8859_1));
                }
            }
            String text = received.toString(StandardCharsets.ISO_8859_1);
            int end = text.indexOf("\r\n\r\n");
            head = end < 0 ? text : text.substring(0, end);
            complete = ended;
            body = end < 0 ? new byte[0] : content(text.substring(end + 4));
        }

        private static boolean isWhole(String text) {
            int end = text.indexOf("\r\n\r\n");
            if (end < 0) {
                return false;
            }
            String fields = text.substring(0, end).toLowerCase();
            if (fields.contains("transfer-encoding: chunked")) {
                return text.endsWith("\r\n0\r\n\r\n");
            }
            Matcher length = Pattern.compile("content-length: (\\d+)").matcher(fields);
            return length.find() && text.length() - end - 4 >= Integer.parseInt(length.group(1));
        }

        private byte[] content(String raw) {
            if (!head.toLowerCase().contains("transfer-encoding: chunked")) {
                return raw.getBytes(StandardCharsets.ISO_8859_1);
            }
            StringBuilder joined = new StringBuilder();
            int at = 0;
            while (at < raw.length()) {
                int line = raw.indexOf("\r\n", at);
                if (line < 0) {
                    break;
                }
                int size = Integer.parseInt(raw.substring(at, line), 16);
                int from = line + 2;
                joined.append(raw, from, Math.min(raw.length(), from + size));
                at = from + size + 2;
                if (size == 0) {
                    break;
                }
            }
            return joined.toString().getBytes(StandardCharsets.ISO_8859_1);
        }

        int status() {
            return head.startsWith("HTTP/1.1 ") ? Integer.parseInt(head.substring(9, 12)) : 0;
        }

        String field(String name) {
            return head.lines()
                    .filter(line -> line.toLowerCase().startsWith(name.toLowerCase() + ":"))
                    .map(line -> line.substring(name.length() + 1).strip())
                    .findFirst()
                    .orElse("");
        }
    }

    /** A link to an address. While it is cut, what is sent on open connections is held up, and new ones are refused. */
    static final class Link {
        final int port;
        private final int target;
        private ServerSocket listening;
        private boolean cut;

        Link(int target) throws IOException {
            this.target = target;
            port = freePort();
            listen();
        }

        private void listen() throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(HOST, port), 256);
            listening = socket;
            daemon(() -> {
                while (true) {
                    Socket near = socket.accept();
                    daemon(() -> connect(near));
                }
            });
        }

        private void connect(Socket near) throws IOException {
            Socket far;
            try {
                far = new Socket(HOST, target);
            } catch (IOException e) {
                near.setSoLinger(true, 0);
                near.close();
                return;
            }
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            daemon(() -> copy(near, far));
            daemon(() -> copy(far, near));
        }

        private void copy(Socket from, Socket to) throws IOException {
            byte[] buffer = new byte[65_536];
            while (true) {
                int count;
                try {
                    count = from.getInputStream().read(buffer);
                } catch (IOException e) {
                    awaitWhole();
                    to.setSoLinger(true, 0);
                    to.close();
                    return;
                }
                awaitWhole();
                if (count < 0) {
                    to.shutdownOutput();
                    return;
                }
                to.getOutputStream().write(buffer, 0, count);
            }
        }

        private synchronized void awaitWhole() {
            while (cut) {
                try {
                    wait();
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
        }

        synchronized void cut() throws IOException {
            cut = true;
            listening.close();
        }

        synchronized void heal() throws IOException {
            listen();
            cut = false;
            notifyAll();
        }
    }

    /** The platform's store as its pages describe it: logs, keyed topics, groups; and the entries that runners renew. */
    static final class Store {
        private final Map<String, List<byte[]>> topics = new HashMap<>();
        private final Map<String, Long> members = new TreeMap<>();
        private final List<String> groupTopics = new ArrayList<>();
        private final Map<String, Long> renewed = new HashMap<>();
        private final HttpServer server;
        private long generation;

        Store() throws IOException {
            server = HttpServer.create(new InetSocketAddress(HOST, 0), 256);
            server.setExecutor(Executors.newCachedThreadPool(task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
            }));
            server.createContext("/", this::handle);
            server.start();
            daemon(() -> {
                while (true) {
                    sleep(50);
                    lapse();
                }
            });
        }

        int port() {
            return server.getAddress().getPort();
        }

        private synchronized void lapse() {
            long now = System.nanoTime();
            for (String id : List.copyOf(renewed.keySet())) {
                if (now - renewed.get(id) > 3L * HEARTBEAT_MILLIS * 1_000_000) {
                    renewed.remove(id);
                    note("store: the entry of " + id + " is removed after three intervals of silence");
                    put("keyed.servers", id, new byte[0]);
                }
            }
        }

        synchronized void put(String topic, String key, byte[] value) {
            byte[] name = key.getBytes(StandardCharsets.UTF_8);
            topics.computeIfAbsent(topic + "/0", t -> new ArrayList<>())
                    .add(ByteBuffer.allocate(5 + name.length + value.length)
                            .putInt(1 + name.length + value.length)
                            .put((byte) name.length)
                            .put(name)
                            .put(value)
                            .array());
            notifyAll();
        }

        void put(String topic, String key, String value) {
            put(topic, key, value.getBytes(StandardCharsets.UTF_8));
        }

        private void handle(HttpExchange call) throws IOException {
            try (call) {
                byte[] body = call.getRequestBody().readAllBytes();
                Map<String, String> query = query(call);
                String path = call.getRequestURI().getPath();
                if (path.startsWith("/servers/")) {
                    renew(call, path.substring(9), body);
                    return;
                }
                switch (path) {
                    case "/v1/log-append" -> append(call, query, body);
                    case "/v1/log-read" -> read(call, query);
                    case "/v1/log-newest" -> newest(call, query);
                    case "/v1/log-join" -> join(call, new String(body, StandardCharsets.UTF_8));
                    case "/v1/log-leave" -> leave(call, new String(body, StandardCharsets.UTF_8));
                    case "/v1/log-owners" -> owners(call);
                    default -> respond(call, 404, "{}");
                }
            }
        }

        private void renew(HttpExchange call, String id, byte[] body) throws IOException {
            synchronized (this) {
                renewed.put(id, System.nanoTime());
                put("keyed.servers", id, body);
            }
            respond(call, 200, "{}");
        }

        /** Waits for the next time that a runner writes its entry. */
        synchronized void awaitRenewal(String id) throws InterruptedException {
            Long before = renewed.get(id);
            while (java.util.Objects.equals(renewed.get(id), before)) {
                wait(100);
            }
        }

        private List<byte[]> topic(Map<String, String> query) {
            return topics.computeIfAbsent(query.get("topic") + "/" + query.getOrDefault("part", "0"), t -> new ArrayList<>());
        }

        private void append(HttpExchange call, Map<String, String> query, byte[] body) throws IOException {
            int status = 200;
            String answer;
            synchronized (this) {
                List<byte[]> records = topic(query);
                int offset = records.size();
                if (query.containsKey("at") && Long.parseLong(query.get("at")) != offset) {
                    status = 412;
                } else {
                    ByteBuffer rest = ByteBuffer.wrap(body);
                    while (rest.hasRemaining()) {
                        byte[] record = new byte[4 + rest.getInt(rest.position())];
                        rest.get(record);
                        records.add(record);
                    }
                    notifyAll();
                }
                answer = "{\"offset\":" + offset + ",\"end\":" + records.size() + "}";
            }
            respond(call, status, answer);
        }

        private void read(HttpExchange call, Map<String, String> query) throws IOException {
            int from = Integer.parseInt(query.get("from"));
            long until = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            int status = 200;
            synchronized (this) {
                while (topic(query).size() == from && System.nanoTime() < until) {
                    try {
                        wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                }
                List<byte[]> records = topic(query);
                if (from > records.size()) {
                    status = 410;
                    answer.writeBytes("{\"first\":0}".getBytes(StandardCharsets.UTF_8));
                } else {
                    answer.writeBytes(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
                    for (byte[] record : records.subList(from, records.size())) {
                        if (answer.size() > 100_000) {
                            break;
                        }
                        answer.writeBytes(record);
                    }
                }
            }
            respond(call, status, answer.toByteArray());
        }

        private void newest(HttpExchange call, Map<String, String> query) throws IOException {
            Map<String, String> items = new TreeMap<>();
            int end;
            synchronized (this) {
                List<byte[]> records = topic(query);
                end = records.size();
                for (int offset = 0; offset < end; offset++) {
                    ByteBuffer record = ByteBuffer.wrap(records.get(offset), 4, records.get(offset).length - 4);
                    byte[] key = new byte[Byte.toUnsignedInt(record.get())];
                    record.get(key);
                    byte[] value = new byte[record.remaining()];
                    record.get(value);
                    String name = new String(key, StandardCharsets.UTF_8);
                    if (value.length == 0) {
                        items.remove(name);
                    } else {
                        items.put(name, "{\"key\":\"" + name + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value)
                                + "\",\"offset\":" + offset + "}");
                    }
                }
            }
            respond(call, 200, "{\"items\":[" + String.join(",", items.values()) + "],\"more\":false,\"end\":" + end + "}");
        }

        private static String text(String body, String field) {
            Matcher found = Pattern.compile("\"" + field + "\":\"?([^\",}]*)").matcher(body);
            return found.find() ? found.group(1) : "";
        }

        private void join(HttpExchange call, String body) throws IOException {
            String member = text(body, "member");
            StringBuilder parts = new StringBuilder();
            long now;
            synchronized (this) {
                expire();
                Matcher listed = Pattern.compile("\"topics\":\\[([^]]*)]").matcher(body);
                if (listed.find() && groupTopics.isEmpty()) {
                    groupTopics.addAll(Arrays.asList(listed.group(1).replace("\"", "").split(",")));
                }
                long until = System.nanoTime() + Long.parseLong(text(body, "ttlMs")) * 1_000_000;
                if (members.put(member, until) == null) {
                    generation++;
                }
                ownership().forEach((part, owner) -> {
                    if (owner.equals(member)) {
                        parts.append(parts.length() > 0 ? "," : "").append("[").append(part).append(",0]");
                    }
                });
                now = generation;
            }
            respond(call, 200, "{\"generation\":" + now + ",\"ttlMs\":" + text(body, "ttlMs") + ",\"parts\":[" + parts + "]}");
        }

        private void expire() {
            long now = System.nanoTime();
            if (members.values().removeIf(until -> until < now)) {
                generation++;
            }
        }

        private Map<String, String> ownership() {
            Map<String, String> owners = new LinkedHashMap<>();
            List<String> names = List.copyOf(members.keySet());
            for (String topic : groupTopics) {
                for (int part = 0; part < 24 && !names.isEmpty(); part++) {
                    owners.put("\"" + topic + "\"," + part, names.get(owners.size() % names.size()));
                }
            }
            return owners;
        }

        private void leave(HttpExchange call, String body) throws IOException {
            synchronized (this) {
                if (members.remove(text(body, "member")) != null) {
                    generation++;
                }
            }
            respond(call, 200, "{}");
        }

        private void owners(HttpExchange call) throws IOException {
            StringBuilder rows = new StringBuilder();
            synchronized (this) {
                expire();
                ownership().forEach((part, owner) -> rows.append(rows.length() > 0 ? "," : "")
                        .append("[").append(part).append(",\"").append(owner).append("\",0]"));
            }
            respond(call, 200, "{\"owners\":[" + rows + "]}");
        }

        private static Map<String, String> query(HttpExchange call) {
            Map<String, String> values = new HashMap<>();
            String raw = call.getRequestURI().getRawQuery();
            if (raw != null) {
                for (String pair : raw.split("&")) {
                    String[] parts = pair.split("=", 2);
                    values.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
                }
            }
            return values;
        }

        private static void respond(HttpExchange call, int status, String answer) throws IOException {
            respond(call, status, answer.getBytes(StandardCharsets.UTF_8));
        }

        private static void respond(HttpExchange call, int status, byte[] answer) throws IOException {
            call.getResponseHeaders().set("Store-Era", "0");
            call.sendResponseHeaders(status, answer.length);
            try (OutputStream out = call.getResponseBody()) {
                out.write(answer);
            }
        }
    }

    /** Reads a request's head; empty at the end of the connection. */
    static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
        }
        return head.toString();
    }

    static String field(String head, String name) {
        return head.lines()
                .filter(line -> line.toLowerCase().startsWith(name.toLowerCase() + ":"))
                .map(line -> line.substring(name.length() + 1).strip())
                .findFirst()
                .orElse("");
    }
}
