package org.agatehatch.internal.process;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.peer.PeerTransport;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.version.record.Fields;
import org.agatehatch.internal.version.record.MessagePackValues;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Hands the placement lease over when its holder no longer reaches the store, or most backend servers, but reaches a node that
 * does. The holder gives its
 * grant up before it tells the other node, so that the successor may act as soon as it has written the lease: nobody else acts
 * on the former token. If the message or the write is lost, the lease is taken over as from any holder that is gone. Runs on the
 * control thread.
 */
public final class PlacementHandover {
    /** Message type of the question whether a node reaches the store and finds the lease unchanged there. */
    public static final String QUESTION_TYPE = "handover_possible";
    /** Message type of the notice that the holder has given its grant up. */
    public static final String NOTICE_TYPE = "handover";

    /** Message type of the notice that a node has taken the lease over. */
    public static final String CHANGE_TYPE = "holder_changed";

    /** Spreads the reads of the nodes that hear of a new holder. */
    private static final int MAX_READ_DELAY_MILLIS = 60;

    /** The store answers in some milliseconds, and within 250 ms when it is slow. */
    static final long SILENCE_MILLIS = 500;

    private static final long CHECK_INTERVAL_MILLIS = 100;

    /** Includes a read of the store by the other node. */
    private static final long ASK_TIMEOUT_MILLIS = 400;

    /** Nodes that are asked, in the order of succession. */
    private static final int MAX_CANDIDATES = 2;

    private static final byte[] NO = {};

    private static final Logger log = LoggerFactory.getLogger(PlacementHandover.class);

    /** A lease as its holder knows it. */
    private record HeldLease(String member, long token) {
        private byte[] encode() {
            return MessagePackValues.encode(Map.of("h", member, "t", token));
        }

        private static HeldLease decode(PeerMessage message) {
            try {
                Fields fields = new Fields(MessagePackValues.decode(message.body()));
                return new HeldLease(fields.text("h"), fields.integer("t"));
            } catch (MessagePackValues.MalformedValueException e) {
                throw new IllegalArgumentException("the body of a '" + message.type() + "' message is malformed", e);
            }
        }
    }

    private final NodeIdentity self;
    private final PlacementLease lease;
    private final Supplier<NodeView> nodes;
    private final PeerTransport transport;
    private final int peerPort;
    private final ControlThread control;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final BooleanSupplier cutOffFromServers;
    private boolean asking;

    /**
     * Creates a handover that is not active.
     *
     * @param peerPort port of the links between nodes, the same on all nodes
     * @param cutOffFromServers whether this node does not reach most backend servers although other nodes do
     */
    public PlacementHandover(
            NodeIdentity self,
            PlacementLease lease,
            Supplier<NodeView> nodes,
            PeerTransport transport,
            int peerPort,
            ControlThread control,
            MonotonicClock clock,
            RandomGenerator random,
            BooleanSupplier cutOffFromServers) {
        this.self = self;
        this.lease = lease;
        this.nodes = nodes;
        this.transport = transport;
        this.peerPort = peerPort;
        this.control = control;
        this.clock = clock;
        this.random = random;
        this.cutOffFromServers = cutOffFromServers;
    }

    /** Starts to watch the holder's reads of the store. */
    public void start() {
        control.schedule(CHECK_INTERVAL_MILLIS, this::check);
    }

    private void check() {
        if (!asking && mustHandOver()) {
            lease.heldToken().ifPresent(token -> {
                asking = true;
                askNext(candidates(), new HeldLease(self.memberName(), token));
            });
        }
        control.schedule(CHECK_INTERVAL_MILLIS, this::check);
    }

    private boolean mustHandOver() {
        return lease.unansweredMillis() >= SILENCE_MILLIS || cutOffFromServers.getAsBoolean();
    }

    /** Tells the other nodes that this node has taken the lease over, so that they report to it and ask it at once. */
    public void announce() {
        PeerMessage notice = new PeerMessage(CHANGE_TYPE, new byte[0]);
        nodes.get().nodes().stream()
                .filter(node -> !node.name().equals(self.name()))
                .forEach(node -> transport.send(address(node), notice));
    }

    private List<NodeIdentity> candidates() {
        return PlacementLease.successionOrder(nodes.get()).stream()
                .filter(node -> !node.name().equals(self.name()))
                // The first ones may be cut off from the servers too, and say so without a read of the store.
                .limit(cutOffFromServers.getAsBoolean() ? Long.MAX_VALUE : MAX_CANDIDATES)
                .toList();
    }

    private void askNext(List<NodeIdentity> candidates, HeldLease held) {
        if (candidates.isEmpty()) {
            asking = false;
            return;
        }
        NodeIdentity candidate = candidates.get(0);
        long askedNanos = clock.nanos();
        transport
                .ask(address(candidate), new PeerMessage(QUESTION_TYPE, held.encode()), ASK_TIMEOUT_MILLIS)
                .whenComplete((answer, failure) -> control.execute(() -> {
                    boolean possible = failure == null && answer.body().length > 0;
                    if (possible && mustHandOver() && lease.resign(held.token())) {
                        asking = false;
                        log.info(
                                "event=placement_handed_over to={} token={} servers_cut_off={} asked_ms={}",
                                candidate.name(),
                                held.token(),
                                cutOffFromServers.getAsBoolean(),
                                (clock.nanos() - askedNanos) / 1_000_000);
                        transport.send(address(candidate), new PeerMessage(NOTICE_TYPE, held.encode()));
                        return;
                    }
                    askNext(candidates.subList(1, candidates.size()), held);
                }));
    }

    /** Handles a message of another node. */
    public CompletionStage<PeerMessage> receive(PeerMessage message) {
        if (message.type().equals(CHANGE_TYPE)) {
            control.schedule(random.nextInt(MAX_READ_DELAY_MILLIS), lease::onHolderChanged);
            return CompletableFuture.completedFuture(message);
        }
        HeldLease held = HeldLease.decode(message);
        CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
        control.execute(() -> {
            if (message.type().equals(NOTICE_TYPE)) {
                lease.takeOverResigned(held.member(), held.token());
                answer.complete(message);
                return;
            }
            if (cutOffFromServers.getAsBoolean()) {
                answer.complete(new PeerMessage(QUESTION_TYPE, NO));
                return;
            }
            lease.isUnchanged(held.member(), held.token())
                    .thenAccept(
                            unchanged -> answer.complete(new PeerMessage(QUESTION_TYPE, new byte[unchanged ? 1 : 0])));
        });
        return answer;
    }

    private String address(NodeIdentity node) {
        return new PeerAddress(node.host(), peerPort).toString();
    }
}
