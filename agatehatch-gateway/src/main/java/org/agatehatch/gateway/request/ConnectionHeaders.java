package org.agatehatch.gateway.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Removes hop-by-hop headers, which apply to a single connection and must not be forwarded. */
final class ConnectionHeaders {
    private static final List<String> HOP_BY_HOP = List.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect");

    private ConnectionHeaders() {}

    /** Returns a copy without hop-by-hop headers, including those that the Connection header names. */
    static HttpHeaders withoutHopByHop(HttpHeaders headers) {
        HttpHeaders copy = new DefaultHttpHeaders().set(headers);
        for (String connection : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String named : connection.split(",")) {
                if (!named.isBlank()) {
                    copy.remove(named.strip());
                }
            }
        }
        HOP_BY_HOP.forEach(copy::remove);
        return copy;
    }
}
