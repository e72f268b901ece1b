package org.agatehatch.daemon.endless;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongFunction;

/** HTTP server that writes a scripted response without end until its peer closes the connection. */
public final class EndlessServer implements AutoCloseable {
    private static final int SEND_BUFFER_BYTES = 1 << 16;
    private static final int SOCKET_TIMEOUT_MILLIS = 90_000;
    private static final long TEST_TIMEOUT_SECONDS = 25;

    private final ServerSocket listener;
    private final Handler handler;
    private final Thread acceptor;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final BlockingQueue<Closed> closed = new LinkedBlockingQueue<>();
    private final AtomicInteger unclosed = new AtomicInteger();

    public EndlessServer(Handler handler) {
        this.handler = handler;
        try {
            listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        acceptor = startDaemon(this::acceptConnections);
    }

    /** Returns a server that gives each request the same response. */
    public static EndlessServer of(Script script) {
        return new EndlessServer(request -> new Reply.Endless(script));
    }

    /** Returns the host and port. */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Returns the number of endless responses whose closing was not yet returned by {@link #awaitClosed}. */
    public int unclosed() {
        return unclosed.get();
    }

    /** Waits until the peer has closed the connection of an endless response. */
    public Closed awaitClosed() {
        try {
            Closed next = closed.poll(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            if (next == null) {
                throw new AssertionError(
                        "no connection with an endless response was closed within " + TEST_TIMEOUT_SECONDS + " s");
            }
            unclosed.decrementAndGet();
            return next;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /**
     * Closes the listener, and then all connections. A thread that waits in an accept keeps the listening socket alive until it
     * wakes, so that connections would still be accepted after the others have closed.
     */
    @Override
    public void close() {
        closeQuietly(listener);
        try {
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        sockets.forEach(EndlessServer::closeQuietly);
    }

    private void acceptConnections() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setSendBufferSize(SEND_BUFFER_BYTES);
                socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                startDaemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            byte[] request = readRequest(socket.getInputStream());
            Reply reply = handler.handle(new String(request, StandardCharsets.ISO_8859_1));
            if (reply instanceof Reply.Endless endless) {
                unclosed.incrementAndGet();
                write(socket, endless.script());
            } else if (reply instanceof Reply.Relayed relayed) {
                relay(request, relayed.address(), socket.getOutputStream());
            } else if (reply instanceof Reply.Ended ended) {
                socket.getOutputStream().write(ended.bytes().getBytes(StandardCharsets.ISO_8859_1));
                if (ended.crash()) {
                    close();
                }
            }
        } catch (IOException e) {
            // The peer closed the connection.
        }
    }

    private void write(Socket socket, Script script) {
        long startNanos = System.nanoTime();
        long writtenBytes = 0;
        try {
            OutputStream out = socket.getOutputStream();
            out.write(script.start());
            writtenBytes += script.start().length;
            for (long index = 0; ; index++) {
                byte[] next = script.repeated().block(index);
                out.write(next);
                writtenBytes += next.length;
                if (script.pauseMillis() > 0) {
                    TimeUnit.MILLISECONDS.sleep(script.pauseMillis());
                }
            }
        } catch (IOException e) {
            closed.add(new Closed(writtenBytes, (System.nanoTime() - startNanos) / 1_000_000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void relay(byte[] request, String address, OutputStream caller) throws IOException {
        int colon = address.lastIndexOf(':');
        try (Socket target = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
            String text = new String(request, StandardCharsets.ISO_8859_1);
            int endOfLine = text.indexOf("\r\n") + 2;
            String closing = text.substring(0, endOfLine) + "Connection: close\r\n" + text.substring(endOfLine);
            target.getOutputStream().write(closing.getBytes(StandardCharsets.ISO_8859_1));
            target.getInputStream().transferTo(caller);
        }
    }

    private static byte[] readRequest(InputStream in) throws IOException {
        ByteArrayOutputStream request = new ByteArrayOutputStream();
        while (!request.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the peer closed the connection before the end of its request");
            }
            request.write(next);
        }
        request.write(in.readNBytes(contentLength(request.toString(StandardCharsets.ISO_8859_1))));
        return request.toByteArray();
    }

    private static int contentLength(String head) {
        return head.lines()
                .filter(line -> line.regionMatches(true, 0, "content-length:", 0, "content-length:".length()))
                .map(line -> Integer.parseInt(
                        line.substring("content-length:".length()).strip()))
                .findFirst()
                .orElse(0);
    }

    private static Thread startDaemon(Runnable body) {
        Thread thread = new Thread(body, "endless-server");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void closeQuietly(java.io.Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            // Nothing depends on the result of the close.
        }
    }

    /** Decides how a request is answered. */
    @FunctionalInterface
    public interface Handler {
        /** @param request head and body of the request */
        Reply handle(String request);
    }

    /** Answer to one request. */
    public sealed interface Reply {
        /** Writes a response without end. */
        record Endless(Script script) implements Reply {}

        /** Passes the request to another server and returns its response. */
        record Relayed(String address) implements Reply {}

        /** Writes bytes and closes the connection; with {@code crash} the listener and all other connections as well. */
        record Ended(String bytes, boolean crash) implements Reply {}
    }

    /** Produces the blocks of bytes that follow the start of a response. */
    @FunctionalInterface
    public interface Blocks {
        /** @param index number of the block, from 0 */
        byte[] block(long index);
    }

    /**
     * A response without end.
     *
     * @param repeated blocks that are written after the start
     * @param pauseMillis pause after each block
     */
    @SuppressWarnings("ArrayRecordComponent") // Scripts are written and never compared.
    public record Script(byte[] start, Blocks repeated, long pauseMillis) {
        private static final int BLOCK_BYTES = 1 << 14;

        /** Returns a script that writes as fast as the peer reads. */
        public static Script fast(String start, String repeatedText) {
            byte[] block = ascii(repeatedText.repeat(Math.max(1, BLOCK_BYTES / repeatedText.length())));
            return new Script(ascii(start), index -> block, 0);
        }

        /** Returns a script that pauses after each repetition. */
        public static Script slow(String start, String repeatedText, long pauseMillis) {
            byte[] block = ascii(repeatedText);
            return new Script(ascii(start), index -> block, pauseMillis);
        }

        /** Returns a script whose blocks depend on their number. */
        public static Script counting(String start, LongFunction<String> text) {
            return new Script(ascii(start), index -> ascii(text.apply(index)), 0);
        }

        private static byte[] ascii(String text) {
            return text.getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    /** How much of an endless response was written before the peer closed the connection. */
    public record Closed(long writtenBytes, long elapsedMillis) {}
}
