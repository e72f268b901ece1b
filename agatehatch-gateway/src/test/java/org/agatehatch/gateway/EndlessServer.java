package org.agatehatch.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/** Backend server that repeats bytes after the start of a response until the peer closes the connection. */
final class EndlessServer implements AutoCloseable {
    /** Ends a response that the peer never closes, so that a failing test ends too. */
    static final long MAX_BYTES = 64L * 1024 * 1024;

    private static final int SEND_BUFFER_BYTES = 64 * 1024;
    private static final int WRITE_BYTES = 16 * 1024;

    /**
     * A response.
     *
     * @param start bytes sent once, in which {@code ID} stands for the attempt's id
     * @param repeated bytes sent without end after the start; if empty, the response ends with its start
     * @param pauseMillis pause after each repetition; if 0, repetitions are sent as fast as the peer reads
     */
    record Response(String start, String repeated, long pauseMillis) {
        static Response fast(String start, String repeated) {
            return new Response(start, repeated, 0);
        }

        static Response slow(String start, String repeated) {
            return new Response(start, repeated, 20);
        }

        static Response whole(String bytes) {
            return new Response(bytes, "", 0);
        }
    }

    /** Responses to the next requests at any server that uses the script. The last one repeats. */
    static final class Script {
        final AtomicInteger requests = new AtomicInteger();
        private final List<Response> responses = new CopyOnWriteArrayList<>();

        void respondWith(Response... next) {
            responses.clear();
            responses.addAll(List.of(next));
        }

        private Response next() {
            return responses.get(Math.min(requests.incrementAndGet(), responses.size()) - 1);
        }
    }

    final AtomicInteger connections = new AtomicInteger();
    final AtomicInteger closedByPeer = new AtomicInteger();
    final AtomicLong bytesSent = new AtomicLong();
    private final ServerSocket listening;
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final Script script;

    EndlessServer(Script script) throws IOException {
        this.script = script;
        listening = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
        start(this::accept);
    }

    int port() {
        return listening.getLocalPort();
    }

    private void accept() throws IOException {
        while (!listening.isClosed()) {
            Socket socket = listening.accept();
            socket.setSendBufferSize(SEND_BUFFER_BYTES);
            socket.setTcpNoDelay(true);
            connections.incrementAndGet();
            open.add(socket);
            start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try {
            while (true) {
                String request = readRequest(socket.getInputStream());
                Response response = script.next();
                String start = response.start().replace("ID", ScriptedServer.header(request, "x-id"));
                write(socket.getOutputStream(), start.getBytes(StandardCharsets.ISO_8859_1));
                if (!response.repeated().isEmpty()) {
                    repeat(socket.getOutputStream(), response);
                    return;
                }
            }
        } catch (IOException e) {
            if (!listening.isClosed()) {
                closedByPeer.incrementAndGet();
            }
            throw e;
        }
    }

    private void repeat(OutputStream out, Response response) throws IOException {
        byte[] once = response.repeated().getBytes(StandardCharsets.ISO_8859_1);
        int count = response.pauseMillis() > 0 ? 1 : Math.max(1, WRITE_BYTES / once.length);
        byte[] block = response.repeated().repeat(count).getBytes(StandardCharsets.ISO_8859_1);
        while (bytesSent.get() < MAX_BYTES) {
            write(out, block);
            if (response.pauseMillis() > 0) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(response.pauseMillis()));
            }
        }
    }

    private void write(OutputStream out, byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
        bytesSent.addAndGet(bytes.length);
    }

    private static String readRequest(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed by the peer");
            }
            bytes.write(next);
            String soFar = bytes.toString(StandardCharsets.ISO_8859_1);
            if (soFar.endsWith("\r\n\r\n")) {
                String length = ScriptedServer.header(soFar, "content-length");
                in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
                return soFar;
            }
        }
    }

    private static void start(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException expected) {
                // The peer closed or reset the connection, which ends this thread.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listening.close();
        for (Socket socket : open) {
            socket.close();
        }
    }

    @FunctionalInterface
    private interface IoTask {
        void run() throws IOException;
    }
}
