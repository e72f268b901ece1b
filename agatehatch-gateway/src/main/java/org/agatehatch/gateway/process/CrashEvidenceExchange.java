package org.agatehatch.gateway.process;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.peer.PeerTransport;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.connection.PeerFrameCodec;
import org.agatehatch.internal.process.CrashEvidence;
import org.agatehatch.internal.process.CrashingPartDetector;
import org.agatehatch.internal.process.NodeIdentity;
import org.agatehatch.internal.process.NodeView;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges the evidence of crashes with random other nodes, in both directions, so that it reaches all nodes in a few rounds
 * without a coordinator. Runs on the traffic thread.
 */
final class CrashEvidenceExchange {
    private static final Logger log = LoggerFactory.getLogger(CrashEvidenceExchange.class);

    /** Three rounds with this fan-out reach 64 nodes. */
    private static final int FAN_OUT = 3;

    private static final long ROUND_MILLIS = 200;

    /** Time after a change during which each round passes it on. */
    private static final long SPREAD_MILLIS = 1_000;

    /** Age up to which evidence is passed on; later, only full exchanges do so. */
    private static final long RECENT_MILLIS = 3_000;

    /** Interval of full exchanges with one node, which may have missed evidence. */
    private static final long REPAIR_MILLIS = 1_000;

    /** Time after the start during which a node asks others although it has no evidence itself. */
    private static final long START_MILLIS = 10_000;

    private static final long ASK_TIMEOUT_MILLIS = 250;

    /** Half of the largest frame that a link accepts. */
    private static final int MAX_MESSAGE_BYTES = PeerFrameCodec.MAX_FRAME_BYTES / 2;

    private final EventLoop loop;
    private final NodeIdentity self;
    private final Supplier<NodeView> nodes;
    private final int peerPort;
    private final CrashingPartDetector detector;
    private final Random random;
    private final MonotonicClock clock;
    private long startedMillis;
    private long lastRepairMillis;

    CrashEvidenceExchange(
            EventLoop loop,
            NodeIdentity self,
            Supplier<NodeView> nodes,
            int peerPort,
            CrashingPartDetector detector,
            Random random,
            MonotonicClock clock) {
        this.loop = loop;
        this.self = self;
        this.nodes = nodes;
        this.peerPort = peerPort;
        this.detector = detector;
        this.random = random;
        this.clock = clock;
    }

    /** Starts the rounds. */
    void start(PeerTransport transport) {
        startedMillis = clock.millis();
        loop.scheduleWithFixedDelay(() -> round(transport), ROUND_MILLIS, ROUND_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Merges another node's evidence and returns this node's. */
    CompletionStage<PeerMessage> receive(PeerMessage message) {
        return CompletableFuture.supplyAsync(
                () -> {
                    PeerMessage reply = message(message.type().equals(CrashEvidence.FULL_EXCHANGE_TYPE));
                    detector.merge(CrashEvidence.decode(message));
                    return reply;
                },
                loop);
    }

    private PeerMessage message(boolean full) {
        CrashEvidence evidence = full ? detector.evidence() : detector.recentEvidence(RECENT_MILLIS);
        return evidence.limitedTo(MAX_MESSAGE_BYTES)
                .encode(full ? CrashEvidence.FULL_EXCHANGE_TYPE : CrashEvidence.RECENT_EXCHANGE_TYPE);
    }

    private void round(PeerTransport transport) {
        boolean starting = clock.millis() - startedMillis < START_MILLIS;
        boolean repairDue = clock.millis() - lastRepairMillis >= REPAIR_MILLIS && (starting || !detector.isEmpty());
        boolean spreading = detector.sinceChangeMillis() < SPREAD_MILLIS;
        if (!spreading && !repairDue) {
            return;
        }
        List<NodeIdentity> others = new ArrayList<>(nodes.get().nodes().stream()
                .filter(node -> !node.name().equals(self.name()))
                .toList());
        Collections.shuffle(others, random);
        if (others.isEmpty()) {
            return;
        }
        if (repairDue) {
            lastRepairMillis = clock.millis();
            exchange(transport, others.remove(others.size() - 1), message(true));
        }
        if (spreading) {
            PeerMessage news = message(false);
            others.stream().limit(FAN_OUT).forEach(node -> exchange(transport, node, news));
        }
    }

    private void exchange(PeerTransport transport, NodeIdentity node, PeerMessage message) {
        transport
                .ask(new PeerAddress(node.host(), peerPort).toString(), message, ASK_TIMEOUT_MILLIS)
                .thenApply(CrashEvidence::decode)
                .whenComplete((evidence, failure) -> loop.execute(() -> {
                    if (failure != null) {
                        log.debug("event=evidence_not_exchanged node={} cause={}", node.name(), failure.toString());
                        return;
                    }
                    detector.merge(evidence);
                }));
    }
}
