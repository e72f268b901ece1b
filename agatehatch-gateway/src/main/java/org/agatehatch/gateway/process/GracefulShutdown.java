package org.agatehatch.gateway.process;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.gateway.connection.CallerServer;
import org.agatehatch.gateway.connection.ResponseSink;
import org.agatehatch.gateway.logging.LogSetup;
import org.agatehatch.gateway.request.ProcessLife;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shuts the process down without aborting requests: the node leaves the group, keeps serving while callers may still have
 * its address, then refuses new requests and waits until the responses are written and the connections of callers are closed.
 * Shortly before the end of the grace period, requests that are still unanswered are answered as timed out or as not run.
 */
final class GracefulShutdown implements ProcessLife {
    private static final Logger log = LoggerFactory.getLogger(GracefulShutdown.class);

    /** Time for which new requests are still served. Callers stop using the node once their directory answer has expired. */
    private static final long SERVE_AFTER_LEAVE_MILLIS = 2_600;

    /** Part of the grace period reserved for the exit of the process. */
    private static final long PROCESS_EXIT_RESERVE_MILLIS = 500;

    /** Time to write the last answers, which are those to requests that are ended without a response of a server. */
    private static final long LAST_ANSWERS_MILLIS = 300;

    private static final long POLL_INTERVAL_MILLIS = 20;

    private final long graceMillis;
    private final MonotonicClock clock;
    private final Runnable leaveGroup;
    private final BooleanSupplier relaying;
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile boolean leaving;
    private volatile boolean refusingRequests;
    private volatile long endInFlightAtMillis = Long.MAX_VALUE;

    GracefulShutdown(long graceMillis, MonotonicClock clock, Runnable leaveGroup) {
        this(graceMillis, clock, leaveGroup, () -> false);
    }

    /**
     * Creates the shutdown of a process.
     *
     * @param relaying whether connections of other nodes to backend servers are relayed
     */
    GracefulShutdown(long graceMillis, MonotonicClock clock, Runnable leaveGroup, BooleanSupplier relaying) {
        this.graceMillis = graceMillis;
        this.clock = clock;
        this.leaveGroup = leaveGroup;
        this.relaying = relaying;
    }

    /** Registers the shutdown sequence to run when the process is asked to stop. */
    void installShutdownHook(CallerServer server) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> run(server), "stop"));
    }

    /** Returns whether the shutdown has begun. */
    boolean leaving() {
        return leaving;
    }

    @Override
    public boolean refusesRequests() {
        return refusingRequests;
    }

    @Override
    public boolean outlasts(long durationMillis) {
        return !refusingRequests || clock.millis() + durationMillis <= endInFlightAtMillis;
    }

    /** Returns a sink that counts its request as in flight until it is answered, aborted or the caller disconnects. */
    ResponseSink countInFlight(ResponseSink sink) {
        inFlight.incrementAndGet();
        return new CountedSink(sink);
    }

    void run(CallerServer server) {
        long startMillis = clock.millis();
        endInFlightAtMillis = startMillis + graceMillis - PROCESS_EXIT_RESERVE_MILLIS - LAST_ANSWERS_MILLIS;
        leaving = true;
        log.info("event=stop_begun in_flight={}", inFlight.get());
        leaveGroup.run();
        waitUntil(startMillis + SERVE_AFTER_LEAVE_MILLIS, () -> false);
        refusingRequests = true;
        server.stopListening();
        server.closeIdle();
        waitUntil(endInFlightAtMillis, () -> isIdle(server));
        server.endInFlight();
        waitUntil(endInFlightAtMillis + LAST_ANSWERS_MILLIS, () -> isIdle(server));
        log.info("event=stop_ended in_flight={} took_ms={}", inFlight.get(), clock.millis() - startMillis);
        LogSetup.flush();
    }

    private boolean isIdle(CallerServer server) {
        return !server.hasConnections() && !relaying.getAsBoolean();
    }

    private void waitUntil(long deadlineMillis, BooleanSupplier condition) {
        while (clock.millis() < deadlineMillis && !condition.getAsBoolean()) {
            LockSupport.parkNanos(POLL_INTERVAL_MILLIS * 1_000_000);
        }
    }

    private final class CountedSink implements ResponseSink {
        private final ResponseSink sink;
        private boolean counted = true;

        private CountedSink(ResponseSink sink) {
            this.sink = sink;
        }

        @Override
        public void respond(HttpResponseStatus status, HttpHeaders headers, byte[] body) {
            sink.respond(status, headers, body);
            release();
        }

        @Override
        public void startResponse(HttpResponseStatus status, HttpHeaders headers) {
            sink.startResponse(status, headers);
        }

        @Override
        public void write(ByteBuf chunk) {
            sink.write(chunk);
        }

        @Override
        public void flush() {
            sink.flush();
        }

        @Override
        public void complete() {
            sink.complete();
            release();
        }

        @Override
        public void abort() {
            sink.abort();
            release();
        }

        @Override
        public void onCallerGone() {
            release();
        }

        @Override
        public boolean isWritable() {
            return sink.isWritable();
        }

        private void release() {
            if (counted) {
                counted = false;
                inFlight.decrementAndGet();
            }
        }
    }
}
