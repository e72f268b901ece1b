package org.agatehatch.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A server that leaves each answer to a script, byte by byte. */
final class RawServer implements AutoCloseable {
    /** A request as it was read. */
    static final class Request {
        final String line;
        final Map<String, String> headers;
        final byte[] body;

        private Request(String line, Map<String, String> headers, byte[] body) {
            this.line = line;
            this.headers = headers;
            this.body = body;
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String attempt() {
            return header("X-Agatehatch-Attempt-Id");
        }
    }

    /** Answers the requests of a connection in order. */
    interface Script {
        /** Writes the answer and returns whether the connection stays open. */
        boolean answer(int connection, Request request, OutputStream out) throws IOException;
    }

    private final ServerSocket listener;
    private final Script script;
    private int connections;

    RawServer(Script script) throws IOException {
        this.listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        this.script = script;
        start("accept", this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                int number = ++connections;
                start("connection-" + number, () -> serve(number, socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(int number, Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Request request = read(in);
            while (request != null && script.answer(number, request, socket.getOutputStream())) {
                request = read(in);
            }
        } catch (IOException e) {
            // The peer closed the connection.
            return;
        }
    }

    /** Returns the next message, or null at the end of the connection. */
    static Request read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String field = readLine(in); field != null && !field.isEmpty(); field = readLine(in)) {
            int colon = field.indexOf(':');
            headers.put(field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Request(line, headers, in.readNBytes(length));
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.UTF_8).strip();
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
