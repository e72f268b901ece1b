package org.agatehatch.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * A runner of several models that streams its answers. It crashes when it begins to write an answer to a request that
 * {@code crashesOn} accepts: its connections and its listener close at once, and it is back under another id after a while.
 * It registers itself, and its entry stays until it lapses. While {@code limitPerSecond} has a value, its answers name it.
 */
final class RunnerStandIn implements AutoCloseable {
    /** Timing of a runner. */
    record Timing(long prefillMillis, long eventPauseMillis, int events, long restartMillis, long entryTtlMillis) {
        static final Timing DEFAULT = new Timing(60, 25, 8, 900, 2_400);
    }

    /** A request that the runner has received. */
    record Arrival(String requestId, long atMillis) {}

    private static final byte[] HEAD_END = {'\r', '\n', '\r', '\n'};

    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    final List<Long> crashMillis = new CopyOnWriteArrayList<>();
    private final String name;
    private final Predicate<String> crashesOn;
    private final Supplier<Optional<Double>> limitPerSecond;
    private final InMemoryTopic registrations;
    private final Timing timing;
    private final ScheduledExecutorService restarts = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "runner-restarts");
        thread.setDaemon(true);
        return thread;
    });
    private volatile Process process;
    private volatile boolean closed;
    private int port;
    private int starts;

    RunnerStandIn(
            String name,
            InMemoryTopic registrations,
            Timing timing,
            Predicate<String> crashesOn,
            Supplier<Optional<Double>> limitPerSecond)
            throws IOException {
        this.name = name;
        this.registrations = registrations;
        this.timing = timing;
        this.crashesOn = crashesOn;
        this.limitPerSecond = limitPerSecond;
        startProcess();
    }

    static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    /** Returns the number of requests that arrived in a span of time. */
    long arrivalsBetween(long fromMillis, long toMillis) {
        return arrivals.stream()
                .filter(arrival -> arrival.atMillis() >= fromMillis && arrival.atMillis() < toMillis)
                .count();
    }

    private synchronized void startProcess() throws IOException {
        if (closed) {
            return;
        }
        ServerSocket listening = new ServerSocket();
        listening.setReuseAddress(true);
        listening.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 64);
        port = listening.getLocalPort();
        starts++;
        process = new Process(name + "-" + starts, listening);
        registrations.put(process.id, Cluster.serverRecord(process.id, port, starts));
        start(process::accept);
    }

    private synchronized void crash(Process crashed) {
        if (process != crashed || crashed.listening.isClosed()) {
            return;
        }
        crashMillis.add(nowMillis());
        crashed.close();
        restarts.schedule(
                () -> {
                    try {
                        startProcess();
                    } catch (IOException e) {
                        throw new IllegalStateException("the runner could not listen again", e);
                    }
                },
                timing.restartMillis(),
                TimeUnit.MILLISECONDS);
        restarts.schedule(() -> registrations.remove(crashed.id), timing.entryTtlMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        closed = true;
        restarts.shutdownNow();
        process.close();
    }

    private static void start(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException expected) {
                // The peer closed the connection, or the runner crashed.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @FunctionalInterface
    private interface IoTask {
        void run() throws IOException;
    }

    private final class Process {
        private final String id;
        private final ServerSocket listening;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        private Process(String id, ServerSocket listening) {
            this.id = id;
            this.listening = listening;
        }

        private void accept() throws IOException {
            while (!listening.isClosed()) {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                start(() -> serve(socket));
            }
        }

        private void serve(Socket socket) throws IOException {
            try {
                while (true) {
                    String head = readHead(socket.getInputStream());
                    if (head.isEmpty()) {
                        return;
                    }
                    answer(socket.getOutputStream(), head);
                }
            } finally {
                open.remove(socket);
                socket.close();
            }
        }

        private void answer(OutputStream out, String head) throws IOException {
            String requestId = ScriptedServer.header(head, "x-id");
            arrivals.add(new Arrival(requestId, nowMillis()));
            pause(timing.prefillMillis());
            String limit = limitPerSecond
                    .get()
                    .map(rate -> "X-Limit: " + rate + "\r\n")
                    .orElse("");
            write(
                    out,
                    "HTTP/1.1 200 OK\r\nX-Id: " + requestId + "\r\nX-Seal: s\r\n" + limit
                            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            if (crashesOn.test(head)) {
                pause(timing.eventPauseMillis());
                crash(this);
                return;
            }
            for (int event = 1; event <= timing.events(); event++) {
                pause(timing.eventPauseMillis());
                String text = "id: " + event + "\ndata: x\n\n";
                write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            }
            write(out, "0\r\n\r\n");
        }

        private void close() {
            try {
                listening.close();
                for (Socket socket : open) {
                    socket.close();
                }
            } catch (IOException e) {
                throw new IllegalStateException("closing a socket failed", e);
            }
        }
    }

    static void pause(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        int matched = 0;
        while (matched < HEAD_END.length) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            head.append((char) next);
            matched = next == HEAD_END[matched] ? matched + 1 : next == HEAD_END[0] ? 1 : 0;
        }
        return head.toString().toLowerCase(Locale.ROOT);
    }
}
