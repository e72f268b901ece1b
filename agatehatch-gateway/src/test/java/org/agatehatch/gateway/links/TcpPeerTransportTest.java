package org.agatehatch.gateway.links;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.peer.PeerMessage;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks requests between two nodes on loopback that share a connection. */
public final class TcpPeerTransportTest {
    private static final long SHORT_TIMEOUT_MILLIS = 50;
    private static final long LONG_TIMEOUT_MILLIS = 20_000;
    private static final PeerMessage REPLY = new PeerMessage("reply", "r".getBytes(StandardCharsets.US_ASCII));

    private final Map<String, CompletableFuture<PeerMessage>> replies = new ConcurrentHashMap<>();
    private MultiThreadIoEventLoopGroup group;
    private TcpPeerTransport asking;
    private String address;

    @BeforeMethod
    public void start() {
        replies.clear();
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        asking = new TcpPeerTransport(group, message -> new CompletableFuture<>());
        int port =
                new TcpPeerTransport(group, message -> replyTo(message.type())).bind(new PeerAddress("127.0.0.1", 0));
        address = new PeerAddress("127.0.0.1", port).toString();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private CompletableFuture<PeerMessage> replyTo(String type) {
        if (type.equals("odd")) {
            throw new IllegalStateException("expected by the test");
        }
        return replies.computeIfAbsent(type, key -> new CompletableFuture<>());
    }

    private CompletableFuture<PeerMessage> ask(String type, long timeoutMillis) {
        return asking.ask(address, new PeerMessage(type, new byte[0]), timeoutMillis)
                .toCompletableFuture();
    }

    private static void assertTimesOut(CompletableFuture<PeerMessage> request) {
        expectThrows(ExecutionException.class, () -> request.get(LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }

    private static String typeOf(CompletableFuture<PeerMessage> request) throws Exception {
        return request.get(LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).type();
    }

    // Guards against a request that fails because another one on the same connection timed out.
    @Test
    public void a_timeout_does_not_end_the_other_requests_on_the_connection() throws Exception {
        CompletableFuture<PeerMessage> other = ask("other", LONG_TIMEOUT_MILLIS);
        assertTimesOut(ask("late", SHORT_TIMEOUT_MILLIS));
        replyTo("other").complete(REPLY);
        assertEquals(typeOf(other), "reply");
    }

    // Guards against further requests on a connection that may be silent for good.
    @Test
    public void a_connection_is_replaced_and_closed_after_a_timeout() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            silent.setSoTimeout((int) LONG_TIMEOUT_MILLIS);
            address = new PeerAddress("127.0.0.1", silent.getLocalPort()).toString();
            assertTimesOut(ask("late", SHORT_TIMEOUT_MILLIS));
            try (Socket first = silent.accept()) {
                first.setSoTimeout((int) LONG_TIMEOUT_MILLIS);
                first.getInputStream().readAllBytes();
            }
            ask("next", LONG_TIMEOUT_MILLIS);
            silent.accept().close();
        }
    }

    // Guards against one message that cannot be processed and takes the link and the requests on it down.
    @Test
    public void a_message_that_cannot_be_processed_fails_by_itself() throws Exception {
        CompletableFuture<PeerMessage> other = ask("other", LONG_TIMEOUT_MILLIS);
        asking.send(address, new PeerMessage("odd", new byte[0]));
        CompletableFuture<PeerMessage> odd = ask("odd", LONG_TIMEOUT_MILLIS);
        expectThrows(ExecutionException.class, () -> odd.get(LONG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        replyTo("other").complete(REPLY);
        assertEquals(typeOf(other), "reply");
    }
}
