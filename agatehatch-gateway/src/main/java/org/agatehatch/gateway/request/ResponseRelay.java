package org.agatehatch.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import org.agatehatch.gateway.connection.ResponseSink;
import org.agatehatch.internal.request.EventSplitter;

/**
 * Passes a backend server's answer on to the caller: plain answers once they are whole, streams as they arrive. A
 * resumable stream is passed on in whole events, so that another server can go on behind the last one.
 */
final class ResponseRelay {
    private final ResponseSink sink;
    private final boolean resumable;
    private EventSplitter splitter = new EventSplitter();
    private HttpResponseStatus status = HttpResponseStatus.OK;
    private HttpHeaders headers = new DefaultHttpHeaders();
    private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
    private String lastEventId = "";
    private boolean streaming;
    private boolean started;
    private boolean holdsCompleteResponse;

    ResponseRelay(ResponseSink sink, boolean resumable) {
        this.sink = sink;
        this.resumable = resumable;
    }

    /** Starts with an attempt's answer. The head of a stream that the caller has begun to get is kept. */
    void onHead(HttpResponse response, boolean stream) {
        streaming = stream;
        splitter = new EventSplitter();
        if (started) {
            return;
        }
        status = response.status();
        headers = ConnectionHeaders.withoutHopByHop(response.headers());
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        body = new ByteArrayOutputStream();
        holdsCompleteResponse = false;
    }

    /** Takes a piece of the body and returns whether the caller was given something. */
    boolean onContent(ByteBuf piece) {
        if (!streaming) {
            byte[] bytes = new byte[piece.readableBytes()];
            piece.readBytes(bytes);
            body.writeBytes(bytes);
            return false;
        }
        if (!resumable) {
            startResponse();
            sink.write(piece.retainedDuplicate());
            return true;
        }
        byte[] bytes = new byte[piece.readableBytes()];
        piece.readBytes(bytes);
        boolean given = false;
        for (EventSplitter.Event event : splitter.add(bytes)) {
            given |= relayEvent(event);
        }
        return given;
    }

    private boolean relayEvent(EventSplitter.Event event) {
        if (!event.id().isEmpty()) {
            if (!lastEventId.isEmpty() && !isAfter(event.id(), lastEventId)) {
                return false;
            }
            lastEventId = event.id();
        }
        startResponse();
        sink.write(Unpooled.wrappedBuffer(event.bytes()));
        return true;
    }

    /** Ids are increasing numbers; anything else only has to differ. */
    private static boolean isAfter(String id, String last) {
        try {
            return Long.parseLong(id) > Long.parseLong(last);
        } catch (NumberFormatException e) {
            return !id.equals(last);
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

    /** Notes that the whole answer arrived, and returns whether it can be passed on as whole. */
    boolean onEnd() {
        if (streaming && resumable && splitter.holdsPartialEvent()) {
            return false;
        }
        holdsCompleteResponse = true;
        return true;
    }

    /** Passes the rest of a whole answer on. */
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

    /** Returns the id of the last event that the caller was given; empty if there is none. */
    String lastEventId() {
        return started ? lastEventId : "";
    }
}
