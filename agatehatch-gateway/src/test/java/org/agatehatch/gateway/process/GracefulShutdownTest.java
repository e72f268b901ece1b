package org.agatehatch.gateway.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

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
import org.agatehatch.gateway.connection.CallerServer;
import org.agatehatch.gateway.connection.RequestHandler;
import org.agatehatch.gateway.connection.ResponseSink;
import org.agatehatch.gateway.connection.SlowCaller;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks when the process ends after it was asked to stop. */
public final class GracefulShutdownTest {
    private static final long GRACE_MILLIS = 10_000;
    private static final long AFTER_SERVING_MILLIS = 3_000;
    private static final int POLLS_BEFORE_AN_EARLY_END = 5;
    private static final String REQUEST = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n";
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";
    private static final byte[] LARGE_BODY = new byte[SlowCaller.LARGE_RESPONSE_BYTES];

    private final AtomicLong nowMillis = new AtomicLong();
    private final AtomicLong shutdownPolls = new AtomicLong();
    private final List<ResponseSink> sinks = new CopyOnWriteArrayList<>();
    private MultiThreadIoEventLoopGroup group;
    private GracefulShutdown shutdown;
    private CallerServer server;
    private Thread stopping;
    private int port;

    @BeforeMethod
    public void start() {
        nowMillis.set(0);
        sinks.clear();
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        shutdown = new GracefulShutdown(GRACE_MILLIS, this::readClock, () -> {});
        ClientLimits limits = ClientLimits.INITIAL;
        server = new CallerServer(group, () -> 0L, () -> limits, shutdown::leaving, (request, sink) -> {
            ResponseSink counted = shutdown.countInFlight(sink);
            sinks.add(counted);
            return new UnansweredRequest(counted);
        });
        port = server.bind(new PeerAddress("127.0.0.1", 0));
        stopping = new Thread(() -> {
            shutdown.run(server);
            // The end of the process closes all connections.
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        });
        stopping.setDaemon(true);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        nowMillis.set(GRACE_MILLIS);
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private long readClock() {
        shutdownPolls.incrementAndGet();
        return TimeUnit.MILLISECONDS.toNanos(nowMillis.get());
    }

    /** A request that is answered only at the end of the process. */
    private static final class UnansweredRequest implements RequestHandler.InFlightRequest {
        private final ResponseSink sink;

        private UnansweredRequest(ResponseSink sink) {
            this.sink = sink;
        }

        @Override
        public void onCallerGone() {}

        @Override
        public void onWritabilityChanged(boolean writable) {}

        @Override
        public void onProcessEnding() {
            sink.respond(HttpResponseStatus.GATEWAY_TIMEOUT, new DefaultHttpHeaders(), new byte[0]);
        }
    }

    private static void await(String what, BooleanSupplier condition) {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < untilNanos, "not seen: " + what);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
    }

    private void respond(byte[] body) {
        await("the request", () -> sinks.size() == 1);
        group.submit(() -> sinks.get(0).respond(HttpResponseStatus.OK, new DefaultHttpHeaders(), body))
                .syncUninterruptibly();
    }

    /** Waits until the shutdown refuses requests and has had the occasion to end too early. */
    private void stopServing() {
        stopping.start();
        await("the shutdown", shutdown::leaving);
        nowMillis.set(AFTER_SERVING_MILLIS);
        await("the end of serving", shutdown::refusesRequests);
        long polls = shutdownPolls.get();
        await(
                "polls of the shutdown",
                () -> shutdownPolls.get() >= polls + POLLS_BEFORE_AN_EARLY_END || !stopping.isAlive());
    }

    private void assertEnds() {
        await("the end of the shutdown", () -> !stopping.isAlive());
    }

    // Guards against an end of the process while a response is still in a connection's write buffer.
    @Test
    public void the_process_ends_after_the_last_response_is_written() throws IOException {
        try (SlowCaller caller = new SlowCaller(port)) {
            caller.send(REQUEST + "b");
            respond(LARGE_BODY);
            stopServing();
            String response = caller.readAll();
            assertEquals(response.length() - response.indexOf("\r\n\r\n") - 4, LARGE_BODY.length);
            assertEnds();
        }
    }

    // Guards against an end of the process while the caller still sends a request that will be answered.
    @Test
    public void the_process_ends_after_a_request_that_was_being_received_is_answered() throws IOException {
        try (SlowCaller caller = new SlowCaller(port)) {
            caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n");
            caller.read(CONTINUE.length());
            stopServing();
            caller.send("b");
            respond(new byte[] {'a'});
            assertTrue(caller.readAll().endsWith("\r\n\r\na"));
            assertEnds();
        }
    }

    // Guards against a process that ends only with the grace period although no request is left.
    @Test
    public void idle_connections_do_not_delay_the_end() throws IOException {
        try (SlowCaller caller = new SlowCaller(port)) {
            caller.send(REQUEST + "b");
            respond(new byte[] {'a'});
            stopServing();
            assertEnds();
            assertTrue(caller.readAll().endsWith("a"));
        }
    }

    // Guards against a connection that the end of the process closes without an answer.
    @Test
    public void a_request_that_is_unanswered_at_the_end_of_the_grace_period_is_answered() throws IOException {
        try (SlowCaller caller = new SlowCaller(port)) {
            caller.send(REQUEST + "b");
            await("the request", () -> sinks.size() == 1);
            stopServing();
            assertTrue(shutdown.outlasts(GRACE_MILLIS / 2));
            assertFalse(shutdown.outlasts(GRACE_MILLIS));
            nowMillis.set(GRACE_MILLIS - 700);
            String response = caller.readAll();
            assertTrue(response.startsWith("HTTP/1.1 504 "), response);
            assertEnds();
        }
    }

    // Guards against a process that outlives the grace period because of a caller that reads nothing.
    @Test
    public void the_grace_period_limits_the_wait() throws IOException {
        try (SlowCaller caller = new SlowCaller(port)) {
            caller.send(REQUEST + "b");
            respond(LARGE_BODY);
            stopServing();
            nowMillis.set(GRACE_MILLIS);
            assertEnds();
        }
    }
}
