package org.agatehatch.gateway.connection;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/** Caller that sends raw bytes and reads its responses only when told to, so that they stay in the server's buffers. */
public final class SlowCaller implements AutoCloseable {
    /** Exceeds what the socket buffers of both ends can hold, so that part of the response stays in the process. */
    public static final int LARGE_RESPONSE_BYTES = 32 * 1024 * 1024;

    private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final Socket socket = new Socket();

    /** Connects to a port on loopback. */
    public SlowCaller(int port) throws IOException {
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.connect(new InetSocketAddress("127.0.0.1", port));
    }

    /** Sends text as it is. */
    public void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads a number of bytes, or fewer if the connection ends before. */
    public byte[] read(int bytes) throws IOException {
        return socket.getInputStream().readNBytes(bytes);
    }

    /** Reads until the connection is closed or reset. */
    public String readAll() throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        byte[] chunk = new byte[64 * 1024];
        try {
            for (int read = socket.getInputStream().read(chunk);
                    read >= 0;
                    read = socket.getInputStream().read(chunk)) {
                received.write(chunk, 0, read);
            }
        } catch (SocketException reset) {
            // The caller of this method sees from the data that the response is truncated.
        }
        return received.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
