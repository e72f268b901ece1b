package org.agatehatch.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import org.agatehatch.internal.request.EventBoundary;
import org.agatehatch.internal.request.EventSplitter;

/** The response of a server so far, held back while another server may still provide the caller's response. */
final class HeldResponse {
    private final HttpResponse head;
    private final boolean stream;
    private final boolean events;
    private final EventSplitter splitter = new EventSplitter();
    private final EventBoundary boundary = new EventBoundary();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    HeldResponse(HttpResponse head, boolean stream) {
        this.head = head;
        this.stream = stream;
        this.events = stream || ResponseRelay.isEventStream(head);
    }

    /**
     * Adds a chunk of the body and returns whether it completes an event of a stream.
     *
     * @throws IllegalStateException if a plain body or an event exceeds its limit
     */
    boolean add(ByteBuf chunk) {
        if (!stream && body.size() + chunk.readableBytes() > ResponseRelay.MAX_PLAIN_BODY_BYTES) {
            throw new IllegalStateException(
                    "response body exceeds the limit of " + ResponseRelay.MAX_PLAIN_BODY_BYTES + " bytes");
        }
        byte[] bytes = new byte[chunk.readableBytes()];
        chunk.readBytes(bytes);
        body.writeBytes(bytes);
        for (byte next : bytes) {
            boundary.add(next);
        }
        return stream && !splitter.add(bytes).isEmpty();
    }

    /** Returns whether the response, if it ends now, ends within an event. */
    boolean endsWithinEvent() {
        return events && boundary.withinEvent();
    }

    /** Returns whether an event stream contains the head of another response. */
    boolean holdsStatusLine() {
        return events && boundary.hasStatusLine();
    }

    int status() {
        return head.status().code();
    }

    /** Passes the response so far to a relay and returns whether data was written to the caller. */
    boolean replay(ResponseRelay relay) {
        relay.onHead(head, stream);
        return body.size() > 0 && relay.onContent(Unpooled.wrappedBuffer(body.toByteArray()));
    }
}
