package org.agatehatch.gateway.process;

import io.netty.channel.EventLoop;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.peer.PeerTransport;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.gateway.request.PeerProcesses;
import org.agatehatch.gateway.request.PeerVersions;
import org.agatehatch.internal.process.NodeIdentity;
import org.agatehatch.internal.process.NodeView;
import org.agatehatch.internal.process.RelaySelection;
import org.agatehatch.internal.process.StreamOriginMessages;
import org.agatehatch.internal.process.StreamOriginMessages.ProcessQuestion;
import org.agatehatch.internal.process.StreamOriginMessages.ServerProcess;
import org.agatehatch.internal.process.StreamOriginMessages.VersionQuestion;

/**
 * Asks nodes that read the store themselves what it knows of backend servers, for a node that does not reach the store or reads it
 * through a relay. A node answers from its view once that is newer than the question, and otherwise that it does not know, so
 * that the answer holds as of the question. Runs on the traffic thread.
 */
final class ServerViewExchange implements PeerProcesses, PeerVersions {
    private static final long VIEW_CHECK_MILLIS = 50;

    /** Above the interval at which a node in touch with the store reads the entries. */
    private static final long MAX_VIEW_WAIT_MILLIS = 1_050;

    /** Above the longest wait for a view, so that a link to a node that can't answer is not taken for a silent one. */
    private static final long ASK_TIMEOUT_MILLIS = 1_200;

    /** Age of its view from which a node does not wait for a newer one: several reads have failed. */
    private static final long MAX_VIEW_AGE_MILLIS = 2_000;

    /** Interval at which nodes are asked about the same server. */
    private static final long REPEAT_MILLIS = 250;

    /** Maximum number of servers about which something is kept, many times that of a deployment. */
    private static final int MAX_SERVERS = 8_192;

    /** What is known of the views of this node. */
    interface OwnView {
        /** Returns whether this node's last read of the servers' entries began at a time of the clock or later. */
        boolean readSince(long nanos);

        /** Returns the process of a server in this node's view. */
        Optional<ServerProcess> process(ProcessQuestion server);

        /** Returns the only version of a service in this node's view. */
        Optional<String> onlyVersion(VersionQuestion service);
    }

    private static final class Known {
        private long askedNanos;
        private long asOfNanos;
        private Optional<ServerProcess> process = Optional.empty();
    }

    private final EventLoop loop;
    private final NodeIdentity self;
    private final Supplier<NodeView> nodes;
    private final int peerPort;
    private final OwnView ownView;
    private final MonotonicClock clock;
    private final Map<ProcessQuestion, Known> knownByServer = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<ProcessQuestion, Known> eldest) {
            return size() > MAX_SERVERS;
        }
    };
    private Optional<PeerTransport> transport = Optional.empty();
    private NodeView readersOf = NodeView.EMPTY;
    private List<String> readerAddresses = List.of();

    ServerViewExchange(
            EventLoop loop,
            NodeIdentity self,
            Supplier<NodeView> nodes,
            int peerPort,
            OwnView ownView,
            MonotonicClock clock) {
        this.loop = loop;
        this.self = self;
        this.nodes = nodes;
        this.peerPort = peerPort;
        this.ownView = ownView;
        this.clock = clock;
    }

    /** Starts asking other nodes. */
    void start(PeerTransport started) {
        transport = Optional.of(started);
    }

    @Override
    public Optional<ServerProcess> asOf(String service, String serverId, long nanos) {
        ProcessQuestion server = new ProcessQuestion(service, serverId);
        Known known = knownByServer.get(server);
        if (known == null) {
            known = new Known();
            knownByServer.put(server, known);
            askForProcess(server, known);
        } else if (known.process.isPresent() && known.asOfNanos - nanos >= 0) {
            return known.process;
        } else if (clock.nanos() - known.askedNanos >= TimeUnit.MILLISECONDS.toNanos(REPEAT_MILLIS)) {
            askForProcess(server, known);
        }
        return Optional.empty();
    }

    private void askForProcess(ProcessQuestion server, Known known) {
        long askedNanos = clock.nanos();
        known.askedNanos = askedNanos;
        askReaders(StreamOriginMessages.encode(server), StreamOriginMessages::decodeProcess)
                .thenAccept(process -> {
                    if (process.isPresent() && (known.process.isEmpty() || askedNanos - known.asOfNanos > 0)) {
                        known.asOfNanos = askedNanos;
                        known.process = process;
                    }
                });
    }

    @Override
    public CompletionStage<Optional<String>> find(String service, long spanMillis) {
        return askReaders(
                StreamOriginMessages.encode(new VersionQuestion(service, spanMillis)),
                StreamOriginMessages::decodeVersion);
    }

    /** Completes on the traffic thread with the first answer of a node that knows; empty once all have answered or failed. */
    private <T> CompletionStage<Optional<T>> askReaders(
            PeerMessage question, Function<PeerMessage, Optional<T>> decoder) {
        CompletableFuture<Optional<T>> result = new CompletableFuture<>();
        List<String> readers = transport.isEmpty() ? List.of() : readers();
        if (readers.isEmpty()) {
            result.complete(Optional.empty());
            return result;
        }
        AtomicInteger unanswered = new AtomicInteger(readers.size());
        for (String reader : readers) {
            transport
                    .get()
                    .ask(reader, question, ASK_TIMEOUT_MILLIS)
                    .thenApply(decoder)
                    .exceptionally(failure -> Optional.empty())
                    .thenAcceptAsync(
                            known -> {
                                if (unanswered.decrementAndGet() == 0 || known.isPresent()) {
                                    result.complete(known);
                                }
                            },
                            loop);
        }
        return result;
    }

    /** Returns the addresses of the other nodes that read the store themselves. */
    private List<String> readers() {
        NodeView view = nodes.get();
        if (view != readersOf) {
            readersOf = view;
            readerAddresses = view.nodes().stream()
                    .filter(node -> !node.name().equals(self.name())
                            && RelaySelection.relayOf(node, view).isEmpty())
                    .map(node -> new PeerAddress(node.host(), peerPort).toString())
                    .toList();
        }
        return readerAddresses;
    }

    /** Answers another node's question for the process of a server. */
    CompletionStage<PeerMessage> receiveProcessQuestion(PeerMessage question) {
        ProcessQuestion server = StreamOriginMessages.decodeProcessQuestion(question);
        return onceCurrent(() -> ownView.process(server)).thenApply(StreamOriginMessages::encodeProcess);
    }

    /** Answers another node's question for a service's only version. */
    CompletionStage<PeerMessage> receiveVersionQuestion(PeerMessage question) {
        VersionQuestion service = StreamOriginMessages.decodeVersionQuestion(question);
        return onceCurrent(() -> ownView.onlyVersion(service)).thenApply(StreamOriginMessages::encodeVersion);
    }

    private <T> CompletionStage<Optional<T>> onceCurrent(Supplier<Optional<T>> known) {
        CompletableFuture<Optional<T>> result = new CompletableFuture<>();
        long arrivedNanos = clock.nanos();
        loop.execute(() -> awaitView(arrivedNanos, known, result));
        return result;
    }

    private <T> void awaitView(long arrivedNanos, Supplier<Optional<T>> known, CompletableFuture<Optional<T>> result) {
        long nowNanos = clock.nanos();
        boolean tooLate = nowNanos - arrivedNanos >= TimeUnit.MILLISECONDS.toNanos(MAX_VIEW_WAIT_MILLIS)
                || !ownView.readSince(nowNanos - TimeUnit.MILLISECONDS.toNanos(MAX_VIEW_AGE_MILLIS));
        if (RelaySelection.relayOf(self, nodes.get()).isPresent()) {
            // What a relay tells may be older than the read.
            result.complete(Optional.empty());
        } else if (ownView.readSince(arrivedNanos)) {
            result.complete(known.get());
        } else if (tooLate) {
            result.complete(Optional.empty());
        } else {
            loop.schedule(() -> awaitView(arrivedNanos, known, result), VIEW_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
