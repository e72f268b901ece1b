package org.agatehatch.daemon.wiring;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.daemon.links.PeerHandler;
import org.agatehatch.daemon.links.PeerLink;
import org.agatehatch.daemon.links.PeerLinks;
import org.agatehatch.daemon.platform.VmListClient.Vm;
import org.agatehatch.internal.process.RendezvousHash;
import org.agatehatch.internal.process.digest.Digest;
import org.agatehatch.internal.process.digest.DigestCodec;
import org.agatehatch.internal.process.digest.DigestEntry;
import org.agatehatch.internal.process.digest.DigestKind;
import org.agatehatch.internal.process.digest.DigestPacing;
import org.agatehatch.internal.process.digest.DigestPayloads;
import org.agatehatch.internal.process.digest.Heartbeat;
import org.agatehatch.internal.process.digest.Membership;
import org.agatehatch.internal.process.digest.NeighbourSelection;
import org.agatehatch.internal.process.digest.NodeInfo;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Maintains links to other nodes, gossips the digest over them, and derives the membership from the digest. */
final class PeerNetwork implements PeerHandler {
    private static final Logger log = LoggerFactory.getLogger(PeerNetwork.class);
    private static final String DIGEST_MESSAGE = "digest";
    private static final long MIN_BOOTSTRAP_INTERVAL_MILLIS = 250;
    private static final long BOOTSTRAP_INTERVAL_MILLIS = 5_000;
    private static final int MAX_DELTA_BYTES = 128 * 1024;

    private final NodeContext context;
    private final Digest digest;
    private final Membership membership;
    private final Function<PeerMessage, Optional<CompletionStage<PeerMessage>>> questions;
    private final Consumer<PeerMessage> notices;
    private PeerLinks links;
    private NodeInfo self;
    private volatile List<Membership.Member> live = List.of();
    private List<String> bootstrapAddresses = List.of();
    private List<String> otherNodeNames = List.of();
    private long nextBootstrapMillis;
    private long nextHeartbeatMillis;
    private long nextGossipMillis;
    private Heartbeat lastHeartbeat;

    /**
     * @param questions answers messages of other nodes; called on the control thread; empty for unknown types
     * @param notices receives one-way messages; called on the control thread
     * @param onEntry receives every new digest entry; called on the control thread
     */
    PeerNetwork(
            NodeContext context,
            Function<PeerMessage, Optional<CompletionStage<PeerMessage>>> questions,
            Consumer<PeerMessage> notices,
            Consumer<DigestEntry> onEntry) {
        this.context = context;
        this.questions = questions;
        this.notices = notices;
        this.membership = new Membership(context.clock());
        this.digest = new Digest(context.clock(), context.wallClock(), entry -> {
            membership.onEntry(entry);
            onEntry.accept(entry);
        });
    }

    /** Sets the links, which are created after this object because it is their handler. */
    void attach(PeerLinks peerLinks) {
        this.links = peerLinks;
    }

    /** Sets and publishes this node's name and addresses once its ports are bound. */
    void setSelf(NodeInfo info) {
        this.self = info;
        digest.publish(DigestKind.NODE, RendezvousHash.hash(info.name()), DigestPayloads.encode(info));
    }

    /** Publishes heartbeats, expires stale entries and gossips when due; called on the control thread. */
    void tick(Heartbeat heartbeat) {
        long nowMillis = context.clock().millis();
        long interval = heartbeatMillis();
        if (nowMillis >= nextHeartbeatMillis || stateChanged(heartbeat)) {
            nextHeartbeatMillis = nowMillis + interval;
            lastHeartbeat = heartbeat;
            digest.publish(DigestKind.HEARTBEAT, RendezvousHash.hash(self.name()), DigestPayloads.encode(heartbeat));
            digest.expire();
            membership.expire(interval);
        }
        live = membership.live(interval);
        if (nowMillis >= nextGossipMillis) {
            nextGossipMillis = nowMillis + DigestPacing.linkPeriodMillis(live.size());
            gossip();
        }
    }

    /** Applies the VM list, which names the nodes to link to and states which of them are leaving. */
    void onVmList(List<Vm> vms) {
        List<Vm> nodes = vms.stream().filter(vm -> vm.kind().equals("node")).toList();
        bootstrapAddresses = nodes.stream()
                .filter(vm -> !vm.name().equals(self.name()))
                .map(Vm::address)
                .toList();
        Set<String> leaving = nodes.stream()
                .filter(vm -> vm.state().equals("leaving"))
                .map(Vm::name)
                .collect(Collectors.toSet());
        membership.onVmList(leaving);
        otherNodeNames = nodes.stream()
                .map(Vm::name)
                .filter(name -> !name.equals(self.name()) && !leaving.contains(name))
                .toList();
    }

    /** Returns the peer addresses of the other nodes on the VM list. */
    List<String> otherAddressesOnVmList() {
        return bootstrapAddresses;
    }

    /** Returns the names of the other nodes on the VM list that are not leaving. */
    List<String> otherNodesOnVmList() {
        return otherNodeNames;
    }

    /** Publishes a digest entry; must be called on the control thread. */
    void publish(DigestKind kind, long key, byte[] payload) {
        digest.publish(kind, key, payload);
    }

    Digest digest() {
        return digest;
    }

    NodeInfo self() {
        return self;
    }

    /** Returns the live nodes, including this node; may be called on any thread. */
    List<Membership.Member> live() {
        return live;
    }

    /** Returns the names of the live nodes that are not leaving; only these may hold leases. */
    List<String> leaseCandidates() {
        return live.stream()
                .filter(member -> !member.leaving())
                .map(member -> member.info().name())
                .toList();
    }

    @Override
    public void onOpen(PeerLink link) {
        log.info("peer link open: link={} peer={} outgoing={}", link.id(), link.peerName(), link.outgoing());
        context.control().execute(() -> digest.forgetNeighbour(link.id()));
    }

    @Override
    public void onNotice(PeerLink link, PeerMessage message) {
        if (message.type().equals(DIGEST_MESSAGE)) {
            List<DigestEntry> entries = DigestCodec.decode(message.body(), link.peerName());
            context.control().execute(() -> digest.merge(link.id(), entries));
            return;
        }
        context.control().execute(() -> notices.accept(message));
    }

    @Override
    public CompletionStage<PeerMessage> onQuestion(PeerLink link, PeerMessage message) {
        CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
        context.control().execute(() -> {
            try {
                questions
                        .apply(message)
                        .orElseThrow(() -> new AgatehatchException(
                                ErrorCode.BAD_FRAME,
                                "answer peer",
                                link.peerName(),
                                Outcome.NOT_RUN,
                                "message type '" + message.type() + "' is not supported by this release"))
                        .whenComplete((reply, failure) -> {
                            if (failure == null) {
                                answer.complete(reply);
                            } else {
                                answer.completeExceptionally(failure);
                            }
                        });
            } catch (RuntimeException e) {
                answer.completeExceptionally(e);
            }
        });
        return answer;
    }

    @Override
    public void onClose(PeerLink link) {
        context.control().execute(() -> digest.forgetNeighbour(link.id()));
    }

    private boolean stateChanged(Heartbeat heartbeat) {
        return lastHeartbeat == null
                || lastHeartbeat.state() != heartbeat.state()
                || lastHeartbeat.catalogueVersion() != heartbeat.catalogueVersion();
    }

    private long heartbeatMillis() {
        return DigestPacing.heartbeatMillis(Math.max(1, live.size()));
    }

    private void gossip() {
        List<NodeInfo> others = live.stream().map(Membership.Member::info).toList();
        List<String> addresses = NeighbourSelection.choose(self, others).stream()
                .map(NodeInfo::peerAddress)
                .toList();
        links.connect(addresses);
        connectToUnknown();
        for (PeerLink link : links.links()) {
            List<DigestEntry> delta = digest.takeDelta(link.id(), MAX_DELTA_BYTES);
            if (!delta.isEmpty()) {
                link.send(new PeerMessage(DIGEST_MESSAGE, DigestCodec.encode(delta)));
            }
        }
    }

    /**
     * Links to a random node of the VM list that is not among the live nodes. A new node joins this way, and two sides
     * of a healed network partition find each other again.
     */
    private void connectToUnknown() {
        long nowMillis = context.clock().millis();
        if (nowMillis < nextBootstrapMillis) {
            return;
        }
        nextBootstrapMillis =
                nowMillis + (live.size() <= 1 ? MIN_BOOTSTRAP_INTERVAL_MILLIS : BOOTSTRAP_INTERVAL_MILLIS);
        Set<String> known =
                live.stream().map(member -> member.info().peerAddress()).collect(Collectors.toSet());
        List<String> unknown = bootstrapAddresses.stream()
                .filter(address -> !known.contains(address))
                .toList();
        if (!unknown.isEmpty()) {
            links.connect(List.of(unknown.get(context.random().nextInt(unknown.size()))));
        }
    }
}
