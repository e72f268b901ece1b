package org.agatehatch.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.OptionalLong;

/** Header codec with simple header names for tests. */
final class TestHeaderCodec implements HeaderCodec {
    @Override
    public RequestMetadata readRequest(HttpRequest head) {
        String deadline = head.headers().get("x-deadline", "");
        return new RequestMetadata(
                head.headers().get("x-id", ""),
                deadline.isEmpty() ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(deadline)),
                Optional.empty());
    }

    @Override
    public void writeAttempt(HttpHeaders headers, AttemptMetadata terms) {
        headers.remove("x-only-system");
        headers.set("x-deadline", terms.timeoutMillis().orElse(0));
        headers.set("x-server", terms.serverId());
        if (!terms.resumeAfterEventId().isEmpty()) {
            headers.set("last-event-id", terms.resumeAfterEventId());
        }
    }

    @Override
    public ResponseMetadata readResponse(HttpResponse head) {
        return new ResponseMetadata(
                head.headers().get("x-id", ""),
                head.headers().contains("x-seal"),
                head.headers().contains("x-not-run"),
                head.status().code() == 421);
    }
}
