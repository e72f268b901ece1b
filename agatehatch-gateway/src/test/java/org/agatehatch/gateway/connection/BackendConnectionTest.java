package org.agatehatch.gateway.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.agatehatch.api.time.MonotonicClock;
import org.testng.annotations.Test;

public final class BackendConnectionTest {
    // Guards against a pooled connection that is not read: its next response, and its close by the server, go
    // unnoticed.
    @Test
    public void a_connection_whose_reading_was_paused_is_read_again_once_it_is_idle() {
        EmbeddedChannel channel = new EmbeddedChannel(new HttpRequestEncoder());
        RecordingPool pool = new RecordingPool();
        BackendConnection connection = new BackendConnection(channel, MonotonicClock.system(), pool, 1_000);
        channel.pipeline().addLast(new BackendResponseDecoder(new HttpDecoderConfig(), connection), connection);
        connection.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), new IgnoringListener());
        connection.setReading(false);

        channel.writeInbound(
                Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", StandardCharsets.US_ASCII));

        assertEquals(pool.idle, List.of(connection));
        assertTrue(channel.config().isAutoRead());
    }

    private static final class RecordingPool implements BackendConnectionPool.ConnectionListener {
        private final List<BackendConnection> idle = new ArrayList<>();

        @Override
        public void onIdle(BackendConnection connection) {
            idle.add(connection);
        }

        @Override
        public void onClosed(BackendConnection connection) {
            idle.remove(connection);
        }
    }

    private static final class IgnoringListener implements ResponseListener {
        @Override
        public Disposition onHead(HttpResponse head) {
            return Disposition.ACCEPT;
        }

        @Override
        public void onContent(ByteBuf content) {}

        @Override
        public void onReadComplete() {}

        @Override
        public void onEnd(ResponseEnd end) {}

        @Override
        public void onConnectionError(String cause) {}
    }
}
