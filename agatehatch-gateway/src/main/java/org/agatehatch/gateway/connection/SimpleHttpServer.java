package org.agatehatch.gateway.connection;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.function.Function;
import org.agatehatch.api.fleet.ClientLimits;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.time.MonotonicClock;

/** HTTP server for requests that are answered synchronously, such as readiness checks and metrics. */
public final class SimpleHttpServer {
    /** A complete response. */
    public record Response(int status, String contentType, byte[] body) {}

    private final CallerServer server;

    /**
     * Creates a server whose connections share no limits with those of other servers.
     *
     * @param responses returns the response for a path with its query
     */
    public SimpleHttpServer(EventLoopGroup group, MonotonicClock clock, Function<String, Response> responses) {
        this(group, clock, CallerMemory.ofProcess(clock), responses);
    }

    /**
     * Creates a server whose connections are charged to an account.
     *
     * @param responses returns the response for a path with its query
     */
    public SimpleHttpServer(
            EventLoopGroup group, MonotonicClock clock, CallerMemory memory, Function<String, Response> responses) {
        server = new CallerServer(group, clock, () -> ClientLimits.INITIAL, () -> false, memory, (request, sink) -> {
            Response response = responses.apply(request.head().uri());
            HttpHeaders headers = new DefaultHttpHeaders();
            if (response.body().length > 0) {
                headers.set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
            }
            sink.respond(HttpResponseStatus.valueOf(response.status()), headers, response.body());
            return RequestHandler.ALREADY_ANSWERED;
        });
    }

    /** Starts listening. */
    public void bind(PeerAddress address) {
        server.bind(address);
    }
}
