package org.agatehatch.daemon.wiring;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.peer.PeerTransport;
import org.agatehatch.daemon.traffic.ClaimGate;
import org.agatehatch.internal.process.ClaimClient;
import org.agatehatch.internal.process.ClaimEndpoint;
import org.agatehatch.internal.process.ClaimWriter;
import org.agatehatch.internal.process.ClaimWriterSettings;
import org.agatehatch.internal.process.digest.Membership;

/** Claims of idempotency keys: this node's own, and those for whose partitions it is the writer. */
final class ClaimCoordinator {
    /** Retention that checkpoints are planned for; a log that keeps records longer costs nothing more. */
    private static final long CHOICE_MILLIS = 1_000;

    private static final long ASSUMED_RETENTION_MILLIS = 3_600_000;

    private final NodeContext context;
    private final PeerNetwork peers;
    private final ClaimEndpoint endpoint;
    private final ClaimClient client;
    private long nextChoiceMillis;

    ClaimCoordinator(NodeContext context, PeerNetwork peers, PeerTransport transport, String selfAddress) {
        this.context = context;
        this.peers = peers;
        int partitions = context.settings().claimPartitions();
        this.endpoint = new ClaimEndpoint(partitions, this::newWriter);
        this.client = new ClaimClient(
                new ClaimClient.Self(selfAddress, context.incarnation()),
                partitions,
                this::writerCandidates,
                endpoint,
                transport,
                context.clock(),
                context.secureRandom(),
                context.control()::execute);
    }

    ClaimGate gate() {
        return new ClaimGate(client, context.control()::execute);
    }

    /** Answers a message of another node; empty if it is not about claims. */
    Optional<CompletionStage<PeerMessage>> handle(PeerMessage message) {
        return endpoint.handle(message);
    }

    /** Does what is due on the control thread. */
    void tick() {
        chooseWriters();
        endpoint.tick();
        client.tick();
    }

    /** A writer reads its partition before the first claim comes, so that this claim need not wait. */
    private void chooseWriters() {
        long nowMillis = context.clock().millis();
        if (nowMillis < nextChoiceMillis) {
            return;
        }
        nextChoiceMillis = nowMillis + CHOICE_MILLIS;
        endpoint.follow(peers.self().peerAddress(), writerCandidates());
    }

    private List<String> writerCandidates() {
        List<String> addresses = peers.live().stream()
                .filter(member -> !member.leaving())
                .map(member -> member.info().peerAddress())
                .collect(Collectors.toList());
        if (addresses.isEmpty()) {
            addresses.add(peers.self().peerAddress());
        }
        return addresses;
    }

    private boolean isLive(String address, String incarnation) {
        return peers.live().stream()
                .map(Membership.Member::info)
                .anyMatch(node ->
                        node.peerAddress().equals(address) && node.incarnation().equals(incarnation));
    }

    private ClaimWriter newWriter(int partition) {
        return new ClaimWriter(
                partition,
                context.log(),
                context.clock(),
                context.random(),
                this::isLive,
                context.control()::execute,
                ClaimWriterSettings.of(context.settings().claimIntervalMillis(), ASSUMED_RETENTION_MILLIS));
    }
}
