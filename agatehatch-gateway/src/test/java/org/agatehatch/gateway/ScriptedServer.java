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
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A backend server that answers each request with given bytes, and can end the connection in several ways. */
final class ScriptedServer implements AutoCloseable {
    /** What happens after the bytes were sent. */
    enum AfterResponse {
        KEEP,
        CLOSE,
        RESET,
        SILENCE
    }

    /** An answer: bytes, with {@code ID} in place of the attempt's id, and what follows. */
    record ScriptedResponse(String bytes, AfterResponse afterResponse) {}

    /** The answers to the next requests, in the order in which they arrive at any server of the script. */
    static final class Script {
        final List<String> requests = new CopyOnWriteArrayList<>();
        private final List<ScriptedResponse> responses = new CopyOnWriteArrayList<>();

        /** Sets the answers; the last one repeats. */
        void respondWith(ScriptedResponse... next) {
            requests.clear();
            responses.clear();
            responses.addAll(List.of(next));
        }

        private synchronized ScriptedResponse next(String request) {
            requests.add(request);
            return responses.get(Math.min(requests.size(), responses.size()) - 1);
        }
    }

    final AtomicInteger connections = new AtomicInteger();
    final AtomicInteger closedByPeer = new AtomicInteger();
    private final ServerSocket listening;
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final Script script;

    ScriptedServer(Script script) throws IOException {
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
            connections.incrementAndGet();
            open.add(socket);
            start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        OutputStream out = socket.getOutputStream();
        while (true) {
            String request = read(in);
            if (request.isEmpty()) {
                closedByPeer.incrementAndGet();
                socket.close();
                return;
            }
            ScriptedResponse answer = script.next(request);
            out.write(answer.bytes().replace("ID", header(request, "x-id")).getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            if (answer.afterResponse() == AfterResponse.RESET) {
                socket.setSoLinger(true, 0);
            }
            if (answer.afterResponse() == AfterResponse.CLOSE || answer.afterResponse() == AfterResponse.RESET) {
                socket.close();
                return;
            }
        }
    }

    private static String read(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                return "";
            }
            bytes.write(next);
            String soFar = bytes.toString(StandardCharsets.ISO_8859_1);
            if (soFar.endsWith("\r\n\r\n")) {
                String length = header(soFar, "content-length");
                int left = length.isEmpty() ? 0 : Integer.parseInt(length);
                return soFar + new String(in.readNBytes(left), StandardCharsets.ISO_8859_1);
            }
        }
    }

    static String header(String message, String name) {
        for (String line : message.split("\r\n", -1)) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return "";
    }

    private static void start(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException expected) {
                // The other end closed or reset the connection, which ends this one's work.
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
