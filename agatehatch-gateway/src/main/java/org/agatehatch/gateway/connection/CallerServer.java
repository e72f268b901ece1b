package org.agatehatch.gateway.connection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
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

    /** With {@link #READS_A_TURN}, at most 64 KiB of one caller are read before others are served. */
    private static final int MAX_READ_BYTES = 16 * 1024;

    private static final int READS_A_TURN = 4;
    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2_048;
    private static final long ACCEPT_CHECK_INTERVAL_MILLIS = 50;
    private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 500;
    private static final int WRITE_BUFFER_LOW_BYTES = 32 * 1024;
    private static final int WRITE_BUFFER_HIGH_BYTES = 128 * 1024;

    private final EventLoopGroup group;
    private final EventLoop loop;
    private final MonotonicClock clock;
    private final Supplier<ClientLimits> limits;
    private final BooleanSupplier leaving;
    private final RequestHandler handler;
    private final CallerMemory memory;
    private final Set<CallerConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile Channel serverChannel;

    /** Creates a server whose connections share no limits with those of other servers. */
    public CallerServer(
            EventLoopGroup group,
            MonotonicClock clock,
            Supplier<ClientLimits> limits,
            BooleanSupplier leaving,
            RequestHandler handler) {
        this(group, clock, limits, leaving, CallerMemory.ofProcess(clock), handler);
    }

    /** Creates a server whose connections are charged to an account. */
    public CallerServer(
            EventLoopGroup group,
            MonotonicClock clock,
            Supplier<ClientLimits> limits,
            BooleanSupplier leaving,
            CallerMemory memory,
            RequestHandler handler) {
        this.memory = memory;
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
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(MIN_READ_BYTES).maxMessagesPerRead(1))
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(READS_A_TURN))
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
        loop.scheduleWithFixedDelay(
                this::checkAccepting,
                ACCEPT_CHECK_INTERVAL_MILLIS,
                ACCEPT_CHECK_INTERVAL_MILLIS,
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

    /** Pauses accepting while memory or descriptors are used up. Connections wait in the system's queue meanwhile. */
    private void checkAccepting() {
        boolean accepts = memory.mayAccept(connections.size());
        if (!accepts && serverChannel.config().isAutoRead()) {
            memory.acceptPaused();
        }
        serverChannel.config().setAutoRead(accepts);
    }

    /** Stops accepting connections. */
    public void stopListening() {
        if (serverChannel != null) {
            serverChannel.close();
        }
    }

    private CallerConnection newConnection(Channel channel) {
        boolean maySurpassLimit = connections.size() < CallerMemory.MIN_CONNECTIONS_A_PORT;
        BooleanSupplier refuses = () -> !maySurpassLimit && memory.hasTooManyConnections();
        return new CallerConnection(
                channel,
                (request, sink) -> refuses.getAsBoolean() ? refuse(sink) : handler.start(request, sink),
                limits,
                () -> refuses.getAsBoolean() || leaving.getAsBoolean(),
                clock,
                memory);
    }

    /** Refuses a request at once, because its caller would wait unread otherwise, and another node may serve it. */
    private RequestHandler.InFlightRequest refuse(ResponseSink sink) {
        memory.refused(CallerMemory.Reason.NO_DESCRIPTOR);
        sink.respond(
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                new DefaultHttpHeaders().set(HttpHeaderNames.RETRY_AFTER, RequestChecks.RETRY_AFTER_SECONDS),
                new byte[0]);
        return RequestHandler.ALREADY_ANSWERED;
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
            CallerConnection connection = newConnection(channel);
            connections.add(connection);
            channel.closeFuture().addListener(closed -> connections.remove(connection));
            channel.pipeline().addLast(connection.gate());
            channel.pipeline().addLast(new HttpServerCodec(config));
            channel.pipeline().addLast(connection);
            if (serverChannel != null) {
                checkAccepting();
            }
        }
    }
}
