package org.agatehatch.gateway.request;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.agatehatch.api.fleet.RouteSpec;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.gateway.HeaderCodec;
import org.agatehatch.gateway.connection.BackendConnection;
import org.agatehatch.gateway.connection.BackendConnectionPool;
import org.agatehatch.gateway.connection.CallerRequest;
import org.agatehatch.gateway.connection.ResponseListener;

/**
 * Sends one caller's request to backend servers, once for each attempt. All sends carry the caller's attempt id, so no connection
 * carries the request twice: a late copy of the response to the first send could not be told from the response to the second.
 */
final class AttemptSender {
    private final ExchangeContext context;
    private final CallerRequest request;
    private final RouteSpec route;
    private final TeamAccess access;
    private final List<BackendConnection> usedConnections = new ArrayList<>(1);

    AttemptSender(ExchangeContext context, CallerRequest request, RouteSpec route, TeamAccess access) {
        this.context = context;
        this.request = request;
        this.route = route;
        this.access = access;
    }

    /**
     * Acquires a connection to a backend server that has not carried the request.
     *
     * @param neededMillis time until the request's deadline
     */
    void acquire(ServerEntry server, long neededMillis, BackendConnectionPool.AcquireListener listener) {
        long maxIdleMillis =
                route.repeatable() ? Long.MAX_VALUE : context.timeouts().nonRepeatableMaxIdleMillis();
        context.connector()
                .acquire(
                        server,
                        maxIdleMillis,
                        neededMillis,
                        connection -> !usedConnections.contains(connection),
                        listener);
    }

    /**
     * Sends the request.
     *
     * @param remainingMillis time until the request's deadline
     * @param resumeAfterEventId id of the last event that the caller has received; empty to run from the start
     */
    void send(
            BackendConnection connection,
            ServerEntry server,
            long remainingMillis,
            String resumeAfterEventId,
            ResponseListener listener) {
        usedConnections.add(connection);
        connection.send(build(server, remainingMillis, resumeAfterEventId), listener);
    }

    /** Copies the caller's request without hop-by-hop headers, with the attempt's headers. */
    private DefaultFullHttpRequest build(ServerEntry server, long remainingMillis, String resumeAfterEventId) {
        DefaultFullHttpRequest copy = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.head().method(),
                request.head().uri(),
                Unpooled.wrappedBuffer(request.body()));
        HttpHeaders headers = ConnectionHeaders.withoutHopByHop(request.head().headers());
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        boolean hasBody = request.body().length > 0
                || request.head().headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || request.head().headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
        if (hasBody) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        OptionalLong remaining = OptionalLong.of(Math.max(1, remainingMillis));
        context.headerCodec()
                .writeAttempt(
                        headers,
                        new HeaderCodec.AttemptMetadata(
                                remaining,
                                server.id(),
                                access.urgency(),
                                resumeAfterEventId,
                                access.removesCredential(),
                                access.teamName()));
        copy.headers().set(headers);
        return copy;
    }
}
