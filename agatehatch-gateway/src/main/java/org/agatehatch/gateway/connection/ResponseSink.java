package org.agatehatch.gateway.connection;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Writes the response to one request of a caller. Used on the connection's event loop. */
public interface ResponseSink {
    /** Writes a complete response. */
    void respond(HttpResponseStatus status, HttpHeaders headers, byte[] body);

    /** Writes the head of a response whose length is not known yet. */
    void startResponse(HttpResponseStatus status, HttpHeaders headers);

    /** Writes a chunk of a started response without flushing it. Takes ownership of the buffer's reference count. */
    void write(ByteBuf chunk);

    /** Flushes what was written to the socket. */
    void flush();

    /** Ends a started response as complete. */
    void complete();

    /** Closes the connection without ending the response, so that the caller sees it as truncated. */
    void abort();

    /** Called when the caller has disconnected. Nothing is written afterwards. */
    default void onCallerGone() {}

    /** Returns whether the connection's write buffer is below its high watermark. */
    boolean isWritable();
}
