package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletionStage;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.peer.PeerTransport;
import org.agatehatch.internal.process.ReadinessGate.PeerState;
import org.testng.annotations.Test;

/** Guards against a node that starts from a mixed or incomplete state while the log is down. */
public final class StateTransferTest {
    private Optional<StateTransfer.PeerSnapshot> sentState = Optional.empty();
    private final StateTransfer sender = new StateTransfer(() -> sentState, null, Runnable::run);
    private Runnable betweenParts = () -> {};
    private final StateTransfer receiver = new StateTransfer(Optional::empty, new DirectTransport(), Runnable::run);

    @Test
    public void a_state_of_several_parts_is_fetched_completely_with_its_peer_state() {
        byte[] state = randomBytes(700_000);
        sentState = Optional.of(new StateTransfer.PeerSnapshot(new PeerState("n1", "medeu", 42, 7), state));

        StateTransfer.PeerSnapshot fetched =
                receiver.fetch("n1").toCompletableFuture().join();

        assertEquals(fetched.snapshot(), state);
        assertEquals(fetched.peerState(), new PeerState("n1", "medeu", 42, 7));
    }

    @Test
    public void a_node_that_does_not_serve_provides_no_state() {
        sentState = Optional.empty();
        assertTrue(receiver.fetch("n1").toCompletableFuture().isCompletedExceptionally());
    }

    @Test
    public void parts_of_two_states_are_not_mixed() {
        sentState =
                Optional.of(new StateTransfer.PeerSnapshot(new PeerState("n1", "medeu", 42, 7), randomBytes(700_000)));
        betweenParts = () -> {
            betweenParts = () -> {};
            sentState = Optional.of(
                    new StateTransfer.PeerSnapshot(new PeerState("n1", "medeu", 43, 7), randomBytes(700_000)));
            receiver.fetch("n1");
        };
        assertTrue(receiver.fetch("n1").toCompletableFuture().isCompletedExceptionally());
    }

    private static byte[] randomBytes(int length) {
        byte[] bytes = new byte[length];
        new Random(3).nextBytes(bytes);
        return bytes;
    }

    private final class DirectTransport implements PeerTransport {
        @Override
        public void send(String nodeAddress, PeerMessage message) {
            throw new AssertionError("a state is requested, not sent");
        }

        @Override
        public CompletionStage<PeerMessage> ask(String nodeAddress, PeerMessage message, long timeoutMillis) {
            CompletionStage<PeerMessage> response = sender.handle(message).orElseThrow();
            betweenParts.run();
            return response;
        }
    }
}
