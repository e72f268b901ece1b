package org.agatehatch.gateway.connection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.fleet.ClientLimits;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.time.MonotonicClock;

/** HTTP server on one address that passes complete requests to a handler. */
public final class CallerServer {
    private static final int ACCEPT_BACKLOG = 512;
    private static final int READ_CHUNK_BYTES = 65_536;
    private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 500;
    private static final int WRITE_BUFFER_LOW_BYTES = 32 * 1024;
    private static final int WRITE_BUFFER_HIGH_BYTES = 128 * 1024;

    private final EventLoopGroup group;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final Supplier<ClientLimits> limits;
    private final BooleanSupplier leaving;
    private final RequestHandler handler;
    private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    private Channel serverChannel;

    public CallerServer(
            EventLoopGroup group,
            MonotonicClock clock,
            Supplier<ClientLimits> limits,
            BooleanSupplier leaving,
            RequestHandler handler) {
        this.group = group;
        this.loop = group.next();
        this.clock = clock;
        this.limits = limits;
        this.leaving = leaving;
        this.handler = handler;
    }

    /**
     * Starts listening.
     *
     * @return the bound port
     * @throws AgatehatchException if the address cannot be bound
     */
    public int bind(PeerAddress address) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new io.netty.channel.WriteBufferWaterMark(WRITE_BUFFER_LOW_BYTES, WRITE_BUFFER_HIGH_BYTES))
                .childHandler(new Initializer());
        try {
            serverChannel = bootstrap
                    .bind(address.host(), address.port())
                    .syncUninterruptibly()
                    .channel();
        } catch (RuntimeException e) {
            throw new AgatehatchException(
                    ErrorCode.INVALID_SETTING,
                    "listen",
                    address.toString(),
                    Outcome.NOT_RUN,
                    "cannot listen on " + address + ": " + e.getMessage()
                            + "; check that the address exists on this machine and that the port is free",
                    e);
        }
        loop.scheduleWithFixedDelay(
                this::enforceTimeouts,
                TIMEOUT_CHECK_INTERVAL_MILLIS,
                TIMEOUT_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    /**
     * Closes the connections that are idle now. Busy connections close after their response while {@code leaving} returns
     * true.
     */
    public void closeIdle() {
        loop.execute(() -> Set.copyOf(connections).forEach(CallerConnection::closeWhenIdle));
    }

    /** Tells all requests in flight that the process is about to exit. */
    public void endInFlight() {
        loop.execute(() -> Set.copyOf(connections).forEach(CallerConnection::endInFlight));
    }

    /** Returns whether a caller is connected. Thread-safe. */
    public boolean hasConnections() {
        return !connections.isEmpty();
    }

    /** Closes the connections that exceeded a timeout. Runs on the event loop. */
    void enforceTimeouts() {
        Set.copyOf(connections).forEach(CallerConnection::enforceTimeouts);
    }

    /** Stops accepting connections. */
    public void stopListening() {
        if (serverChannel != null) {
            serverChannel.close();
        }
    }

    private final class Initializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            ClientLimits current = limits.get();
            HttpDecoderConfig config = new HttpDecoderConfig()
                    .setMaxInitialLineLength(current.maxHeaderBytes())
                    .setMaxHeaderSize(current.maxHeaderBytes())
                    .setMaxChunkSize(READ_CHUNK_BYTES)
                    .setChunkedSupported(true);
            CallerConnection connection = new CallerConnection(channel, handler, limits, leaving, clock);
            connections.add(connection);
            channel.closeFuture().addListener(closed -> connections.remove(connection));
            channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext context, Object message) {
                    connection.onBytesReceived();
                    context.fireChannelRead(message);
                }
            });
            channel.pipeline().addLast(new HttpServerCodec(config));
            channel.pipeline().addLast(connection);
        }
    }
}
