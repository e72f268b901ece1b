package org.agatehatch.daemon.wiring;

import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.process.ControlThread;
import org.testng.annotations.Test;

/** Guards against questions of other nodes that are never answered. */
public final class PeerNetworkTest {
    private static final PeerMessage QUESTION = new PeerMessage("state", new byte[0]);

    /** Runs tasks at once and, as a node's control thread does, goes on after one that fails. */
    private static final class ImmediateControl implements ControlThread {
        @Override
        public void execute(Runnable task) {
            try {
                task.run();
            } catch (RuntimeException ignored) {
                // The node logs it.
            }
        }

        @Override
        public ScheduledTask schedule(long delayMillis, Runnable task) {
            throw new AssertionError("nothing is scheduled for a question");
        }
    }

    /** Guards against an asker that waits for its time-out because the processing of its question failed. */
    @Test
    public void a_question_whose_processing_fails_unexpectedly_is_answered_with_a_failure() {
        PeerNetwork network = network(question -> {
            throw new IllegalStateException("unexpected");
        });
        assertTrue(network.onQuestion(null, QUESTION).toCompletableFuture().isCompletedExceptionally());
    }

    private static PeerNetwork network(Function<PeerMessage, Optional<CompletionStage<PeerMessage>>> questions) {
        NodeContext context =
                new NodeContext(null, "i", new ImmediateControl(), null, null, () -> 0, () -> 0, null, null);
        return new PeerNetwork(context, questions, notice -> {}, entry -> {});
    }
}
