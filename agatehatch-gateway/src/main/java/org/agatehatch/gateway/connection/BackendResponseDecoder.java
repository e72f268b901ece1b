package org.agatehatch.gateway.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;

/** Decodes a backend server's responses, and reports bytes to the connection before they are decoded. */
final class BackendResponseDecoder extends HttpResponseDecoder {
    private final BackendConnection connection;

    BackendResponseDecoder(HttpDecoderConfig config, BackendConnection connection) {
        super(config);
        this.connection = connection;
    }

    /** Returns the number of bytes received after the last decoded message. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (connection.acceptBytes(((ByteBuf) message).readableBytes())) {
            super.channelRead(context, message);
        } else {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return connection.awaitsHeadOnly() || super.isContentAlwaysEmpty(message);
    }
}
