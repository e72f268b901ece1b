package org.agatehatch.gateway.connection;

import io.netty.handler.codec.http.HttpRequest;
import java.util.concurrent.TimeUnit;

/**
 * A caller's request, read completely.
 *
 * @param begunNanos monotonic clock reading at which the connection was accepted, if this is its first request; otherwise at which
 *     the decoding of the head began
 * @param arrivedNanos monotonic clock reading at which the request's head was complete
 */
public record CallerRequest(HttpRequest head, byte[] body, long begunNanos, long arrivedNanos) {
    /** Returns the time for which the head was received. */
    public long readMillis() {
        return TimeUnit.NANOSECONDS.toMillis(arrivedNanos - begunNanos);
    }
}
