package org.agatehatch.gateway.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.peer.PeerTransport;
import org.agatehatch.internal.process.NodeIdentity;
import org.agatehatch.internal.process.NodeView;
import org.agatehatch.internal.process.RelaySelection;
import org.agatehatch.internal.process.StreamOriginMessages;
import org.agatehatch.internal.process.StreamOriginMessages.ProcessQuestion;
import org.agatehatch.internal.process.StreamOriginMessages.ServerProcess;
import org.agatehatch.internal.process.StreamOriginMessages.VersionQuestion;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against an answer about a server that is older than the question. Time is driven by the test. */
public final class ServerViewExchangeTest {
    private static final ServerProcess OLD = new ServerProcess(7, "v1");
    private static final ServerProcess NEW = new ServerProcess(8, "v2");
    private static final long NANOS_PER_MILLI = 1_000_000;

    private EmbeddedChannel channel;
    private FakeTransport transport;
    private NodeView nodes;
    private long nowNanos;
    private long readNanos;
    private ServerProcess process;

    /** A question to another node, whose answer the test gives. */
    private record Asked(String address, CompletableFuture<PeerMessage> answer) {}

    private static final class FakeTransport implements PeerTransport {
        private final List<Asked> asked = new ArrayList<>();

        @Override
        public void send(String nodeAddress, PeerMessage message) {
            throw new UnsupportedOperationException("no notices are sent");
        }

        @Override
        public CompletionStage<PeerMessage> ask(String nodeAddress, PeerMessage message, long timeoutMillis) {
            Asked question = new Asked(nodeAddress, new CompletableFuture<>());
            asked.add(question);
            return question.answer();
        }
    }

    private final class FakeView implements ServerViewExchange.OwnView {
        @Override
        public boolean readSince(long nanos) {
            return readNanos - nanos >= 0;
        }

        @Override
        public Optional<ServerProcess> process(ProcessQuestion server) {
            return Optional.of(process);
        }

        @Override
        public Optional<String> onlyVersion(VersionQuestion service) {
            return Optional.of(process.softwareVersion());
        }
    }

    @BeforeMethod
    public void create() {
        channel = new EmbeddedChannel();
        channel.freezeTime();
        transport = new FakeTransport();
        nodes = group(3);
        nowNanos = 10_000 * NANOS_PER_MILLI;
        readNanos = nowNanos - 1;
        process = OLD;
    }

    private static NodeView group(int size) {
        return new NodeView(
                IntStream.range(0, size)
                        .mapToObj(index -> new NodeIdentity("n" + index, "d" + index % 2, "h" + index, "i", 100))
                        .toList(),
                1);
    }

    private ServerViewExchange node(NodeIdentity self) {
        ServerViewExchange exchange =
                new ServerViewExchange(channel.eventLoop(), self, () -> nodes, 9, new FakeView(), () -> nowNanos);
        exchange.start(transport);
        return exchange;
    }

    private ServerViewExchange node() {
        return node(nodes.nodes().get(0));
    }

    private void pass(long millis) {
        nowNanos += millis * NANOS_PER_MILLI;
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
        channel.runScheduledPendingTasks();
    }

    private CompletableFuture<Optional<ServerProcess>> processQuestion(ServerViewExchange node) {
        PeerMessage question = StreamOriginMessages.encode(new ProcessQuestion("svc", "s"));
        return node.receiveProcessQuestion(question)
                .thenApply(StreamOriginMessages::decodeProcess)
                .toCompletableFuture();
    }

    // Guards against a server that is taken for its former process, since the node that tells has not read its entry
    // again.
    @Test
    public void a_node_answers_from_a_view_that_is_newer_than_the_question() {
        ServerViewExchange node = node();
        CompletableFuture<Optional<ServerProcess>> answer = processQuestion(node);
        CompletableFuture<Optional<String>> version = node.receiveVersionQuestion(
                        StreamOriginMessages.encode(new VersionQuestion("svc", 1_000)))
                .thenApply(StreamOriginMessages::decodeVersion)
                .toCompletableFuture();
        pass(500);
        assertFalse(answer.isDone() || version.isDone(), "answered from an older view");
        process = NEW;
        readNanos = nowNanos;
        pass(50);
        assertEquals(answer.join(), Optional.of(NEW));
        assertEquals(version.join(), Optional.of("v2"));
    }

    @Test
    public void a_node_that_gets_no_newer_view_does_not_know() {
        CompletableFuture<Optional<ServerProcess>> answer = processQuestion(node());
        for (int i = 0; i < 30; i++) {
            pass(50);
        }
        assertEquals(answer.join(), Optional.empty());
        readNanos = nowNanos - 5_000 * NANOS_PER_MILLI;
        CompletableFuture<Optional<ServerProcess>> withoutStore = processQuestion(node());
        pass(0);
        assertEquals(withoutStore.join(), Optional.empty());
    }

    // Guards against a view that is older than its last read, because that went to a relay.
    @Test
    public void a_node_that_reads_through_a_relay_neither_answers_nor_is_asked() {
        nodes = group(30);
        NodeIdentity reader = nodes.nodes().stream()
                .filter(node -> RelaySelection.relayOf(node, nodes).isPresent())
                .findFirst()
                .orElseThrow();
        readNanos = nowNanos + NANOS_PER_MILLI;
        CompletableFuture<Optional<ServerProcess>> answer = processQuestion(node(reader));
        pass(0);
        assertEquals(answer.join(), Optional.empty());
        node(reader).asOf("svc", "s", nowNanos);
        List<String> relays = nodes.nodes().stream()
                .filter(node -> RelaySelection.relayOf(node, nodes).isEmpty())
                .map(node -> node.host() + ":9")
                .toList();
        assertEquals(transport.asked.stream().map(Asked::address).toList(), relays);
    }

    @Test
    public void an_answer_holds_as_of_its_question_and_not_later() {
        ServerViewExchange node = node();
        long askedNanos = nowNanos;
        assertEquals(node.asOf("svc", "s", askedNanos), Optional.empty());
        assertEquals(transport.asked.size(), 2, "questions");
        pass(100);
        transport.asked.get(0).answer().completeExceptionally(new IllegalStateException("gone"));
        transport.asked.get(1).answer().complete(StreamOriginMessages.encodeProcess(Optional.of(OLD)));
        pass(0);
        assertEquals(node.asOf("svc", "s", askedNanos), Optional.of(OLD));
        assertEquals(node.asOf("svc", "s", askedNanos + 1), Optional.empty());
        assertEquals(transport.asked.size(), 2, "questions within the interval");
        pass(200);
        assertEquals(node.asOf("svc", "s", askedNanos + 1), Optional.empty());
        assertEquals(transport.asked.size(), 4, "questions");
    }

    @Test
    public void the_only_version_is_that_of_the_first_node_that_knows() {
        CompletableFuture<Optional<String>> version = node().find("svc", 1_000).toCompletableFuture();
        transport.asked.get(0).answer().complete(StreamOriginMessages.encodeVersion(Optional.empty()));
        pass(0);
        assertFalse(version.isDone());
        transport.asked.get(1).answer().complete(StreamOriginMessages.encodeVersion(Optional.of("v1")));
        pass(0);
        assertEquals(version.join(), Optional.of("v1"));
        CompletableFuture<Optional<String>> unknown = node().find("svc", 1_000).toCompletableFuture();
        transport.asked.forEach(asked -> asked.answer().complete(StreamOriginMessages.encodeVersion(Optional.empty())));
        pass(0);
        assertTrue(unknown.join().isEmpty());
    }
}
