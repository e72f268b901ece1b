package org.agatehatch.gateway.links;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.peer.PeerTransport;
import org.agatehatch.internal.connection.PeerFrame;
import org.agatehatch.internal.connection.PeerFrameCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Links to other nodes, opened when they are needed and kept. A link whose question got no answer in time is closed, since
 * a connection may go silent for good while new ones work.
 */
public final class NodeLinks implements PeerTransport {
    private static final Logger log = LoggerFactory.getLogger(NodeLinks.class);

    private static final int LENGTH_BYTES = 4;
    private static final int CONNECT_MILLIS = 300;

    /** Answers the questions of other nodes and takes their notices. */
    @FunctionalInterface
    public interface Handler {
        /** Takes a message; the result is the answer if it was a question. */
        CompletionStage<PeerMessage> receive(PeerMessage message);
    }

    private final EventLoopGroup group;
    private final EventLoop loop;
    private final Handler handler;
    private final Map<String, ChannelFuture> links = new HashMap<>();
    private final Map<Long, Question> questions = new HashMap<>();
    private long lastCorrelation;

    private record Question(Channel channel, CompletableFuture<PeerMessage> answer) {}

    public NodeLinks(EventLoopGroup group, Handler handler) {
        this.group = group;
        this.loop = group.next();
        this.handler = handler;
    }

    /** Accepts links from other nodes. */
    public void bind(PeerAddress address) {
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer())
                .bind(address.host(), address.port())
                .syncUninterruptibly();
    }

    @Override
    public void send(String nodeAddress, PeerMessage message) {
        loop.execute(() -> link(nodeAddress).addListener((ChannelFuture future) -> {
            if (future.isSuccess()) {
                write(future.channel(), new PeerFrame(PeerFrame.Kind.NOTICE, 0, message));
            }
        }));
    }

    @Override
    public CompletionStage<PeerMessage> ask(String nodeAddress, PeerMessage message, long timeoutMillis) {
        CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
        loop.execute(() -> link(nodeAddress).addListener((ChannelFuture future) -> {
            if (!future.isSuccess()) {
                answer.completeExceptionally(unreachable(nodeAddress, "no connection: " + future.cause()));
                return;
            }
            ask(nodeAddress, future.channel(), message, answer, timeoutMillis);
        }));
        return answer;
    }

    private void ask(
            String nodeAddress,
            Channel channel,
            PeerMessage message,
            CompletableFuture<PeerMessage> answer,
            long timeoutMillis) {
        long correlation = ++lastCorrelation;
        questions.put(correlation, new Question(channel, answer));
        write(channel, new PeerFrame(PeerFrame.Kind.QUESTION, correlation, message));
        loop.schedule(
                () -> {
                    if (questions.remove(correlation) != null) {
                        channel.close();
                        answer.completeExceptionally(
                                unreachable(nodeAddress, "no answer within " + timeoutMillis + " ms"));
                    }
                },
                timeoutMillis,
                TimeUnit.MILLISECONDS);
    }

    private ChannelFuture link(String nodeAddress) {
        ChannelFuture present = links.get(nodeAddress);
        boolean usable = present != null
                && (!present.isDone()
                        || (present.isSuccess() && present.channel().isActive()));
        if (usable) {
            return present;
        }
        PeerAddress address = PeerAddress.parse(nodeAddress);
        ChannelFuture opened = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                .handler(initializer())
                .connect(address.host(), address.port());
        links.put(nodeAddress, opened);
        return opened;
    }

    private ChannelInitializer<Channel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(new LengthFieldBasedFrameDecoder(
                                PeerFrameCodec.MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(new FrameHandler());
            }
        };
    }

    private static void write(Channel channel, PeerFrame frame) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(PeerFrameCodec.encode(frame)));
    }

    private static AgatehatchException unreachable(String nodeAddress, String cause) {
        return new AgatehatchException(
                ErrorCode.NODE_UNREACHABLE, "ask node", nodeAddress, Outcome.UNKNOWN, nodeAddress + ": " + cause);
    }

    private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
            byte[] copy = new byte[bytes.readableBytes()];
            bytes.readBytes(copy);
            String peer = String.valueOf(context.channel().remoteAddress());
            PeerFrame frame = PeerFrameCodec.decode(copy, copy.length, peer);
            switch (frame.kind()) {
                case NOTICE -> handler.receive(frame.message());
                case QUESTION -> answer(context.channel(), frame);
                case ANSWER, FAILURE -> onAnswer(frame, peer);
            }
        }

        private void answer(Channel channel, PeerFrame question) {
            handler.receive(question.message()).whenComplete((reply, failure) -> {
                PeerFrame.Kind kind = failure == null ? PeerFrame.Kind.ANSWER : PeerFrame.Kind.FAILURE;
                PeerMessage message = failure == null ? reply : new PeerMessage("failure", new byte[0]);
                write(channel, new PeerFrame(kind, question.correlationId(), message));
            });
        }

        private void onAnswer(PeerFrame frame, String peer) {
            Question question = questions.remove(frame.correlationId());
            if (question == null) {
                return;
            }
            if (frame.kind() == PeerFrame.Kind.FAILURE) {
                question.answer.completeExceptionally(unreachable(peer, "the node failed to answer"));
                return;
            }
            question.answer.complete(frame.message());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            String peer = String.valueOf(context.channel().remoteAddress());
            questions.values().removeIf(question -> {
                boolean lost = question.channel == context.channel();
                if (lost) {
                    question.answer.completeExceptionally(unreachable(peer, "the link closed"));
                }
                return lost;
            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.info(
                    "event=node_link_failed peer={} cause={}", context.channel().remoteAddress(), cause.toString());
            context.close();
        }
    }
}
