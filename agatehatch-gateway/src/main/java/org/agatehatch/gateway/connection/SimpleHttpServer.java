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

/** Answers small questions, such as readiness and metrics, at once. */
public final class SimpleHttpServer {
    /** An answer. */
    public record Response(int status, String contentType, byte[] body) {}

    private static final RequestHandler.InFlightRequest ALREADY_ANSWERED = new RequestHandler.InFlightRequest() {
        @Override
        public void onCallerGone() {}

        @Override
        public void onWritabilityChanged(boolean writable) {}
    };

    private final CallerServer server;

    /**
     * Creates the server.
     *
     * @param replies gives the answer for a path with its query
     */
    public SimpleHttpServer(EventLoopGroup group, MonotonicClock clock, Function<String, Response> replies) {
        server = new CallerServer(group, clock, () -> ClientLimits.INITIAL, () -> false, (request, sink) -> {
            Response reply = replies.apply(request.head().uri());
            HttpHeaders headers = new DefaultHttpHeaders();
            if (reply.body().length > 0) {
                headers.set(HttpHeaderNames.CONTENT_TYPE, reply.contentType());
            }
            sink.respond(HttpResponseStatus.valueOf(reply.status()), headers, reply.body());
            return ALREADY_ANSWERED;
        });
    }

    /** Starts to listen. */
    public void bind(PeerAddress address) {
        server.bind(address);
    }
}
