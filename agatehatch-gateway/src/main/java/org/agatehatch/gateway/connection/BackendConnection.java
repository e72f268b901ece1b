package org.agatehatch.gateway.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.time.MonotonicClock;

/**
 * A persistent connection to a backend server that carries one request at a time. It distinguishes complete from truncated
 * responses, and is closed after any event that could attribute the next response to the wrong request.
 */
public final class BackendConnection extends ChannelInboundHandlerAdapter {
    private static final int FIRST_FINAL_STATUS_CODE = 200;

    /** Room for a skipped response of the maximum size of a plain one, and for heads and trailers. */
    private static final long MAX_OVERHEAD_BYTES = 512 * 1024;

    /** A chunk of one byte takes six bytes. */
    private static final long MAX_RECEIVED_PER_BODY_BYTE = 8;

    /** Bodies of refusals fit into one socket read of this size. */
    private static final int MAX_DISCARDED_BYTES = 16 * 1024;

    /** Time for the rest of a discarded response, which follows its head within a round trip. */
    private static final long DISCARD_TIMEOUT_MILLIS = 500;

    /** The part of a response that is read next. */
    private enum Phase {
        HEAD,
        INTERIM,
        SKIPPED,
        BODY
    }

    private final Channel channel;
    private final MonotonicClock clock;
    private final BackendConnectionPool.ConnectionListener connectionListener;
    private Optional<ResponseListener> listener = Optional.empty();
    private Phase phase = Phase.HEAD;
    private boolean reusable = true;
    private boolean bodyDelimited = true;
    private boolean reset;
    private boolean requestWritten;
    private ChannelFuture writeFuture;
    private long idleSinceNanos;
    private long processSinceNanos;
    private long serverIdleMillis;
    private int requestCount;
    private long receivedBytes;
    private long bodyBytes;
    private boolean headRequest;
    private boolean trusted = true;
    private Optional<String> relayName = Optional.empty();

    BackendConnection(
            Channel channel,
            MonotonicClock clock,
            BackendConnectionPool.ConnectionListener returns,
            long serverIdleMillis) {
        this.channel = channel;
        this.clock = clock;
        this.connectionListener = returns;
        this.serverIdleMillis = serverIdleMillis;
        this.idleSinceNanos = clock.nanos();
    }

    /** Sends a request. Takes ownership of the request's reference count. */
    public void send(DefaultFullHttpRequest request, ResponseListener response) {
        listener = Optional.of(response);
        phase = Phase.HEAD;
        requestWritten = false;
        requestCount++;
        receivedBytes = 0;
        bodyBytes = 0;
        headRequest = request.method().equals(HttpMethod.HEAD);
        writeFuture = channel.writeAndFlush(request);
        writeFuture.addListener(future -> {
            requestWritten = future.isSuccess();
            if (!requestWritten) {
                fail("write failed: " + future.cause());
            }
        });
    }

    /** Aborts the request in flight by closing the connection, upon which the server stops working on the request. */
    public void abort() {
        listener = Optional.empty();
        close();
    }

    /**
     * Discards the rest of the response in flight, if it is not complete yet. The connection returns to the pool if the rest
     * is short and arrives soon, and is closed otherwise. The listener receives no further calls.
     */
    public void discardRest() {
        if (listener.isEmpty()) {
            return;
        }
        if (!reusable) {
            abort();
            return;
        }
        Discarder discarder = new Discarder();
        listener = Optional.of(discarder);
        setReading(true);
        channel.eventLoop().schedule(discarder::onTimeout, DISCARD_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the connection to the pool unused. */
    public void release() {
        connectionListener.onIdle(this);
    }

    /** Pauses or resumes reading from the socket, so that a slow caller does not make this node buffer a whole response. */
    public void setReading(boolean enabled) {
        channel.config().setAutoRead(enabled);
    }

    /** Returns the number of requests sent on this connection. */
    public int requestCount() {
        return requestCount;
    }

    /** Returns whether responses have no body, whatever their head says. */
    boolean awaitsHeadOnly() {
        return headRequest;
    }

    /**
     * Returns whether received bytes are to be decoded. Interim and skipped responses and chunk extensions may repeat without
     * end, and none of them reaches the listener, so the bytes that are not part of a body are limited.
     */
    boolean acceptBytes(int count) {
        if (listener.isEmpty()) {
            // The decoder would keep an incomplete message and give its rest to the next request.
            close();
            return false;
        }
        receivedBytes += count;
        if (receivedBytes > MAX_OVERHEAD_BYTES + MAX_RECEIVED_PER_BODY_BYTE * bodyBytes) {
            fail("received " + receivedBytes + " bytes for a body of " + bodyBytes + " bytes");
            return false;
        }
        return true;
    }

    /** Returns whether the connection is open, as far as is known. */
    public boolean isOpen() {
        return channel.isActive();
    }

    /** Returns the earliest known time at which the process at the other end listened. */
    public long processSinceNanos() {
        return processSinceNanos;
    }

    void setProcessSinceNanos(long nanos) {
        processSinceNanos = nanos;
    }

    /** Returns whether the end of the process would have been noticed by now. */
    boolean provesProcess() {
        return trusted && channel.isActive() && channel.config().isAutoRead();
    }

    /** Records the node that relays the connection, which is closed after its first request. */
    void useOnceThrough(String node) {
        relayName = Optional.of(node);
        reusable = false;
    }

    /** Returns the name of the node that relays the connection; empty if it is a direct one. */
    public Optional<String> relayName() {
        return relayName;
    }

    /** Called when the path to the server was found to be cut, so that the end of the connection may go unnoticed. */
    void distrust() {
        trusted = false;
        reusable = false;
    }

    boolean isUsable(long maxIdleMillis) {
        long idleMillis = (clock.nanos() - idleSinceNanos) / 1_000_000;
        return channel.isActive() && reusable && idleMillis < Math.min(maxIdleMillis, serverIdleMillis);
    }

    void close() {
        reusable = false;
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (listener.isEmpty()) {
                // Data that arrives while no request is in flight belongs to no request.
                close();
                return;
            }
            read((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        listener.ifPresent(ResponseListener::onReadComplete);
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(reset ? "connection reset" : "connection closed before the end of the answer");
        connectionListener.onClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        reset = true;
        fail(cause.toString());
    }

    private void read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            fail("not a valid HTTP response: " + message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse head) {
            readHead(head);
        }
        if (message instanceof HttpContent content) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse head) {
        if (head.status().code() < FIRST_FINAL_STATUS_CODE) {
            if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                fail("protocol switch that was not requested");
                return;
            }
            phase = Phase.INTERIM;
            return;
        }
        bodyDelimited = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
        if (!HttpUtil.isKeepAlive(head) || !bodyDelimited) {
            reusable = false;
        }
        readIdleTimeout(head);
        ResponseListener.Disposition reading = listener.orElseThrow().onHead(head);
        if (reading == ResponseListener.Disposition.SKIP) {
            // The server lags by one response, so a later response here could be attributed to the wrong request.
            reusable = false;
        }
        phase = reading == ResponseListener.Disposition.ACCEPT ? Phase.BODY : Phase.SKIPPED;
    }

    private void readContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (phase == Phase.INTERIM || phase == Phase.SKIPPED) {
            if (last) {
                phase = Phase.HEAD;
            }
            return;
        }
        if (listener.isEmpty()) {
            return;
        }
        bodyBytes += content.content().readableBytes();
        if (content.content().isReadable()) {
            listener.get().onContent(content.content());
        }
        if (last && listener.isPresent()) {
            end();
        }
    }

    private void end() {
        if (!bodyDelimited && reset) {
            fail("connection reset during a response without a length");
            return;
        }
        ResponseEnd ending = channel.isActive() || bodyDelimited ? ResponseEnd.FRAMING : ResponseEnd.CONNECTION_CLOSE;
        ResponseListener completed = listener.orElseThrow();
        listener = Optional.empty();
        idleSinceNanos = clock.nanos();
        phase = Phase.HEAD;
        // If the response ended before the request was fully written, the rest of the request would precede the next
        // one.
        boolean canReuse = reusable
                && requestWritten
                && channel.isActive()
                && channel.pipeline().get(BackendResponseDecoder.class).undecodedBytes() == 0;
        if (canReuse) {
            // The caller of this response may still be reading slowly, which must not pause the connection's next use.
            setReading(true);
            connectionListener.onIdle(this);
        } else {
            close();
        }
        completed.onReadComplete();
        completed.onEnd(ending);
    }

    private void fail(String cause) {
        close();
        Optional<ResponseListener> failed = listener;
        listener = Optional.empty();
        failed.ifPresent(response -> response.onConnectionError(cause));
    }

    private void readIdleTimeout(HttpResponse head) {
        String keepAlive = head.headers().get("Keep-Alive");
        if (keepAlive == null
                || head.headers().get(HttpHeaderNames.CONNECTION, "").equalsIgnoreCase("close")) {
            return;
        }
        int start = keepAlive.indexOf("timeout=");
        if (start < 0) {
            return;
        }
        int from = start + "timeout=".length();
        int to = from;
        while (to < keepAlive.length() && Character.isDigit(keepAlive.charAt(to))) {
            to++;
        }
        if (to > from && to - from < 8) {
            serverIdleMillis =
                    BackendConnectionPool.maxReuseIdleMillis(1_000L * Long.parseLong(keepAlive.substring(from, to)));
        }
    }

    private final class Discarder implements ResponseListener {
        private int discardedBytes;
        private boolean done;

        private void onTimeout() {
            if (!done) {
                abort();
            }
        }

        @Override
        public Disposition onHead(HttpResponse head) {
            return Disposition.ACCEPT;
        }

        @Override
        public void onContent(ByteBuf content) {
            discardedBytes += content.readableBytes();
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                done = true;
                abort();
            }
        }

        @Override
        public void onReadComplete() {}

        @Override
        public void onEnd(ResponseEnd end) {
            done = true;
        }

        @Override
        public void onConnectionError(String cause) {
            done = true;
        }
    }
}
