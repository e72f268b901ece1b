package org.agatehatch.gateway.connection;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer to one request on a connection to a backend server. Called on the connection's thread. */
public interface ResponseListener {
    /** What the listener wants with the answer whose head it was given. */
    enum Disposition {
        /** The answer belongs to the request. */
        ACCEPT,
        /** The answer belongs to another request; the one that is awaited may follow. */
        SKIP
    }

    /** The head of an answer arrived. */
    Disposition onHead(HttpResponse head);

    /** A piece of the body arrived. The listener must not keep it without retaining it. */
    void onContent(ByteBuf content);

    /** All pieces that arrived together have been given. */
    void onReadComplete();

    /** The whole answer arrived. */
    void onEnd();

    /** The connection ended, or what arrived was not an answer. Nothing follows. */
    void onConnectionError(String cause);
}
