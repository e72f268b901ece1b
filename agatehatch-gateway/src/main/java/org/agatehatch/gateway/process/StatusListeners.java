package org.agatehatch.gateway.process;

import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.gateway.connection.CallerMemory;
import org.agatehatch.gateway.connection.SimpleHttpServer;

/** The listeners of a node that forward nothing: metrics, readiness and the directory. Callers reach them, so they share its account. */
final class StatusListeners {
    private final EventLoopGroup group;
    private final MonotonicClock clock;
    private final CallerMemory callerMemory;

    StatusListeners(EventLoopGroup group, MonotonicClock clock, CallerMemory callerMemory) {
        this.group = group;
        this.clock = clock;
        this.callerMemory = callerMemory;
    }

    /** Starts listening on the addresses that the node has. */
    void bind(EdgeListeners listeners, Supplier<byte[]> metrics, BooleanSupplier ready) {
        server(path -> new SimpleHttpServer.Response(200, "text/plain", metrics.get()))
                .bind(listeners.metricsAddress());
        listeners
                .readinessAddress()
                .ifPresent(address -> server(
                                path -> readiness(listeners.isReadinessPath().test(path) && ready.getAsBoolean()))
                        .bind(address));
        listeners
                .directoryAddress()
                .ifPresent(address -> server(listeners.directoryEndpoint()).bind(address));
    }

    private SimpleHttpServer server(Function<String, SimpleHttpServer.Response> responses) {
        return new SimpleHttpServer(group, clock, callerMemory, responses);
    }

    private static SimpleHttpServer.Response readiness(boolean ready) {
        byte[] text = (ready ? "ready" : "not ready").getBytes(StandardCharsets.UTF_8);
        return new SimpleHttpServer.Response(ready ? 200 : 503, "text/plain", text);
    }
}
