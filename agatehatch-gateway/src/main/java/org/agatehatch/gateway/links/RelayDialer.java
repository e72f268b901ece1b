package org.agatehatch.gateway.links;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.internal.connection.PeerFrame;
import org.agatehatch.internal.connection.PeerFrameCodec;
import org.agatehatch.internal.process.RelayMessages;
import org.agatehatch.internal.process.RelayMessages.Outcome;

/** Opens connections to backend servers through other nodes, each on a link of its own. Runs on the traffic thread. */
public final class RelayDialer {
    /** Above the relay's own limit for a connect, by two round trips between nodes. */
    private static final int ANSWER_TIMEOUT_MILLIS = 230;

    private static final int LENGTH_FIELD_BYTES = 4;

    /** Receives the result of a question. */
    public interface Listener {
        /** Called when the connection is open, with a channel whose pipeline passes on the server's bytes. */
        void onOpened(Channel channel);

        /** Called when it was not opened. Nothing was sent to the server. */
        void onFailed(Outcome outcome);
    }

    private final EventLoop loop;

    public RelayDialer(EventLoop loop) {
        this.loop = loop;
    }

    /** Asks a node for a connection to a server. */
    public void open(PeerAddress node, RelayMessages.Open question, Listener listener) {
        Handshake handshake = new Handshake(listener);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, ANSWER_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new LengthFieldBasedFrameDecoder(
                                        PeerFrameCodec.MAX_FRAME_BYTES + LENGTH_FIELD_BYTES,
                                        0,
                                        LENGTH_FIELD_BYTES,
                                        0,
                                        LENGTH_FIELD_BYTES))
                                .addLast(handshake);
                    }
                })
                .connect(node.host(), node.port())
                .addListener((ChannelFuture connected) -> {
                    if (!connected.isSuccess()) {
                        handshake.end(connected.channel(), Outcome.NO_ANSWER);
                        return;
                    }
                    byte[] frame = PeerFrameCodec.encode(
                            new PeerFrame(PeerFrame.Kind.QUESTION, 1, RelayMessages.encode(question)));
                    connected
                            .channel()
                            .writeAndFlush(Unpooled.buffer(LENGTH_FIELD_BYTES + frame.length)
                                    .writeInt(frame.length)
                                    .writeBytes(frame));
                    loop.schedule(
                            () -> handshake.end(connected.channel(), Outcome.NO_ANSWER),
                            ANSWER_TIMEOUT_MILLIS,
                            TimeUnit.MILLISECONDS);
                });
    }

    /** Waits for the relay's answer. */
    private static final class Handshake extends SimpleChannelInboundHandler<ByteBuf> {
        private final Listener listener;
        private boolean ended;

        private Handshake(Listener listener) {
            this.listener = listener;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
            Outcome outcome = decode(bytes);
            if (ended || outcome != Outcome.OPENED) {
                end(context.channel(), outcome);
                return;
            }
            ended = true;
            context.pipeline().replace(this, null, new RelayedBytes());
            listener.onOpened(context.channel());
        }

        private static Outcome decode(ByteBuf bytes) {
            byte[] copy = new byte[bytes.readableBytes()];
            bytes.readBytes(copy);
            try {
                PeerFrame frame = PeerFrameCodec.decode(copy, copy.length, "relay");
                return frame.kind() == PeerFrame.Kind.ANSWER
                        ? RelayMessages.decodeOutcome(frame.message())
                        : Outcome.NO_ANSWER;
            } catch (AgatehatchException | IllegalArgumentException e) {
                return Outcome.NO_ANSWER;
            }
        }

        private void end(Channel channel, Outcome outcome) {
            if (!ended) {
                ended = true;
                channel.close();
                listener.onFailed(outcome);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            end(context.channel(), Outcome.NO_ANSWER);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            end(context.channel(), Outcome.NO_ANSWER);
        }
    }
}
