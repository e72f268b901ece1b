package org.agatehatch.daemon.links;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.connection.PeerFrame;
import org.agatehatch.internal.connection.PeerFrameCodec;
import org.apache.pekko.actor.ActorSystem;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Guards against messages of unauthenticated peers reaching a node, and malformed frames affecting its other links. */
public final class PeerLinksTest {
    private static final String KEY = "0123456789abcdef";
    private static final long TIMEOUT_MILLIS = 10_000;
    /** Rounds of links, in total below the limit of links that a node accepts. */
    private static final int ROUNDS = 20;

    private static final int CONCURRENT_LINKS = 32;
    private ActorSystem system;

    @BeforeClass
    public void start() {
        system = ActorSystem.create("peer-links-test");
    }

    @AfterClass
    public void stop() {
        system.terminate();
    }

    @Test
    public void a_question_is_answered_over_a_real_connection() {
        int port = serve();
        assertEquals(ask(client(KEY), port, "ping"), "answer to ping");
    }

    /** Guards against a link that sends its proof before its hello, because the hello of its peer arrived early. */
    @Test
    public void every_one_of_many_links_opens() {
        int port = serve();
        for (int i = 0; i < ROUNDS; i++) {
            List<CompletableFuture<PeerMessage>> answers = new ArrayList<>();
            for (int j = 0; j < CONCURRENT_LINKS; j++) {
                PeerMessage question = new PeerMessage("test", new byte[0]);
                answers.add(client(KEY)
                        .ask("127.0.0.1:" + port, question, TIMEOUT_MILLIS)
                        .toCompletableFuture());
            }
            answers.forEach(CompletableFuture::join);
        }
    }

    @Test
    public void a_peer_with_another_key_gets_no_answer() {
        int port = serve();
        assertThrows(CompletionException.class, () -> ask(client("another-key-0123"), port, "ping"));
    }

    @Test
    public void a_malformed_frame_on_one_connection_does_not_affect_other_links() throws Exception {
        int port = serve();
        PeerLinks client = client(KEY);
        ask(client, port, "before");
        sendMalformedFrameUntilClosed(port);
        assertEquals(ask(client, port, "after"), "answer to after");
    }

    /** Guards against an asker that learns of an answer above the frame limit only when its time-out ends. */
    @Test
    public void an_answer_above_the_frame_limit_is_reported_to_the_asker_and_the_link_stays() {
        int port = serve(new SizedAnswerHandler(PeerFrameCodec.MAX_FRAME_BYTES + 1));
        PeerLinks client = client(KEY);

        CompletionException failure = expectThrows(CompletionException.class, () -> ask(client, port, "large"));

        assertTrue(failure.getMessage().contains("exceeds the limit"), failure.getMessage());
        assertEquals(ask(client, port, "small"), "answer to small");
        assertEquals(client.links().size(), 1);
    }

    /** Guards against a reason of a failure that is itself above the frame limit, and then never sent. */
    @Test
    public void a_failure_with_a_long_reason_is_reported_to_the_asker() {
        int port = serve(new FailingHandler("x".repeat(PeerFrameCodec.MAX_FRAME_BYTES + 1)));

        CompletionException failure = expectThrows(CompletionException.class, () -> ask(client(KEY), port, "anything"));

        assertTrue(failure.getMessage().contains("the peer reported a failure"), "not reported as a failure");
    }

    /** Guards against a frame that the sender's limit lets through and the receiver's does not, which closed the link. */
    @Test
    public void the_largest_frame_that_is_sent_is_received() {
        int port = serve(new SizedAnswerHandler(largestBodyBytes()));
        PeerLinks client = client(KEY);

        assertEquals(ask(client, port, "large").length(), largestBodyBytes());
        assertEquals(ask(client, port, "small"), "answer to small");
        assertEquals(client.links().size(), 1);
    }

    /** Guards against a handler that throws, which closed the link and left its other questions unanswered. */
    @Test
    public void a_question_whose_handler_throws_fails_alone() {
        int port = serve(new FailingHandler(""));
        PeerLinks client = client(KEY);

        CompletionException failure = expectThrows(CompletionException.class, () -> ask(client, port, "throw"));

        assertTrue(failure.getMessage().contains("the peer reported a failure"), failure.getMessage());
        assertEquals(client.links().size(), 1);
    }

    /** Guards against a question that is never sent and stays among the pending ones. */
    @Test
    public void a_question_above_the_frame_limit_fails_at_once_and_the_link_stays() {
        int port = serve();
        PeerLinks client = client(KEY);

        CompletionException failure = expectThrows(
                CompletionException.class, () -> ask(client, port, "x".repeat(PeerFrameCodec.MAX_FRAME_BYTES + 1)));

        assertTrue(failure.getMessage().contains("exceeds the limit"), failure.getMessage());
        assertEquals(ask(client, port, "small"), "answer to small");
        assertEquals(client.links().get(0).pendingQuestions(), 0);
    }

    /** Guards against one notice above the frame limit that keeps the sender from its next ones. */
    @Test
    public void a_notice_above_the_frame_limit_is_dropped_and_the_link_stays() {
        int port = serve();
        PeerLinks client = client(KEY);
        ask(client, port, "before");

        client.links().get(0).send(new PeerMessage("test", new byte[PeerFrameCodec.MAX_FRAME_BYTES + 1]));

        assertEquals(ask(client, port, "after"), "answer to after");
        assertEquals(client.links().size(), 1);
    }

    /** Guards against a notice that closes the link at each attempt, with everything else that is sent over it. */
    @Test
    public void a_notice_that_the_peer_cannot_process_does_not_close_the_link() {
        int port = serve(new EchoHandler() {
            @Override
            public void onNotice(PeerLink link, PeerMessage message) {
                throw new IllegalStateException("the notice is malformed");
            }
        });
        PeerLinks client = client(KEY);
        ask(client, port, "before");
        String linkId = client.links().get(0).id();

        client.links().get(0).send(new PeerMessage("test", new byte[] {1}));

        assertEquals(ask(client, port, "after"), "answer to after");
        assertEquals(client.links().get(0).id(), linkId);
    }

    private static int largestBodyBytes() {
        PeerMessage empty = new PeerMessage("echo", new byte[0]);
        int headBytes = PeerFrameCodec.encode(new PeerFrame(PeerFrame.Kind.ANSWER, 1, empty)).length;
        // The length of a body this long takes three bytes more than that of an empty one.
        return PeerFrameCodec.MAX_FRAME_BYTES - headBytes - 3;
    }

    private static void sendMalformedFrameUntilClosed(int port) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            OutputStream output = socket.getOutputStream();
            output.write(new byte[] {127, 127, 127, 127, 1, 2, 3});
            output.flush();
            socket.getInputStream().readAllBytes();
        } catch (SocketException expected) {
            // The node may reset the connection instead of closing it.
        }
    }

    private String ask(PeerLinks client, int port, String text) {
        PeerMessage question = new PeerMessage("test", text.getBytes(StandardCharsets.UTF_8));
        PeerMessage answer = client.ask("127.0.0.1:" + port, question, TIMEOUT_MILLIS)
                .toCompletableFuture()
                .join();
        return new String(answer.body(), StandardCharsets.UTF_8);
    }

    private int serve() {
        return serve(new EchoHandler());
    }

    private int serve(PeerHandler handler) {
        return links("server", KEY, handler)
                .bind("127.0.0.1", 0)
                .toCompletableFuture()
                .join();
    }

    private PeerLinks client(String key) {
        return links("client", key, new EchoHandler());
    }

    private PeerLinks links(String name, String key, PeerHandler handler) {
        return new PeerLinks(system, name, key, new SecureRandom(), handler);
    }

    /** Answers the question "large" with a body of a given size. */
    private static final class SizedAnswerHandler extends EchoHandler {
        private final int bodyBytes;

        private SizedAnswerHandler(int bodyBytes) {
            this.bodyBytes = bodyBytes;
        }

        @Override
        public CompletionStage<PeerMessage> onQuestion(PeerLink link, PeerMessage message) {
            String text = new String(message.body(), StandardCharsets.UTF_8);
            return text.equals("large")
                    ? CompletableFuture.completedFuture(new PeerMessage("echo", new byte[bodyBytes]))
                    : super.onQuestion(link, message);
        }
    }

    /** Fails each question with a reason, or throws if the question is "throw". */
    private static final class FailingHandler extends EchoHandler {
        private final String reason;

        private FailingHandler(String reason) {
            this.reason = reason;
        }

        @Override
        public CompletionStage<PeerMessage> onQuestion(PeerLink link, PeerMessage message) {
            if (new String(message.body(), StandardCharsets.UTF_8).equals("throw")) {
                throw new IllegalStateException("the handler failed");
            }
            return CompletableFuture.failedFuture(new IllegalStateException(reason));
        }
    }

    private static class EchoHandler implements PeerHandler {
        @Override
        public void onOpen(PeerLink link) {}

        @Override
        public void onNotice(PeerLink link, PeerMessage message) {}

        @Override
        public CompletionStage<PeerMessage> onQuestion(PeerLink link, PeerMessage message) {
            String text = "answer to " + new String(message.body(), StandardCharsets.UTF_8);
            return CompletableFuture.completedFuture(new PeerMessage("echo", text.getBytes(StandardCharsets.UTF_8)));
        }

        @Override
        public void onClose(PeerLink link) {}
    }
}
