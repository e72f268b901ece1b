package org.agatehatch.gateway.connection;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;

/** What was read of a caller's next request, and the memory that it is charged. */
final class IncomingRequest {
    /** Objects of a header field: an entry, a name and a value. */
    private static final int FIELD_BYTES = 200;

    private Optional<HttpRequest> head = Optional.empty();
    private RequestBody body = new RequestBody(0);
    private long headBytes;
    private long structureBytes;
    private long begunNanos;
    private long headReceivedNanos;
    private boolean first = true;

    IncomingRequest(long acceptedNanos) {
        begunNanos = acceptedNanos;
    }

    /** Returns whether the head was received, and the request is not complete. */
    boolean hasHead() {
        return head.isPresent();
    }

    /** Returns whether anything was received. */
    boolean hasBegun() {
        return head.isPresent() || structureBytes > 0;
    }

    /** Counts bytes of the head, of lines with chunk sizes or of trailers. */
    void addStructure(int bytes, int lines, long nowNanos) {
        if (!first && !hasBegun()) {
            begunNanos = nowNanos;
        }
        first = false;
        structureBytes += 2L * bytes + (long) FIELD_BYTES * lines;
    }

    void begin(HttpRequest received, long nowNanos) {
        head = Optional.of(received);
        headReceivedNanos = nowNanos;
        headBytes = structureBytes;
        structureBytes = 0;
        body = new RequestBody(HttpUtil.getContentLength(received, -1L));
    }

    /** Called when bytes of the body arrive: lines of chunk sizes before them are not kept, unlike those of trailers. */
    void dropStructure() {
        structureBytes = 0;
    }

    void add(ByteBuf bytes) {
        body.add(bytes);
    }

    RequestBody body() {
        return body;
    }

    /** Returns the memory of the head and of what was read of the body. */
    long receivedBytes() {
        return headBytes + body.length();
    }

    /** Returns the memory of the request if its body had the given capacity. */
    long heldBytes(int bodyCapacity) {
        return structureBytes + headBytes + bodyCapacity;
    }

    /** Returns the complete request with the memory that it is charged, and forgets it. */
    WaitingRequest complete() {
        byte[] whole = body.toArray();
        long charged = headBytes + structureBytes + whole.length;
        CallerRequest request = new CallerRequest(head.orElseThrow(), whole, begunNanos, headReceivedNanos);
        forget();
        return new WaitingRequest(request, charged);
    }

    void forget() {
        head = Optional.empty();
        body = new RequestBody(0);
        headBytes = 0;
        structureBytes = 0;
    }

    /** Request that was read and waits for its turn, with the memory that it is charged. */
    record WaitingRequest(CallerRequest request, long chargedBytes) {}
}
