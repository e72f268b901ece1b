package org.agatehatch.daemon.links;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

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
        return links("server", KEY).bind("127.0.0.1", 0).toCompletableFuture().join();
    }

    private PeerLinks client(String key) {
        return links("client", key);
    }

    private PeerLinks links(String name, String key) {
        return new PeerLinks(system, name, key, new SecureRandom(), new EchoHandler());
    }

    private static final class EchoHandler implements PeerHandler {
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
