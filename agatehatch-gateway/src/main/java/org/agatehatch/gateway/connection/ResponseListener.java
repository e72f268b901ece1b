package org.agatehatch.gateway.connection;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the response to one request on a connection to a backend server. Called on the connection's event loop. */
public interface ResponseListener {
    /** The listener's decision on a response, taken from its head. */
    enum Disposition {
        /** The response belongs to the request. */
        ACCEPT,
        /** The response belongs to another request and is discarded; the expected response may follow. */
        SKIP
    }

    /** Called when the head of a final (non-1xx) response arrives. */
    Disposition onHead(HttpResponse head);

    /** Called with each chunk of the body. The buffer is released after the call unless the listener retains it. */
    void onContent(ByteBuf content);

    /** Called when all chunks of one socket read have been delivered. */
    void onReadComplete();

    /** Called when the response is complete as far as its framing tells. */
    void onEnd(ResponseEnd end);

    /** Called when the connection closed or the data was not a valid response. No further calls follow. */
    void onConnectionError(String cause);
}
