package org.agatehatch.gateway.connection;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.time.MonotonicClock;

/** Connections to backend servers, kept for reuse by address and process. Runs on one event loop. */
public final class BackendConnectionPool {
    /** Idle time after which a connection is not used again if the server names no timeout of its own. */
    static final long DEFAULT_SERVER_IDLE_TIMEOUT_MILLIS = 3_500;

    /** Part of a server's idle timeout within which its connections are used again. */
    private static final double REUSE_IDLE_FRACTION = 0.6;

    private static final int MAX_STATUS_LINE_BYTES = 4_096;
    private static final int MAX_RESPONSE_HEADER_BYTES = 32_768;
    private static final int READ_CHUNK_BYTES = 16_384;

    /** Callbacks of connections. */
    interface ConnectionListener {
        void onIdle(BackendConnection connection);

        void onClosed(BackendConnection connection);
    }

    /** Receives a connection, or the reason why there is none. */
    public interface AcquireListener {
        /** A connection is there. */
        void onConnection(BackendConnection connection);

        /** No connection could be opened, so nothing was sent. */
        void onFailure(Throwable cause);
    }

    private final EventLoop loop;
    private final MonotonicClock clock;
    private final int connectTimeoutMillis;
    private final Consumer<Integer> openedCounter;
    private final Map<String, Endpoint> endpoints = new HashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param openedCounter told of each connection that is opened
     */
    public BackendConnectionPool(
            EventLoop loop, MonotonicClock clock, int connectTimeoutMillis, Consumer<Integer> openedCounter) {
        this.loop = loop;
        this.clock = clock;
        this.connectTimeoutMillis = connectTimeoutMillis;
        this.openedCounter = openedCounter;
    }

    /**
     * Gives a connection that has been idle for less than the given time, or a new one.
     *
     * @param process names the process at the address, so that no connection outlives it in the pool
     */
    public void acquire(PeerAddress address, String process, long maxIdleMillis, AcquireListener acquirer) {
        Endpoint endpoint = endpoints.computeIfAbsent(address + "/" + process, key -> new Endpoint());
        BackendConnection kept = endpoint.takeUsable(maxIdleMillis);
        if (kept != null) {
            acquirer.onConnection(kept);
            return;
        }
        connect(address, endpoint, acquirer);
    }

    /** Closes connections that are no longer used, and forgets endpoints without any. */
    public void evictUnusable() {
        Iterator<Endpoint> all = endpoints.values().iterator();
        while (all.hasNext()) {
            Endpoint endpoint = all.next();
            endpoint.closeUnusable();
            if (endpoint.openConnections == 0) {
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
                        HttpDecoderConfig config = new HttpDecoderConfig()
                                .setMaxInitialLineLength(MAX_STATUS_LINE_BYTES)
                                .setMaxHeaderSize(MAX_RESPONSE_HEADER_BYTES)
                                .setMaxChunkSize(READ_CHUNK_BYTES);
                        channel.pipeline().addLast(new HttpClientCodec(config, false, false));
                        channel.pipeline()
                                .addLast(new BackendConnection(
                                        channel, clock, endpoint, maxReuseIdleMillis(DEFAULT_SERVER_IDLE_TIMEOUT_MILLIS)));
                    }
                });
        bootstrap.connect(address.host(), address.port()).addListener(future -> {
            if (!future.isSuccess()) {
                acquirer.onFailure(future.cause());
                return;
            }
            endpoint.openConnections++;
            openedCounter.accept(1);
            Channel channel = ((io.netty.channel.ChannelFuture) future).channel();
            acquirer.onConnection(channel.pipeline().get(BackendConnection.class));
        });
    }

    private static final class Endpoint implements ConnectionListener {
        /** Newest first: old connections then reach their idle time and are closed. */
        private final ArrayDeque<BackendConnection> idle = new ArrayDeque<>();

        private int openConnections;

        private BackendConnection takeUsable(long maxIdleMillis) {
            Iterator<BackendConnection> newestFirst = idle.iterator();
            while (newestFirst.hasNext()) {
                BackendConnection connection = newestFirst.next();
                if (connection.isUsable(maxIdleMillis)) {
                    newestFirst.remove();
                    return connection;
                }
            }
            return null;
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
            openConnections--;
            idle.remove(connection);
        }
    }
}
