package org.agatehatch.gateway.links;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.expectThrows;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.connection.PeerFrame;
import org.agatehatch.internal.connection.PeerFrameCodec;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against an answer above the frame limit that is dropped, so that the asking node waits until its timeout. */
public final class OversizedAnswerTest {
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final PeerMessage SMALL = new PeerMessage("small", "s".getBytes(StandardCharsets.US_ASCII));
    private static final PeerMessage OVERSIZED =
            new PeerMessage("oversized", new byte[PeerFrameCodec.MAX_FRAME_BYTES + 1]);

    private MultiThreadIoEventLoopGroup group;
    private TcpPeerTransport asking;
    private String address;

    @BeforeMethod
    public void start() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        asking = new TcpPeerTransport(group, message -> new CompletableFuture<>());
        int port = new TcpPeerTransport(
                        group,
                        message ->
                                CompletableFuture.completedFuture(message.type().equals("all") ? OVERSIZED : SMALL))
                .bind(new PeerAddress("127.0.0.1", 0));
        address = new PeerAddress("127.0.0.1", port).toString();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private CompletableFuture<PeerMessage> ask(PeerMessage question) {
        return asking.ask(address, question, TIMEOUT_MILLIS).toCompletableFuture();
    }

    private static String failure(CompletableFuture<PeerMessage> answer) {
        return expectThrows(ExecutionException.class, () -> answer.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
                .getCause()
                .getMessage();
    }

    @Test
    public void an_answer_above_the_frame_limit_fails_the_question_before_its_timeout() throws Exception {
        String failure = failure(ask(new PeerMessage("all", new byte[0])));
        assertFalse(failure.contains("no answer within"), failure);
        assertEquals(
                ask(new PeerMessage("some", new byte[0]))
                        .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                        .type(),
                "small",
                "the link stays usable");
    }

    @Test
    public void a_question_above_the_frame_limit_fails_before_its_timeout() {
        String failure = failure(ask(OVERSIZED));
        assertFalse(failure.contains("no answer within"), failure);
    }

    // Guards against a frame that the sender accepts and for which the receiver closes the link.
    @Test
    public void a_message_of_exactly_the_frame_limit_is_received() throws Exception {
        int headerBytes = PeerFrameCodec.encode(
                                new PeerFrame(PeerFrame.Kind.QUESTION, 1, new PeerMessage("all", new byte[100_000])))
                        .length
                - 100_000;
        PeerMessage largest = new PeerMessage("big", new byte[PeerFrameCodec.MAX_FRAME_BYTES - headerBytes]);
        assertEquals(ask(largest).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).type(), "small");
    }
}
