package org.agatehatch.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

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

    /** Answers the requests of a connection, and may find out whether the peer has closed it. */
    interface SocketScript {
        /** Writes the answer and returns whether the connection stays open. */
        boolean answer(int connection, Request request, Socket socket) throws IOException;
    }

    private final ServerSocket listener;
    private final SocketScript script;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private int connections;

    RawServer(Script script) throws IOException {
        this((connection, request, socket) -> script.answer(connection, request, socket.getOutputStream()), "scripted");
    }

    /**
     * Starts a server.
     *
     * @param name name of its threads
     */
    RawServer(SocketScript script, String name) throws IOException {
        this(script, name, 0);
    }

    /**
     * Starts a server on a port.
     *
     * @param port 0 for any free one
     */
    RawServer(SocketScript script, String name, int port) throws IOException {
        this.listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 64);
        this.script = script;
        start(name + "-accept", this::accept);
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
                sockets.add(socket);
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
            while (request != null && script.answer(number, request, socket)) {
                request = read(in);
            }
        } catch (IOException e) {
            // The peer closed the connection.
            return;
        } finally {
            sockets.remove(socket);
        }
    }

    /** Ends the server with resets: all connections are reset, and new ones are refused. */
    void crash() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Ends the server as the kill of its process does: the kernel closes all connections, and new ones are refused. */
    void kill() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** Waits and returns whether the peer has closed the connection meanwhile. The peer must not send anything. */
    static boolean closesWithin(Socket socket, int millis) throws IOException {
        int before = socket.getSoTimeout();
        socket.setSoTimeout(millis);
        try {
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        } finally {
            if (!socket.isClosed()) {
                socket.setSoTimeout(before);
            }
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
