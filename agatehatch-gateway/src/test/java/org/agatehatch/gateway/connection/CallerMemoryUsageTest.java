package org.agatehatch.gateway.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.agatehatch.api.fleet.ClientLimits;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.gateway.connection.CallerMemory.Reason;
import org.agatehatch.gateway.connection.CallerMemory.State;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks what callers see while the memory for them is used up, and that they see nothing of it before. */
public final class CallerMemoryUsageTest {
    private static final int LIMIT_BYTES = 256 * 1024;
    private static final int MAX_CONNECTIONS = 20;
    private static final ClientLimits LIMITS = new ClientLimits(16_384, 1_000_000, 20_000, 60_000);
    private static final int RESPONSE_BYTES = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na".length();
    private static final String REQUEST = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

    private final List<CallerRequest> requests = new CopyOnWriteArrayList<>();
    private final List<ResponseSink> sinks = new CopyOnWriteArrayList<>();
    private final List<Reason> refusals = new CopyOnWriteArrayList<>();
    private final AtomicLong nowNanos = new AtomicLong();
    private final AtomicInteger acceptPauses = new AtomicInteger();
    private final AtomicBoolean callerGone = new AtomicBoolean();
    private MultiThreadIoEventLoopGroup group;
    private CallerMemory memory;
    private CallerServer server;
    private int port;

    @BeforeMethod
    public void start() {
        requests.clear();
        sinks.clear();
        refusals.clear();
        callerGone.set(false);
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        memory = new CallerMemory(
                new CallerMemory.Settings(LIMIT_BYTES, MAX_CONNECTIONS), nowNanos::get, new RecordingListener());
        server = new CallerServer(group, nowNanos::get, () -> LIMITS, () -> false, memory, (request, sink) -> {
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

    private final class RecordingListener implements CallerMemory.Listener {
        @Override
        public void onRefusal(Reason reason) {
            refusals.add(reason);
        }

        @Override
        public void onState(State state, long usedBytes, int connections) {}

        @Override
        public void onAcceptPaused(int connections, int maxConnections) {
            acceptPauses.incrementAndGet();
        }
    }

    private final class UnansweredRequest implements RequestHandler.InFlightRequest {
        @Override
        public void onCallerGone() {
            callerGone.set(true);
        }

        @Override
        public void onWritabilityChanged(boolean writable) {}

        @Override
        public void onProcessEnding() {}
    }

    private static String head(int bodyBytes) {
        return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
    }

    private void respond(int request, byte[] body) {
        await("request " + request, () -> sinks.size() > request);
        group.submit(() -> sinks.get(request).respond(HttpResponseStatus.OK, new DefaultHttpHeaders(), body))
                .syncUninterruptibly();
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private long usedBytes() {
        return group.submit(() -> memory.usedBytes()).syncUninterruptibly().getNow();
    }

    private void advance(long millis) {
        nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
        group.submit(server::enforceTimeouts).syncUninterruptibly();
    }

    private static void await(String what, BooleanSupplier condition) {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < untilNanos, "not seen: " + what);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(2));
        }
    }

    // Guards against a refusal that does not say when to try again, and against one of a request that has run.
    @Test
    public void a_body_that_does_not_fit_beside_a_served_one_is_refused_with_503_and_not_run() throws IOException {
        try (SlowCaller served = new SlowCaller(port);
                SlowCaller refused = new SlowCaller(port)) {
            served.send(head(200_000) + "b".repeat(200_000));
            await("the first request", () -> sinks.size() == 1);
            refused.send(head(200_000) + "b".repeat(150_000));
            String response = refused.readAll().toLowerCase(Locale.ROOT);
            assertTrue(response.startsWith("http/1.1 503 ") && response.contains("retry-after: 1\r\n"), response);
            assertEquals(requests.size(), 1);
            assertFalse(callerGone.get());
            respond(0, new byte[] {'a'});
            assertTrue(text(served.read(12)).endsWith(" 200"));
        }
    }

    // Guards against ordinary requests that are refused because others hold memory and do nothing.
    @Test
    public void a_body_that_stopped_gives_way_to_one_that_arrives() throws IOException {
        try (SlowCaller stopped = new SlowCaller(port);
                SlowCaller ordinary = new SlowCaller(port)) {
            stopped.send(head(200_000) + "b".repeat(199_999));
            await("the body", () -> usedBytes() > 200_000);
            nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(CallerMemory.STALL_MILLIS + 1));
            ordinary.send(head(100_000) + "b".repeat(100_000));
            await("the ordinary request", () -> sinks.size() == 1);
            assertTrue(stopped.readAll().startsWith("HTTP/1.1 503 "));
            assertEquals(refusals, List.of(Reason.EVICTED));
        }
    }

    // Guards against requests that are parsed without bound while one is served, and against refusing them.
    @Test
    public void requests_far_ahead_wait_without_being_parsed_and_are_all_answered() throws IOException {
        int count = 300;
        try (SlowCaller caller = new SlowCaller(port)) {
            caller.send(REQUEST.repeat(count));
            for (int i = 0; i < count; i++) {
                respond(i, new byte[] {'a'});
                assertTrue(usedBytes() < LIMIT_BYTES / 2, usedBytes() + " bytes");
                assertTrue(text(caller.read(RESPONSE_BYTES)).startsWith("HTTP/1.1 200 OK"));
            }
        }
        assertEquals(refusals, List.of());
    }

    // Guards against answers that pile up for a caller that does not read them.
    @Test
    public void the_next_request_waits_for_the_reader_of_large_answers() throws IOException {
        byte[] large = new byte[SlowCaller.LARGE_RESPONSE_BYTES];
        try (SlowCaller caller = new SlowCaller(port)) {
            caller.send(REQUEST + REQUEST);
            respond(0, large);
            advance(1);
            assertEquals(sinks.size(), 1);
            caller.read(large.length);
            await("the second request", () -> sinks.size() == 2);
        }
    }

    // Guards against a trickle that keeps memory, and against a limit that applies in calm.
    @Test
    public void a_trickle_is_closed_only_while_memory_is_short() throws IOException {
        try (SlowCaller small = new SlowCaller(port)) {
            small.send(head(1_000) + "b");
            await("the body", () -> usedBytes() > 5_000);
            advance(MinimumProgress.INTERVAL_MILLIS);
            advance(MinimumProgress.INTERVAL_MILLIS);
            assertEquals(refusals, List.of());
            try (SlowCaller large = new SlowCaller(port)) {
                large.send(head(200_000) + "b".repeat(150_000));
                await("the body", () -> usedBytes() > 150_000);
                advance(MinimumProgress.INTERVAL_MILLIS);
                assertEquals(refusals, List.of(Reason.TOO_SLOW));
                assertTrue(small.readAll().startsWith("HTTP/1.1 503 "));
            }
        }
    }

    // Guards against an interval that began while the connection was idle and judges a request that has just begun.
    @Test
    public void a_request_after_an_idle_time_is_not_judged_by_that_time() throws IOException {
        try (SlowCaller ordinary = new SlowCaller(port);
                SlowCaller large = new SlowCaller(port)) {
            await("the connections", () -> usedBytes() == 2 * 4_096);
            advance(MinimumProgress.INTERVAL_MILLIS - 500);
            large.send(head(200_000) + "b".repeat(150_000));
            ordinary.send(head(10) + "b");
            await("the bodies", () -> usedBytes() > 160_000);
            advance(500);
            assertEquals(refusals, List.of());
        }
    }

    // Guards against silent connections that keep all others out.
    @Test
    public void a_new_connection_is_accepted_in_place_of_a_silent_one() throws IOException {
        SlowCaller[] silent = new SlowCaller[MAX_CONNECTIONS];
        for (int i = 0; i < silent.length; i++) {
            silent[i] = new SlowCaller(port);
        }
        await("the crowd", () -> usedBytes() >= MAX_CONNECTIONS * 4_096);
        nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(CallerMemory.FIRST_REQUEST_MILLIS + 1));
        try (SlowCaller ordinary = new SlowCaller(port)) {
            ordinary.send(REQUEST);
            respond(0, new byte[] {'a'});
            assertTrue(text(ordinary.read(15)).startsWith("HTTP/1.1 200 OK"));
        }
        for (SlowCaller caller : silent) {
            caller.close();
        }
        await("the release of all", () -> usedBytes() == 0);
    }

    // Guards against callers that get no word until their time is over, because their connections wait unread and
    // unseen.
    @Test
    public void a_request_beyond_the_connections_in_service_is_refused_and_does_not_wait_unread() throws IOException {
        List<SlowCaller> open = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            SlowCaller caller = new SlowCaller(port);
            caller.send(REQUEST);
            open.add(caller);
        }
        await("the crowd", () -> sinks.size() == MAX_CONNECTIONS);
        for (int i = 0; i < 2 * MAX_CONNECTIONS; i++) {
            try (SlowCaller caller = new SlowCaller(port)) {
                caller.send(REQUEST);
                String response = caller.readAll().toLowerCase(Locale.ROOT);
                assertTrue(response.startsWith("http/1.1 503 "), response);
                assertTrue(response.contains("retry-after: 1\r\n"), response);
            }
        }
        assertEquals(sinks.size(), MAX_CONNECTIONS);
        for (int i = 0; i < CallerMemory.REFUSED_CONNECTIONS; i++) {
            open.add(new SlowCaller(port));
        }
        await("the pause", () -> acceptPauses.get() > 0);
        for (SlowCaller caller : open) {
            caller.close();
        }
        await("the release of all", () -> usedBytes() == 0);
    }

    // Guards against fields, sizes of chunks, or trailers that are wrongly refused in calm, and a charge that stays
    // behind.
    @Test
    public void legal_requests_of_odd_shapes_are_served_one_after_the_other() throws IOException {
        String fields = "GET /a HTTP/1.1\r\nHost: h\r\n" + "a:\r\n".repeat(800) + "\r\n";
        String chunked = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "1\r\n\n\r\n".repeat(20_000) + "0\r\nt: 1\r\n\r\n";
        try (SlowCaller caller = new SlowCaller(port)) {
            int served = 0;
            for (String request : List.of(fields, chunked, head(3) + "\r\n\n", "\r\n" + REQUEST, fields)) {
                caller.send(request);
                respond(served++, new byte[] {'a'});
            }
            assertEquals(requests.get(1).body().length, 20_000);
            assertEquals(requests.get(2).body(), new byte[] {'\r', '\n', '\n'});
            await("the release", () -> usedBytes() == 4_096);
        }
        assertEquals(refusals, List.of());
    }
}
