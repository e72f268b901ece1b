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
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.peer.PeerTransport;
import org.agatehatch.internal.connection.PeerFrame;
import org.agatehatch.internal.connection.PeerFrameCodec;
import org.agatehatch.internal.process.InputGuard;
import org.agatehatch.internal.process.RelayMessages;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends messages to other nodes over TCP connections that are opened on demand and kept. A connection on which a request timed
 * out gets no further messages, since an established connection may stay silent for good while new connections work. It is
 * closed once no request waits on it.
 */
public final class TcpPeerTransport implements PeerTransport {
    private static final Logger log = LoggerFactory.getLogger(TcpPeerTransport.class);

    private static final int LENGTH_FIELD_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    private static final byte[] NO_BYTES = {};

    /** Handles messages from other nodes: requests, which are answered, and one-way notices. */
    @FunctionalInterface
    public interface MessageHandler {
        /** Handles a message. The result is sent back if the message is a request. */
        CompletionStage<PeerMessage> receive(PeerMessage message);
    }

    /** Takes over connections on which other nodes ask for a relayed connection to a backend server. */
    @FunctionalInterface
    interface RelayAcceptor {
        /**
         * Handles a question. After an answer that the connection is open, it carries no more frames from the other node, and
         * frames of plain bytes to it.
         */
        void accept(Channel node, RelayMessages.Open open, Consumer<RelayMessages.Outcome> answer);
    }

    private static final RelayAcceptor NO_RELAY = (node, open, answer) -> answer.accept(RelayMessages.Outcome.BUSY);

    private final EventLoopGroup group;
    private final EventLoop loop;
    private final MessageHandler handler;
    private final RelayAcceptor relayAcceptor;
    private final Map<String, ChannelFuture> connections = new HashMap<>();
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    private final Set<Channel> retired = new HashSet<>();
    private final InputGuard guard = new InputGuard("node_link");
    private long lastCorrelationId;

    private record PendingRequest(Channel channel, CompletableFuture<PeerMessage> response) {}

    /** Creates a transport that relays no connections. */
    public TcpPeerTransport(EventLoopGroup group, MessageHandler handler) {
        this(group, handler, NO_RELAY);
    }

    /** Creates a transport. */
    public TcpPeerTransport(EventLoopGroup group, MessageHandler handler, ServerRelay relay) {
        this(group, handler, relay::accept);
    }

    private TcpPeerTransport(EventLoopGroup group, MessageHandler handler, RelayAcceptor relayAcceptor) {
        this.group = group;
        this.loop = group.next();
        this.handler = handler;
        this.relayAcceptor = relayAcceptor;
    }

    /**
     * Accepts connections from other nodes.
     *
     * @return the bound port
     */
    public int bind(PeerAddress address) {
        Channel listening = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer())
                .bind(address.host(), address.port())
                .syncUninterruptibly()
                .channel();
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    @Override
    public void send(String nodeAddress, PeerMessage message) {
        loop.execute(() -> connectionTo(nodeAddress).addListener((ChannelFuture future) -> {
            if (future.isSuccess()) {
                write(future.channel(), new PeerFrame(PeerFrame.Kind.NOTICE, 0, message));
            }
        }));
    }

    @Override
    public CompletionStage<PeerMessage> ask(String nodeAddress, PeerMessage message, long timeoutMillis) {
        CompletableFuture<PeerMessage> response = new CompletableFuture<>();
        loop.execute(() -> connectionTo(nodeAddress).addListener((ChannelFuture future) -> {
            if (!future.isSuccess()) {
                response.completeExceptionally(
                        unreachable(nodeAddress, "connection could not be opened: " + future.cause()));
                return;
            }
            ask(nodeAddress, future.channel(), message, response, timeoutMillis);
        }));
        return response;
    }

    private void ask(
            String nodeAddress,
            Channel channel,
            PeerMessage message,
            CompletableFuture<PeerMessage> response,
            long timeoutMillis) {
        long correlation = ++lastCorrelationId;
        pendingRequests.put(correlation, new PendingRequest(channel, response));
        Optional<AgatehatchException> unsent =
                write(channel, new PeerFrame(PeerFrame.Kind.QUESTION, correlation, message));
        if (unsent.isPresent()) {
            pendingRequests.remove(correlation);
            response.completeExceptionally(unsent.get());
            return;
        }
        loop.schedule(
                () -> {
                    if (pendingRequests.remove(correlation) != null) {
                        retire(nodeAddress, channel);
                        response.completeExceptionally(
                                unreachable(nodeAddress, "no answer within " + timeoutMillis + " ms"));
                    }
                },
                timeoutMillis,
                TimeUnit.MILLISECONDS);
    }

    private void retire(String nodeAddress, Channel channel) {
        connections.computeIfPresent(nodeAddress, (address, current) -> current.channel() == channel ? null : current);
        retired.add(channel);
        closeIfUnused(channel);
    }

    private void closeIfUnused(Channel channel) {
        boolean unused = pendingRequests.values().stream().noneMatch(request -> request.channel == channel);
        if (unused && retired.remove(channel)) {
            channel.close();
        }
    }

    private ChannelFuture connectionTo(String nodeAddress) {
        ChannelFuture existing = connections.get(nodeAddress);
        boolean usable = existing != null
                && (!existing.isDone()
                        || (existing.isSuccess() && existing.channel().isActive()));
        if (usable) {
            return existing;
        }
        PeerAddress address = PeerAddress.parse(nodeAddress);
        ChannelFuture opened = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(initializer())
                .connect(address.host(), address.port());
        connections.put(nodeAddress, opened);
        return opened;
    }

    private ChannelInitializer<Channel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(new LengthFieldBasedFrameDecoder(
                                PeerFrameCodec.MAX_FRAME_BYTES + LENGTH_FIELD_BYTES,
                                0,
                                LENGTH_FIELD_BYTES,
                                0,
                                LENGTH_FIELD_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
                        .addLast(new FrameHandler());
            }
        };
    }

    /** Writes a frame, and returns why it could not be encoded; empty if it was written. */
    private static Optional<AgatehatchException> write(Channel channel, PeerFrame frame) {
        try {
            channel.writeAndFlush(Unpooled.wrappedBuffer(PeerFrameCodec.encode(frame)));
            return Optional.empty();
        } catch (AgatehatchException e) {
            log.warn(
                    "event=node_message_unsent kind={} type={} peer={} cause=\"{}\"",
                    frame.kind(),
                    frame.message().type(),
                    channel.remoteAddress(),
                    e.getMessage());
            return Optional.of(e);
        }
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
                case NOTICE -> receive(frame.message());
                case QUESTION -> onQuestion(context.channel(), frame);
                case ANSWER, FAILURE -> onAnswer(frame, peer);
            }
        }

        private void onQuestion(Channel channel, PeerFrame request) {
            PeerFrame failed = new PeerFrame(
                    PeerFrame.Kind.FAILURE, request.correlationId(), new PeerMessage("failure", NO_BYTES));
            if (request.message().type().equals(RelayMessages.TYPE)) {
                if (!guard.run(RelayMessages.TYPE, () -> acceptRelay(channel, request))) {
                    write(channel, failed);
                }
                return;
            }
            receive(request.message()).whenComplete((reply, failure) -> {
                if (failure != null) {
                    write(channel, failed);
                    return;
                }
                write(channel, new PeerFrame(PeerFrame.Kind.ANSWER, request.correlationId(), reply))
                        .ifPresent(unsent -> write(channel, failed));
            });
        }

        private void acceptRelay(Channel channel, PeerFrame request) {
            relayAcceptor.accept(channel, RelayMessages.decodeOpen(request.message()), outcome -> {
                write(
                        channel,
                        new PeerFrame(PeerFrame.Kind.ANSWER, request.correlationId(), RelayMessages.encode(outcome)));
                if (outcome == RelayMessages.Outcome.OPENED) {
                    channel.pipeline().remove(LengthFieldBasedFrameDecoder.class);
                    channel.pipeline().remove(this);
                }
            });
        }

        /** A message that cannot be processed fails by itself; the link and the other messages on it stay. */
        private CompletionStage<PeerMessage> receive(PeerMessage message) {
            CompletableFuture<PeerMessage> failed = new CompletableFuture<>();
            AtomicReference<CompletionStage<PeerMessage>> reply = new AtomicReference<>(failed);
            if (!guard.run(message.type(), () -> reply.set(handler.receive(message)))) {
                failed.completeExceptionally(new IllegalArgumentException("message '" + message.type() + "' failed"));
            }
            return reply.get();
        }

        private void onAnswer(PeerFrame frame, String peer) {
            PendingRequest request = pendingRequests.remove(frame.correlationId());
            if (request == null) {
                return;
            }
            if (retired.contains(request.channel)) {
                closeIfUnused(request.channel);
            }
            if (frame.kind() == PeerFrame.Kind.FAILURE) {
                request.response.completeExceptionally(unreachable(peer, "the node failed to process the request"));
                return;
            }
            request.response.complete(frame.message());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            retired.remove(context.channel());
            String peer = String.valueOf(context.channel().remoteAddress());
            pendingRequests.values().removeIf(request -> {
                boolean lost = request.channel == context.channel();
                if (lost) {
                    request.response.completeExceptionally(unreachable(peer, "connection closed before the answer"));
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
