package org.agatehatch.gateway.connection;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** Checks of a request before it is served, and the response to one that is rejected. */
final class RequestChecks {
    static final String RETRY_AFTER_SECONDS = "1";

    private RequestChecks() {}

    /**
     * Returns whether a request has one Host header, a valid path and unambiguous framing. Several lengths, or a length with a
     * transfer encoding, would allow request smuggling.
     */
    static boolean isWellFormed(HttpRequest head) {
        HttpHeaders headers = head.headers();
        int lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size();
        int encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING).size();
        boolean chunked = encodings == 1
                && headers.containsValue(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true);
        boolean framedOnce = lengths + encodings <= 1 && (encodings == 0 || chunked);
        return framedOnce
                && headers.getAll(HttpHeaderNames.HOST).size() == 1
                && head.uri().startsWith("/")
                && head.uri().chars().allMatch(c -> c > ' ' && c < 0x7f);
    }

    static HttpResponseStatus statusFor(Throwable cause) {
        if (!(cause instanceof TooLongFrameException)) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
    }

    /** Returns the response to a request that has not run and never will. */
    static DefaultFullHttpResponse rejection(HttpResponseStatus status) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, "close");
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        return response;
    }
}
