package org.agatehatch.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.util.Locale;
import org.agatehatch.gateway.connection.ResponseSink;
import org.agatehatch.internal.request.EventBoundary;
import org.agatehatch.internal.request.EventSplitter;

/**
 * Relays a backend server's response to the caller: a plain response once it is complete, a stream as it arrives. A resumable
 * stream is relayed in whole events, so that another server can continue it after the last one.
 */
final class ResponseRelay {
    /** Plain responses are some KB; a hundred incomplete ones of this size fit a heap of 128 MiB. */
    static final int MAX_PLAIN_BODY_BYTES = 256 * 1024;

    private static final String EVENT_STREAM = "text/event-stream";

    private final ResponseSink sink;
    private final boolean resumable;
    private EventSplitter splitter = new EventSplitter();
    private EventBoundary boundary = new EventBoundary();
    private boolean events;
    private HttpResponseStatus status = HttpResponseStatus.OK;
    private HttpHeaders headers = new DefaultHttpHeaders();
    private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private String firstEventId = "";
    private String lastEventId = "";
    private boolean mayBeginAgain;
    private boolean repeating;
    private boolean hasDataWithoutId;
    private boolean streaming;
    private boolean started;
    private boolean holdsCompleteResponse;

    ResponseRelay(ResponseSink sink, boolean resumable) {
        this.sink = sink;
        this.resumable = resumable;
    }

    /** Returns whether the content of a response is an event stream. */
    static boolean isEventStream(HttpResponse head) {
        return mediaType(head.headers()).equals(EVENT_STREAM);
    }

    /**
     * Returns whether the body of a later response can take the place of the rest of the stream that has begun. A plain answer,
     * such as an error page with status 200, or an empty one, would pass for a part or for the end of the stream.
     */
    boolean isContinuedBy(HttpResponse response) {
        return response.status().equals(status)
                && mediaType(response.headers()).equals(mediaType(headers))
                && response.headers()
                        .get(HttpHeaderNames.CONTENT_ENCODING, "")
                        .equals(headers.get(HttpHeaderNames.CONTENT_ENCODING, ""));
    }

    private static String mediaType(HttpHeaders headers) {
        return headers.get(HttpHeaderNames.CONTENT_TYPE, "")
                .split(";", 2)[0]
                .strip()
                .toLowerCase(Locale.ROOT);
    }

    /** Starts the response of an attempt. Once a stream to the caller has started, heads of later attempts are ignored. */
    void onHead(HttpResponse response, boolean stream) {
        streaming = stream;
        repeating = false;
        mayBeginAgain = started;
        splitter = new EventSplitter();
        boundary = new EventBoundary();
        events = isEventStream(response);
        if (started) {
            return;
        }
        status = response.status();
        headers = ConnectionHeaders.withoutHopByHop(response.headers());
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        body = new ByteArrayOutputStream();
        holdsCompleteResponse = false;
    }

    /**
     * Processes a chunk of the body and returns whether data was written to the caller.
     *
     * @throws IllegalStateException if a plain body or an event of a resumable stream exceeds its limit
     */
    boolean onContent(ByteBuf chunk) {
        if (!streaming) {
            if (body.size() + chunk.readableBytes() > MAX_PLAIN_BODY_BYTES) {
                throw new IllegalStateException(
                        "response body exceeds the limit of " + MAX_PLAIN_BODY_BYTES + " bytes");
            }
            byte[] bytes = new byte[chunk.readableBytes()];
            chunk.readBytes(bytes);
            body.writeBytes(bytes);
            for (byte next : bytes) {
                boundary.add(next);
            }
            return false;
        }
        if (!resumable) {
            int length = lengthBeforeStatusLine(chunk);
            if (length > 0) {
                startResponse();
                sink.write(chunk.retainedSlice(chunk.readerIndex(), length));
            }
            return length > 0;
        }
        byte[] bytes = new byte[chunk.readableBytes()];
        chunk.readBytes(bytes);
        boolean written = false;
        for (EventSplitter.Event event : splitter.add(bytes)) {
            written |= relayEvent(event);
        }
        return written;
    }

    /** Returns the number of bytes before the line that begins like the head of another response; all if there is none. */
    private int lengthBeforeStatusLine(ByteBuf chunk) {
        int found = chunk.forEachByte(next -> {
            boundary.add(next);
            return !holdsStatusLine();
        });
        if (found < 0) {
            return chunk.readableBytes();
        }
        int lineEnd = chunk.forEachByteDesc(chunk.readerIndex(), found - chunk.readerIndex(), next -> next != '\n');
        return lineEnd < 0 ? 0 : lineEnd + 1 - chunk.readerIndex();
    }

    private boolean relayEvent(EventSplitter.Event event) {
        if (isRepeated(event.id())) {
            return false;
        }
        if (!event.id().isEmpty()) {
            firstEventId = firstEventId.isEmpty() ? event.id() : firstEventId;
            lastEventId = event.id();
        }
        hasDataWithoutId |= lastEventId.isEmpty() && event.hasData();
        startResponse();
        sink.write(Unpooled.wrappedBuffer(event.bytes()));
        return true;
    }

    /**
     * Returns whether an event was written to the caller before. A server may begin again at an earlier event than asked for.
     * Numeric ids increase within a stream. Other ids have no order: if a later attempt begins with the stream's first one, it
     * repeats all events up to the last one.
     */
    private boolean isRepeated(String id) {
        if (id.isEmpty() || lastEventId.isEmpty()) {
            return repeating;
        }
        if (id.equals(lastEventId)) {
            repeating = false;
            return true;
        }
        repeating = isNumber(id) && isNumber(lastEventId)
                ? Long.parseLong(id) < Long.parseLong(lastEventId)
                : repeating || (mayBeginAgain && id.equals(firstEventId));
        mayBeginAgain = false;
        return repeating;
    }

    private static boolean isNumber(String id) {
        try {
            Long.parseLong(id);
            return true;
        } catch (NumberFormatException e) {
            return false;
        }
    }

    private void startResponse() {
        if (!started) {
            started = true;
            sink.startResponse(status, headers);
        }
    }

    void flush() {
        if (started) {
            sink.flush();
        }
    }

    /** Returns whether the response, if it ends now, ends within an event. */
    boolean endsWithinEvent() {
        return streaming && resumable ? splitter.holdsPartialEvent() : events && boundary.withinEvent();
    }

    /** Returns whether an event stream contains the head of another response, as a server may write that fails. */
    boolean holdsStatusLine() {
        return streaming && resumable ? splitter.hasStatusLine() : events && boundary.hasStatusLine();
    }

    /** Records the end of the server's response. Returns false if a stream ended within an event, or before the last one. */
    boolean onEnd() {
        if (endsWithinEvent() || repeating) {
            return false;
        }
        holdsCompleteResponse = true;
        return true;
    }

    /** Writes a complete plain response, or ends the stream. */
    void completeResponse() {
        if (!streaming) {
            sink.respond(status, headers, body.toByteArray());
            return;
        }
        startResponse();
        sink.complete();
    }

    boolean holdsCompleteResponse() {
        return holdsCompleteResponse && !started;
    }

    boolean started() {
        return started;
    }

    int status() {
        return status.code();
    }

    /** Returns whether another server can provide the rest of the response. One that is given no event's id begins again. */
    boolean mayGoOnElsewhere() {
        return !lastEventId.isEmpty() || !hasDataWithoutId;
    }

    /** Returns the id of the last event written to the caller; empty if there is none. */
    String lastEventId() {
        return started ? lastEventId : "";
    }
}
