package org.agatehatch.gateway.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.agatehatch.api.fleet.ClientLimits;
import org.agatehatch.api.fleet.PeerAddress;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks that a caller's connection ends only after the responses to the requests that were read from it. */
public final class CallerServerTest {
    private static final ClientLimits LIMITS = new ClientLimits(4_096, 1_000, 400, 1_000);
    private static final String REQUEST = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final int RESPONSE_BYTES = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na".length();
    private static final byte[] LARGE_BODY = new byte[SlowCaller.LARGE_RESPONSE_BYTES];

    private final List<CallerRequest> requests = new CopyOnWriteArrayList<>();
    private final List<ResponseSink> sinks = new CopyOnWriteArrayList<>();
    private final AtomicLong nowNanos = new AtomicLong();
    private MultiThreadIoEventLoopGroup group;
    private CallerServer server;
    private int port;
    private volatile boolean leaving;
    private volatile boolean handlerFails;
    private volatile ClientLimits limits;

    @BeforeMethod
    public void start() {
        requests.clear();
        sinks.clear();
        leaving = false;
        handlerFails = false;
        limits = LIMITS;
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server = new CallerServer(group, nowNanos::get, () -> limits, () -> leaving, (request, sink) -> {
            if (handlerFails) {
                throw new IllegalStateException("the request cannot be handled");
            }
            requests.add(request);
            sinks.add(sink);
            return new UnansweredRequest();
        });
        port = server.bind(new PeerAddress("127.0.0.1", 0));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private static final class UnansweredRequest implements RequestHandler.InFlightRequest {
        @Override
        public void onCallerGone() {}

        @Override
        public void onWritabilityChanged(boolean writable) {}

        @Override
        public void onProcessEnding() {}
    }

    private void respond(int request, byte[] body) {
        await("request " + request, () -> sinks.size() > request);
        onLoop(() -> sinks.get(request).respond(HttpResponseStatus.OK, new DefaultHttpHeaders(), body));
    }

    private void onLoop(Runnable action) {
        group.submit(action).syncUninterruptibly();
    }

    private static void await(String what, BooleanSupplier condition) {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < untilNanos, "not seen: " + what);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
    }

    private static int bodyLength(String response) {
        return response.length() - response.indexOf("\r\n\r\n") - 4;
    }

    // Guards against a shutdown that closes a connection while its last response is still in the write buffer.
    @Test
    public void closing_idle_connections_waits_until_the_response_is_written() throws IOException {
        try (SlowCaller caller = new SlowCaller(port)) {
            caller.send(REQUEST);
            respond(0, LARGE_BODY);
            leaving = true;
            server.closeIdle();
            onLoop(() -> {});
            assertEquals(bodyLength(caller.readAll()), LARGE_BODY.length);
        }
    }

    // Guards against an idle timeout that counts while the caller still receives a response.
    @Test
    public void the_idle_timeout_does_not_cut_a_response_that_the_caller_still_reads() throws IOException {
        try (SlowCaller caller = new SlowCaller(port)) {
            caller.send(REQUEST);
            respond(0, LARGE_BODY);
            int received = 0;
            for (int i = 0; i < 4; i++) {
                received += caller.read(LARGE_BODY.length / 5).length;
                advanceAndCheckTimeouts(LIMITS.idleTimeoutMillis() * 3 / 4);
            }
            leaving = true;
            server.closeIdle();
            int rest = caller.readAll().length();
            assertTrue(received + rest > LARGE_BODY.length, "received " + (received + rest));
        }
    }

    // Guards against a connection that is kept for a caller that has stopped reading its response.
    @Test
    public void a_caller_that_stops_reading_is_disconnected_after_the_idle_timeout() throws IOException {
        try (SlowCaller caller = new SlowCaller(port)) {
            caller.send(REQUEST);
            respond(0, LARGE_BODY);
            advanceAndCheckTimeouts(0);
            advanceAndCheckTimeouts(LIMITS.idleTimeoutMillis() + 1);
            assertTrue(bodyLength(caller.readAll()) < LARGE_BODY.length);
        }
    }

    // Guards against dropping whole requests that wait behind another one when a malformed request follows them.
    @Test
    public void requests_before_a_malformed_one_are_answered_first() throws IOException {
        try (SlowCaller caller = new SlowCaller(port)) {
            caller.send(REQUEST + REQUEST + "GET /a HTTP/1.1\r\n\r\n" + REQUEST);
            respond(0, new byte[] {'a'});
            respond(1, new byte[] {'b'});
            String responses = caller.readAll();
            List<String> statusLines =
                    responses.lines().filter(line -> line.contains("HTTP/1.1")).toList();
            assertEquals(statusLines, List.of("HTTP/1.1 200 OK", "aHTTP/1.1 200 OK", "bHTTP/1.1 400 Bad Request"));
            assertEquals(responses.split("connection: close", -1).length, 2, responses);
        }
    }

    // Guards against a truncated stream that takes the unread rest of the response before it along.
    @Test
    public void an_aborted_stream_does_not_cut_the_response_before_it() throws IOException {
        try (SlowCaller caller = new SlowCaller(port)) {
            caller.send(REQUEST + REQUEST);
            respond(0, LARGE_BODY);
            await("the second request", () -> sinks.size() == 2);
            onLoop(() -> {
                sinks.get(1).startResponse(HttpResponseStatus.OK, new DefaultHttpHeaders());
                sinks.get(1).abort();
            });
            assertTrue(caller.readAll().length() > LARGE_BODY.length);
        }
    }

    // Guards against a second response in the body of one that ends with its connection.
    @Test
    public void a_stream_without_a_length_ends_its_connection() throws IOException {
        try (SlowCaller caller = new SlowCaller(port)) {
            String request = "GET /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n";
            caller.send(request + request);
            await("the request", () -> sinks.size() == 1);
            onLoop(() -> {
                sinks.get(0).startResponse(HttpResponseStatus.OK, new DefaultHttpHeaders());
                sinks.get(0).write(Unpooled.wrappedBuffer(new byte[] {'a'}));
                sinks.get(0).complete();
            });
            assertTrue(caller.readAll().endsWith("\r\n\r\na"));
            assertEquals(sinks.size(), 1);
        }
    }

    // Guards against a limit that is lowered while a request is received and cuts that request.
    @Test
    public void a_lower_body_limit_applies_to_the_next_request() throws IOException {
        try (SlowCaller caller = new SlowCaller(port)) {
            caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\nExpect: 100-continue\r\n\r\n");
            caller.read("HTTP/1.1 100 Continue\r\n\r\n".length());
            limits = new ClientLimits(4_096, 100, 400, 1_000);
            caller.send("b".repeat(900));
            respond(0, new byte[] {'a'});
            caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n");
            List<String> statusLines = caller.readAll()
                    .lines()
                    .filter(line -> line.contains("HTTP/1.1"))
                    .toList();
            assertEquals(statusLines, List.of("HTTP/1.1 200 OK", "aHTTP/1.1 413 Request Entity Too Large"));
        }
    }

    // Guards against a reset, which discards the response, while the caller still sends the body.
    @Test
    public void the_response_to_a_rejected_request_reaches_a_caller_that_still_sends() throws IOException {
        try (SlowCaller caller = new SlowCaller(port)) {
            caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + LARGE_BODY.length + "\r\n\r\n");
            caller.send("b".repeat(LARGE_BODY.length));
            assertTrue(caller.readAll().startsWith("HTTP/1.1 413 "));
        }
    }

    // Guards against a caller that sends a rejected body without end.
    @Test
    public void the_body_of_a_rejected_request_is_read_for_a_limited_time() throws IOException {
        try (SlowCaller caller = new SlowCaller(port)) {
            caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + LARGE_BODY.length + "\r\n\r\n");
            assertTrue(caller.readAll().startsWith("HTTP/1.1 413 "));
            advanceAndCheckTimeouts(CallerConnection.LINGER_MILLIS + 1);
            await("the end of the connection", () -> !server.hasConnections());
        }
    }

    // Guards against a connection that stays open for good after a request whose handling failed.
    @Test
    public void a_request_whose_handling_fails_ends_its_connection() throws IOException {
        handlerFails = true;
        try (SlowCaller caller = new SlowCaller(port)) {
            caller.send(REQUEST);
            assertEquals(caller.readAll(), "");
        }
    }

    // Guards against a time to read a request that leaves out its wait after the connection was accepted, or counts
    // idle time.
    @Test
    public void the_time_to_read_a_request_begins_with_its_connection_or_with_the_request() throws IOException {
        try (SlowCaller caller = new SlowCaller(port)) {
            await("the connection", server::hasConnections);
            advanceAndCheckTimeouts(200);
            caller.send(REQUEST);
            respond(0, new byte[] {'a'});
            caller.read(RESPONSE_BYTES);
            advanceAndCheckTimeouts(300);
            caller.send(REQUEST);
            await("the second request", () -> sinks.size() == 2);
            assertEquals(requests.get(0).readMillis(), 200);
            assertEquals(requests.get(1).readMillis(), 0);
        }
    }

    private void advanceAndCheckTimeouts(long millis) {
        nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
        onLoop(server::enforceTimeouts);
    }
}
