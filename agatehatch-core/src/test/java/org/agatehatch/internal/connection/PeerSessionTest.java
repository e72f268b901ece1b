package org.agatehatch.internal.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.Random;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.peer.PeerMessage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against frames from peers that do not know the shared key. */
public final class PeerSessionTest {
    private static final String KEY = "0123456789abcdef";
    private final Random random = new Random(7);

    @Test
    public void frames_arrive_unchanged_between_nodes_with_the_same_key() {
        PeerSession client = session(KEY, true, "a");
        PeerSession server = session(KEY, false, "b");
        open(client, server);

        PeerFrame frame = frame("hello");
        PeerFrame received = server.receive(client.seal(frame)).frame().orElseThrow();

        assertEquals(received.message().type(), "test");
        assertEquals(received.message().body(), frame.message().body());
        assertEquals(server.peerName(), "a");
    }

    @Test
    public void a_peer_with_another_key_is_rejected() {
        PeerSession client = session("another-key-0123", true, "a");
        PeerSession server = session(KEY, false, "b");
        byte[] proof = client.receive(server.hello()).reply().orElseThrow();
        server.receive(client.hello());

        assertCode(ErrorCode.PEER_REJECTED, () -> server.receive(proof));
    }

    @Test
    public void a_proof_that_is_reflected_back_is_rejected() {
        PeerSession server = session(KEY, false, "b");
        byte[] ownProof =
                server.receive(session(KEY, true, "a").hello()).reply().orElseThrow();

        assertCode(ErrorCode.PEER_REJECTED, () -> server.receive(ownProof));
    }

    @Test
    public void a_replayed_frame_is_rejected() {
        PeerSession client = session(KEY, true, "a");
        PeerSession server = session(KEY, false, "b");
        open(client, server);
        byte[] sealed = client.seal(frame("order"));
        server.receive(sealed);

        assertCode(ErrorCode.PEER_REJECTED, () -> server.receive(sealed));
    }

    @Test
    public void a_frame_with_any_changed_byte_is_rejected() {
        PeerSession client = session(KEY, true, "a");
        int length = 0;
        for (int position = 0; position <= length; position++) {
            PeerSession server = session(KEY, false, "b");
            client = session(KEY, true, "a");
            open(client, server);
            byte[] sealed = client.seal(frame("x"));
            length = sealed.length - 1;
            sealed[position] ^= 1;
            assertCode(ErrorCode.PEER_REJECTED, () -> server.receive(sealed));
        }
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    @Test(dataProvider = "seeds")
    public void random_bytes_never_cause_anything_but_a_coded_error(long seed) {
        Random bytes = new Random(seed);
        for (int i = 0; i < 20_000; i++) {
            byte[] input = new byte[bytes.nextInt(64)];
            bytes.nextBytes(input);
            try {
                PeerFrameCodec.decode(input, input.length, "peer");
            } catch (AgatehatchException expected) {
                assertEquals(expected.code(), ErrorCode.BAD_FRAME);
            }
            try {
                session(KEY, false, "b").receive(input);
            } catch (AgatehatchException expected) {
                assertTrue(expected.code() == ErrorCode.BAD_FRAME || expected.code() == ErrorCode.PEER_REJECTED);
            }
        }
    }

    @Test
    public void a_frame_with_an_added_element_is_read_by_this_release() {
        byte[] encoded = PeerFrameCodec.encode(frame("x"));
        byte[] longer = Arrays.copyOf(encoded, encoded.length + 1);
        longer[0] = (byte) (encoded[0] + 1);
        longer[encoded.length] = 42;

        assertEquals(
                PeerFrameCodec.decode(longer, longer.length, "peer").message().type(), "test");
    }

    private PeerSession session(String key, boolean initiator, String name) {
        byte[] nonce = new byte[PeerSession.NONCE_BYTES];
        random.nextBytes(nonce);
        return new PeerSession(key, initiator, name, nonce);
    }

    private static void open(PeerSession client, PeerSession server) {
        byte[] serverProof = server.receive(client.hello()).reply().orElseThrow();
        byte[] clientProof = client.receive(server.hello()).reply().orElseThrow();
        assertTrue(server.receive(clientProof).opened());
        assertTrue(client.receive(serverProof).opened());
    }

    private static PeerFrame frame(String body) {
        byte[] bytes = body.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return new PeerFrame(PeerFrame.Kind.NOTICE, 0, new PeerMessage("test", bytes));
    }

    private static void assertCode(ErrorCode code, org.testng.Assert.ThrowingRunnable action) {
        assertThrows(AgatehatchException.class, action);
        try {
            action.run();
        } catch (AgatehatchException e) {
            assertEquals(e.code(), code);
        } catch (Throwable e) {
            throw new AssertionError(e);
        }
    }
}
