package org.agatehatch.gateway.connection;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Where the answer to one request of a caller is written. Used on the connection's thread. */
public interface ResponseSink {
    /** Writes a whole answer. */
    void respond(HttpResponseStatus status, HttpHeaders headers, byte[] body);

    /** Begins an answer whose length is not known. */
    void startResponse(HttpResponseStatus status, HttpHeaders headers);

    /** Writes a piece of an answer that has begun. Takes over the reference. */
    void write(ByteBuf piece);

    /** Sends what was written. */
    void flush();

    /** Ends an answer that has begun, as complete. */
    void complete();

    /** Breaks the answer off, so that it does not look complete. */
    void abort();

    /** Notes that the caller has left, so that nothing more is written. */
    default void onCallerGone() {}

    /** Returns whether the caller takes data at present. */
    boolean isWritable();
}
