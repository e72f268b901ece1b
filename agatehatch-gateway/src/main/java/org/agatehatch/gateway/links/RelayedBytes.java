package org.agatehatch.gateway.links;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;

/**
 * Turns frames of a relay into the bytes of the server's connection. An empty frame stands for the server's orderly close. A
 * connection that ends without one was cut, by a reset of the server or by the end of the relay, and counts as reset: else an
 * answer without a length would look complete.
 */
final class RelayedBytes extends ChannelInboundHandlerAdapter {
    private boolean ended;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (bytes.isReadable()) {
            context.fireChannelRead(bytes);
            return;
        }
        bytes.release();
        ended = true;
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (!ended) {
            context.fireExceptionCaught(new IOException("the relayed connection was cut"));
        }
        context.fireChannelInactive();
    }
}
