package org.agatehatch.gateway.connection;

import io.netty.handler.codec.http.HttpRequest;

/**
 * A caller's request, read completely.
 *
 * @param arrivedNanos monotonic clock reading at which the request's head was complete
 */
public record CallerRequest(HttpRequest head, byte[] body, long arrivedNanos) {}
