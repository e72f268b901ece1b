package org.agatehatch.gateway.links;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.gateway.connection.BackendConnectionPool;
import org.agatehatch.internal.process.RelayMessages;
import org.agatehatch.internal.process.RelayMessages.Outcome;
import org.agatehatch.internal.process.ServerPaths;

/**
 * Relays connections to backend servers for nodes that do not reach them: it connects to the server itself and passes bytes on in
 * both directions without reading them. Only processes that this node knows as servers are connected to, and only directly, so
 * that a connection passes one relay at most. Runs on the traffic thread.
 */
public final class ServerRelay {
    /** Descriptors and buffers for callers of this node come first; a connection takes two of its some thousand descriptors. */
    private static final int MAX_CONNECTIONS = 256;

    /** Low, since the asking node waits. */
    private static final int CONNECT_TIMEOUT_MILLIS = 170;

    /** Bounds the memory of a connection whose receiver reads slowly. */
    private static final WriteBufferWaterMark WRITE_BUFFER = new WriteBufferWaterMark(16 * 1024, 32 * 1024);

    private final EventLoop loop;
    private final ServerPaths paths;
    private final BiFunction<String, String, Optional<ServerEntry>> servers;
    private final Supplier<? extends Collection<ServerEntry>> allServers;
    private final BooleanSupplier leaving;
    private final MonotonicClock clock;
    private final IntConsumer connectionsGauge;
    private final Consumer<Outcome> outcomes;
    private final Set<Channel> serverChannels = new HashSet<>();
    private int connecting;
    private volatile int openCount;

    /**
     * Creates a relay without connections.
     *
     * @param servers finds a server that takes requests by its service and process
     * @param allServers the servers that this node knows
     * @param leaving whether this node is stopping
     * @param connectionsGauge told of the number of relayed connections
     * @param outcomes told what became of each question
     */
    public ServerRelay(
            EventLoop loop,
            ServerPaths paths,
            BiFunction<String, String, Optional<ServerEntry>> servers,
            Supplier<? extends Collection<ServerEntry>> allServers,
            BooleanSupplier leaving,
            MonotonicClock clock,
            IntConsumer connectionsGauge,
            Consumer<Outcome> outcomes) {
        this.loop = loop;
        this.paths = paths;
        this.servers = servers;
        this.allServers = allServers;
        this.leaving = leaving;
        this.clock = clock;
        this.connectionsGauge = connectionsGauge;
        this.outcomes = outcomes;
    }

    /** Returns whether connections are being relayed. */
    public boolean isRelaying() {
        return openCount > 0;
    }

    /** Answers a node's question on the connection on which it came, which carries the server's bytes if the outcome allows. */
    void accept(Channel node, RelayMessages.Open open, Consumer<Outcome> answer) {
        Optional<ServerEntry> server = servers.apply(open.service(), open.process());
        Optional<Outcome> refusal = refusal(server);
        if (refusal.isPresent()) {
            answer(answer, refusal.get());
            return;
        }
        connecting++;
        long begunMillis = clock.millis();
        connect(server.get()).addListener((ChannelFuture connected) -> {
            connecting--;
            onConnected(node, server.get(), open, begunMillis, connected, answer);
        });
    }

    private Optional<Outcome> refusal(Optional<ServerEntry> server) {
        if (leaving.getAsBoolean()) {
            return Optional.of(Outcome.LEAVING);
        }
        if (server.isEmpty()) {
            return Optional.of(Outcome.UNKNOWN_SERVER);
        }
        if (paths.cannotRelay(server.get(), allServers.get())) {
            return Optional.of(Outcome.CUT_OFF);
        }
        return serverChannels.size() + connecting >= MAX_CONNECTIONS ? Optional.of(Outcome.BUSY) : Optional.empty();
    }

    private ChannelFuture connect(ServerEntry server) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(server.address().host(), server.address().port());
    }

    private void onConnected(
            Channel node,
            ServerEntry server,
            RelayMessages.Open open,
            long begunMillis,
            ChannelFuture connected,
            Consumer<Outcome> answer) {
        if (!connected.isSuccess()) {
            boolean refused = BackendConnectionPool.isRefusal(connected.cause());
            ServerPaths.Failure failure = refused ? ServerPaths.Failure.REFUSED : ServerPaths.Failure.TIMED_OUT;
            paths.directFailed(server, failure, begunMillis);
            answer(answer, paths.failedRelayOutcome(failure));
            return;
        }
        paths.directOpened(server);
        Channel channel = connected.channel();
        if (!node.isActive()) {
            channel.close();
            return;
        }
        count(channel, true);
        channel.closeFuture().addListener(closed -> count(channel, false));
        Future<?> timer = loop.schedule(() -> channel.close(), open.maxMillis(), TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(closed -> timer.cancel(false));
        answer(answer, Outcome.OPENED);
        node.config().setWriteBufferWaterMark(WRITE_BUFFER);
        node.pipeline().addLast(new Copier(channel, false));
        channel.pipeline().addLast(new Copier(node, true));
        channel.config().setAutoRead(true);
    }

    private void answer(Consumer<Outcome> answer, Outcome outcome) {
        outcomes.accept(outcome);
        answer.accept(outcome);
    }

    private void count(Channel channel, boolean open) {
        if (open ? serverChannels.add(channel) : serverChannels.remove(channel)) {
            openCount = serverChannels.size();
            connectionsGauge.accept(openCount);
        }
    }

    /** Copies what arrives on a connection to the other one, and reads no more than that one takes. */
    private static final class Copier extends ChannelInboundHandlerAdapter {
        private final Channel target;
        private final boolean fromServer;
        private boolean failed;

        private Copier(Channel target, boolean fromServer) {
            this.target = target;
            this.fromServer = fromServer;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            target.write(message);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            target.flush();
        }

        /** The other side is read only while this one takes what it sends. */
        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            target.config().setAutoRead(context.channel().isWritable());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (fromServer && !failed && target.isActive()) {
                target.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            } else {
                target.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            failed = true;
            context.close();
        }
    }
}
