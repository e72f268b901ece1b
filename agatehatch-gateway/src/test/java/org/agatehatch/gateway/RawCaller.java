package org.agatehatch.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** Caller that sends and reads raw bytes over a socket. */
final class RawCaller implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 4_000;

    private final Socket socket;

    RawCaller(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    static String request(String method, String target, String headers, String body) {
        return method + " " + target + " HTTP/1.1\r\nHost: " + TestGateway.HOST + "\r\nX-Id: 7\r\n" + headers
                + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
    }

    void send(String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Closes the caller's half of the connection. */
    void endOutput() throws IOException {
        socket.shutdownOutput();
    }

    String readUntil(String text) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (!bytes.toString(StandardCharsets.ISO_8859_1).contains(text)) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("closed before '" + text + "', after: " + bytes);
            }
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads until the peer closes the connection. */
    String readAll() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            int next = socket.getInputStream().read();
            while (next >= 0) {
                bytes.write(next);
                next = socket.getInputStream().read();
            }
        } catch (SocketTimeoutException e) {
            throw new IOException("not closed after: " + bytes, e);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads until the peer closes the connection and returns the number of bytes. */
    long countAll() throws IOException {
        return socket.getInputStream().transferTo(OutputStream.nullOutputStream());
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
