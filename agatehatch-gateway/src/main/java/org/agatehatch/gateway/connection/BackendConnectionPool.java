package org.agatehatch.gateway.connection;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.time.MonotonicClock;

/** Pools connections to backend servers by address and process. Runs on one event loop. */
public final class BackendConnectionPool {
    /** Idle timeout assumed for a server that announces none in a Keep-Alive header. */
    static final long DEFAULT_SERVER_IDLE_TIMEOUT_MILLIS = 3_500;

    /**
     * Fraction of a server's idle timeout during which its idle connections are reused. The rest is a margin against sending
     * a request while the server closes the connection.
     */
    private static final double REUSE_IDLE_FRACTION = 0.6;

    private static final int MAX_STATUS_LINE_BYTES = 4_096;
    private static final int MAX_RESPONSE_HEADER_BYTES = 32_768;
    private static final int READ_CHUNK_BYTES = 16_384;

    /** Receives state changes of pooled connections. */
    interface ConnectionListener {
        void onIdle(BackendConnection connection);

        void onClosed(BackendConnection connection);
    }

    /** Receives the result of acquiring a connection. */
    public interface AcquireListener {
        /** Called with the acquired connection. */
        void onConnection(BackendConnection connection);

        /** Called if no connection could be opened. Nothing was sent. */
        void onFailure(Throwable cause);
    }

    private static final ConnectionListener UNPOOLED = new ConnectionListener() {
        @Override
        public void onIdle(BackendConnection connection) {
            connection.close();
        }

        @Override
        public void onClosed(BackendConnection connection) {}
    };

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final int connectTimeoutMillis;
    private final Consumer<Integer> openedCounter;
    private final Map<String, Endpoint> endpoints = new HashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param openedCounter called with 1 for each connection that is opened
     */
    public BackendConnectionPool(
            EventLoop loop, MonotonicClock clock, int connectTimeoutMillis, Consumer<Integer> openedCounter) {
        this.loop = loop;
        this.clock = clock;
        this.connectTimeoutMillis = connectTimeoutMillis;
        this.openedCounter = openedCounter;
    }

    /**
     * Acquires a connection that has been idle for less than the given time, or opens one.
     *
     * @param process identifies the process at the address, so that a connection to an earlier process is not reused
     */
    public void acquire(PeerAddress address, String process, long maxIdleMillis, AcquireListener acquirer) {
        acquire(address, process, maxIdleMillis, connection -> true, acquirer);
    }

    /**
     * Acquires a connection that has been idle for less than the given time and may be reused, or opens one.
     *
     * @param process identifies the process at the address, so that a connection to an earlier process is not reused
     * @param reusable whether a pooled connection may carry the request; a new one always may
     */
    public void acquire(
            PeerAddress address,
            String process,
            long maxIdleMillis,
            Predicate<BackendConnection> reusable,
            AcquireListener acquirer) {
        Optional<BackendConnection> pooled = takeIdle(address, process, maxIdleMillis, reusable);
        if (pooled.isPresent()) {
            acquirer.onConnection(pooled.get());
            return;
        }
        open(address, process, acquirer);
    }

    /** Takes a connection that has been idle for less than the given time and may be reused; empty if there is none. */
    public Optional<BackendConnection> takeIdle(
            PeerAddress address, String process, long maxIdleMillis, Predicate<BackendConnection> reusable) {
        return Optional.ofNullable(endpoint(address, process).takeUsable(maxIdleMillis, reusable));
    }

    /** Opens a connection. */
    public void open(PeerAddress address, String process, AcquireListener acquirer) {
        connect(address, endpoint(address, process), acquirer);
    }

    /**
     * Makes a connection that another node relays out of a channel on which nothing was sent. It carries one request and is not
     * pooled, so that a relay that stops waits for requests only.
     */
    public BackendConnection relayed(Channel channel, String relayName) {
        BackendConnection connection = newConnection(channel, UNPOOLED);
        connection.useOnceThrough(relayName);
        connection.setProcessSinceNanos(clock.nanos());
        openedCounter.accept(1);
        return connection;
    }

    /**
     * Closes idle connections, and no longer takes open ones as evidence that the process is the same, because the end of a
     * connection would not be noticed.
     */
    public void distrust(PeerAddress address, String process) {
        endpoint(address, process).distrust();
    }

    private Endpoint endpoint(PeerAddress address, String process) {
        return endpoints.computeIfAbsent(address + "/" + process, key -> new Endpoint());
    }

    /** Returns whether a connection was refused, which, unlike a timeout, shows that no process listens, or a cut that refuses. */
    public static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    /** Closes idle connections that must not be reused, and removes endpoints without connections. */
    public void evictUnusable() {
        Iterator<Endpoint> all = endpoints.values().iterator();
        while (all.hasNext()) {
            Endpoint endpoint = all.next();
            endpoint.closeUnusable();
            if (endpoint.open.isEmpty()) {
                all.remove();
            }
        }
    }

    static long maxReuseIdleMillis(long serverTimeoutMillis) {
        return (long) (serverTimeoutMillis * REUSE_IDLE_FRACTION);
    }

    private void connect(PeerAddress address, Endpoint endpoint, AcquireListener acquirer) {
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOCATOR, ByteBufAllocator.DEFAULT)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        newConnection(channel, endpoint);
                    }
                });
        bootstrap.connect(address.host(), address.port()).addListener(future -> {
            if (!future.isSuccess()) {
                acquirer.onFailure(future.cause());
                return;
            }
            Channel channel = ((io.netty.channel.ChannelFuture) future).channel();
            BackendConnection connection = channel.pipeline().get(BackendConnection.class);
            endpoint.onOpened(connection, clock.nanos());
            openedCounter.accept(1);
            acquirer.onConnection(connection);
        });
    }

    private BackendConnection newConnection(Channel channel, ConnectionListener returns) {
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_STATUS_LINE_BYTES)
                .setMaxHeaderSize(MAX_RESPONSE_HEADER_BYTES)
                .setMaxChunkSize(READ_CHUNK_BYTES);
        BackendConnection connection =
                new BackendConnection(channel, clock, returns, maxReuseIdleMillis(DEFAULT_SERVER_IDLE_TIMEOUT_MILLIS));
        channel.pipeline()
                .addLast(new HttpRequestEncoder())
                .addLast(new BackendResponseDecoder(config, connection))
                .addLast(connection);
        return connection;
    }

    private static final class Endpoint implements ConnectionListener {
        /** Most recently used first, so that surplus connections reach their idle timeout and are closed. */
        private final ArrayDeque<BackendConnection> idle = new ArrayDeque<>();

        private final Set<BackendConnection> open = new HashSet<>();

        private BackendConnection takeUsable(long maxIdleMillis, Predicate<BackendConnection> reusable) {
            Iterator<BackendConnection> newestFirst = idle.iterator();
            while (newestFirst.hasNext()) {
                BackendConnection connection = newestFirst.next();
                if (connection.isUsable(maxIdleMillis) && reusable.test(connection)) {
                    newestFirst.remove();
                    return connection;
                }
            }
            return null;
        }

        /** The end of a process closes all its connections, so that an open one shows that the process has not changed since. */
        private void onOpened(BackendConnection connection, long nowNanos) {
            long sinceNanos = nowNanos;
            for (BackendConnection other : open) {
                if (other.provesProcess() && other.processSinceNanos() - sinceNanos < 0) {
                    sinceNanos = other.processSinceNanos();
                }
            }
            connection.setProcessSinceNanos(sinceNanos);
            open.add(connection);
        }

        private void distrust() {
            open.forEach(BackendConnection::distrust);
            for (BackendConnection connection : idle.toArray(new BackendConnection[0])) {
                idle.remove(connection);
                connection.close();
            }
        }

        private void closeUnusable() {
            for (BackendConnection connection : idle.toArray(new BackendConnection[0])) {
                if (!connection.isUsable(Long.MAX_VALUE)) {
                    idle.remove(connection);
                    connection.close();
                }
            }
        }

        @Override
        public void onIdle(BackendConnection connection) {
            idle.addFirst(connection);
        }

        @Override
        public void onClosed(BackendConnection connection) {
            open.remove(connection);
            idle.remove(connection);
        }
    }
}
