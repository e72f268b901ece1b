package org.agatehatch.gateway.connection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import org.agatehatch.api.time.MonotonicClock;

/**
 * A connection to a backend server that serves one request at a time. It tells whole answers from cut ones, and is closed
 * after anything that could make the next answer doubtful.
 */
public final class BackendConnection extends ChannelInboundHandlerAdapter {
    private static final int FIRST_FINAL_STATUS_CODE = 200;

    /** What the connection is reading. */
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
    private long serverIdleMillis;
    private int requestCount;

    BackendConnection(Channel channel, MonotonicClock clock, BackendConnectionPool.ConnectionListener returns, long serverIdleMillis) {
        this.channel = channel;
        this.clock = clock;
        this.connectionListener = returns;
        this.serverIdleMillis = serverIdleMillis;
        this.idleSinceNanos = clock.nanos();
    }

    /** Sends a request. Takes over the request's reference. */
    public void send(DefaultFullHttpRequest request, ResponseListener answer) {
        listener = Optional.of(answer);
        phase = Phase.HEAD;
        requestWritten = false;
        requestCount++;
        writeFuture = channel.writeAndFlush(request);
        writeFuture.addListener(future -> {
            requestWritten = future.isSuccess();
            if (!requestWritten) {
                fail("write failed: " + future.cause());
            }
        });
    }

    /** Gives up the request in flight. The server stops working on it when it sees the connection closed. */
    public void abort() {
        listener = Optional.empty();
        close();
    }

    /** Gives the connection back without having used it. */
    public void release() {
        connectionListener.onIdle(this);
    }

    /** Stops or resumes reading, so that a slow caller does not fill this node's memory. */
    public void setReading(boolean on) {
        channel.config().setAutoRead(on);
    }

    /** Returns how many requests were sent on this connection. */
    public int requestCount() {
        return requestCount;
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
                // Bytes that nobody asked for belong to no request.
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
            fail("not an answer: " + message.decoderResult().cause());
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
            // The server is one answer behind; later answers on this connection could be taken for others'.
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
        if (content.content().isReadable()) {
            listener.get().onContent(content.content());
        }
        if (last && listener.isPresent()) {
            end();
        }
    }

    private void end() {
        if (!bodyDelimited && reset) {
            fail("connection reset within an answer without a length");
            return;
        }
        ResponseListener done = listener.orElseThrow();
        listener = Optional.empty();
        idleSinceNanos = clock.nanos();
        phase = Phase.HEAD;
        // An answer that came before the whole request was written leaves the rest of the request in the way.
        boolean free = reusable && requestWritten && channel.isActive();
        if (free) {
            connectionListener.onIdle(this);
        } else {
            close();
        }
        done.onReadComplete();
        done.onEnd();
    }

    private void fail(String cause) {
        close();
        Optional<ResponseListener> broken = listener;
        listener = Optional.empty();
        broken.ifPresent(answer -> answer.onConnectionError(cause));
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
            serverIdleMillis = BackendConnectionPool.maxReuseIdleMillis(1_000L * Long.parseLong(keepAlive.substring(from, to)));
        }
    }
}
