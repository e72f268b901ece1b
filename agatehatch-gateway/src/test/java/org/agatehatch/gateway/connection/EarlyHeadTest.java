package org.agatehatch.gateway.connection;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.time.MonotonicClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a long poll that fails because its head comes at once and its body only when there is something new. */
public final class EarlyHeadTest {
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final long SILENCE_MILLIS = 100;
    private static final long BODY_AFTER_MILLIS = 600;

    private MultiThreadIoEventLoopGroup group;
    private ServerSocket server;

    @BeforeMethod
    public void start() throws IOException {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(this::answer, "early-head");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void answer() {
        try (Socket caller = server.accept()) {
            OutputStream out = caller.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
            Thread.sleep(BODY_AFTER_MILLIS);
            out.write("body".getBytes(StandardCharsets.US_ASCII));
            out.flush();
            caller.getInputStream().readAllBytes();
        } catch (IOException e) {
            // The test has ended.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    public void a_body_that_comes_within_the_timeout_of_the_call_is_awaited_after_its_head() throws Exception {
        EventLoop loop = group.next();
        BackendConnectionPool pool = new BackendConnectionPool(loop, MonotonicClock.system(), 10_000, opened -> {});
        PooledHttpClient.Response response = new PooledHttpClient(loop, pool)
                .call(new PooledHttpClient.Call(
                        new PeerAddress("127.0.0.1", server.getLocalPort()),
                        "store",
                        HttpMethod.GET,
                        "/poll",
                        Map.of(),
                        new byte[0],
                        TIMEOUT_MILLIS,
                        Optional.of(new PooledHttpClient.TransferLimits(SILENCE_MILLIS, TIMEOUT_MILLIS)),
                        10_000,
                        1_024,
                        "/poll"))
                .toCompletableFuture()
                .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        assertEquals(new String(response.body(), StandardCharsets.US_ASCII), "body");
    }
}
