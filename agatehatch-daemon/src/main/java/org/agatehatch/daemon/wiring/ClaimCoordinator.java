package org.agatehatch.daemon.wiring;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.peer.PeerTransport;
import org.agatehatch.daemon.traffic.IdempotencyClaimsFactory;
import org.agatehatch.internal.process.ClaimClient;
import org.agatehatch.internal.process.ClaimEndpoint;
import org.agatehatch.internal.process.ClaimWriter;
import org.agatehatch.internal.process.ClaimWriterSettings;
import org.agatehatch.internal.process.digest.Membership;

/** Claims idempotency keys for this node's requests, and serves claims for the partitions whose writer is this node. */
final class ClaimCoordinator {
    private static final long WRITER_SELECTION_INTERVAL_MILLIS = 1_000;

    /** Log retention that the checkpoint interval is derived from; longer retention in the log costs nothing more. */
    private static final long ASSUMED_RETENTION_MILLIS = 3_600_000;

    private final NodeContext context;
    private final PeerNetwork peers;
    private final ClaimEndpoint endpoint;
    private final ClaimClient client;
    private long nextWriterSelectionMillis;

    ClaimCoordinator(NodeContext context, PeerNetwork peers, PeerTransport transport, String selfAddress) {
        this.context = context;
        this.peers = peers;
        int partitions = context.settings().claimPartitions();
        this.endpoint = new ClaimEndpoint(partitions, this::newWriter);
        this.client = new ClaimClient(
                new ClaimClient.Claimant(selfAddress, context.incarnation()),
                partitions,
                this::writerCandidates,
                endpoint,
                transport,
                context.clock(),
                context.secureRandom(),
                context.control()::execute);
    }

    IdempotencyClaimsFactory gate() {
        return new IdempotencyClaimsFactory(client, context.control()::execute);
    }

    /** Answers a claim message of another node; empty if the message has another type. */
    Optional<CompletionStage<PeerMessage>> handle(PeerMessage message) {
        return endpoint.handle(message);
    }

    /** Runs periodic work; called on the control thread. */
    void tick() {
        selectWriters();
        endpoint.tick();
        client.tick();
    }

    /** Selects writers ahead of claims, so that a writer has read its partition before the first claim arrives. */
    private void selectWriters() {
        long nowMillis = context.clock().millis();
        if (nowMillis < nextWriterSelectionMillis) {
            return;
        }
        nextWriterSelectionMillis = nowMillis + WRITER_SELECTION_INTERVAL_MILLIS;
        endpoint.reassignWriters(peers.self().peerAddress(), writerCandidates());
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
