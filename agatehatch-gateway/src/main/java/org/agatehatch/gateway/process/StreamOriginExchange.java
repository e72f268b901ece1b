package org.agatehatch.gateway.process;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.peer.PeerTransport;
import org.agatehatch.internal.process.NodeIdentity;
import org.agatehatch.internal.process.NodeView;
import org.agatehatch.internal.process.StreamOriginMessages;
import org.agatehatch.internal.request.StreamOrigins.Origin;

/**
 * Asks the other nodes where a stream began that this node finds no record of: the node that began it remembers it, also if one
 * of the two does not reach the store. Runs on the traffic thread.
 */
final class StreamOriginExchange {
    /** The network distance between nodes is a few milliseconds; a node that takes longer is frozen or gone. */
    private static final long ASK_TIMEOUT_MILLIS = 150;

    private final EventLoop loop;
    private final NodeIdentity self;
    private final Supplier<NodeView> nodes;
    private final int peerPort;
    private Optional<PeerTransport> transport = Optional.empty();

    StreamOriginExchange(EventLoop loop, NodeIdentity self, Supplier<NodeView> nodes, int peerPort) {
        this.loop = loop;
        this.self = self;
        this.nodes = nodes;
        this.peerPort = peerPort;
    }

    /** Starts asking other nodes. */
    void start(PeerTransport started) {
        transport = Optional.of(started);
    }

    /** Completes with the first origin that another node knows; empty if none knows it. */
    CompletionStage<Optional<Origin>> find(String attemptId) {
        List<NodeIdentity> others = otherNodes();
        CompletableFuture<Optional<Origin>> result = new CompletableFuture<>();
        if (others.isEmpty() || transport.isEmpty()) {
            result.complete(Optional.empty());
            return result;
        }
        AtomicInteger unanswered = new AtomicInteger(others.size());
        PeerMessage question = StreamOriginMessages.encodeQuestion(attemptId);
        for (NodeIdentity node : others) {
            transport
                    .get()
                    .ask(new PeerAddress(node.host(), peerPort).toString(), question, ASK_TIMEOUT_MILLIS)
                    .thenApply(StreamOriginMessages::decodeAnswer)
                    .exceptionally(failure -> Optional.empty())
                    .thenAcceptAsync(
                            origin -> {
                                if (origin.isPresent() || unanswered.decrementAndGet() == 0) {
                                    result.complete(origin);
                                }
                            },
                            loop);
        }
        return result;
    }

    private List<NodeIdentity> otherNodes() {
        return nodes.get().nodes().stream()
                .filter(node -> !node.name().equals(self.name()))
                .toList();
    }

    /** Answers the question of another node from what this node remembers. */
    CompletionStage<PeerMessage> receive(PeerMessage question, Function<String, Optional<Origin>> remembered) {
        return CompletableFuture.supplyAsync(
                () -> StreamOriginMessages.encodeAnswer(
                        remembered.apply(StreamOriginMessages.decodeQuestion(question))),
                loop);
    }
}
