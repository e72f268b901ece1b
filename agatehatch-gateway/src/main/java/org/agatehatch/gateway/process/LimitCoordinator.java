package org.agatehatch.gateway.process;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.peer.PeerTransport;
import org.agatehatch.gateway.request.PermitRequester;
import org.agatehatch.internal.process.LimitMessages;
import org.agatehatch.internal.process.NodeIdentity;
import org.agatehatch.internal.process.NodeView;
import org.agatehatch.internal.process.RendezvousHash;
import org.agatehatch.internal.request.RequestPacer;
import org.agatehatch.internal.request.ServerLimits;
import org.agatehatch.internal.request.ServerRooms;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the requests of all nodes to a server within the limit that the server names. A node that hears of a limit tells all
 * others. One node, which all nodes derive from the group, grants the permits of a server; if it does not answer, the next one
 * in the same order does. Runs on the traffic thread.
 */
final class LimitCoordinator implements PermitRequester {
    private static final Logger log = LoggerFactory.getLogger(LimitCoordinator.class);

    /** Interval at which a node repeats limits that it goes on to hear of, for nodes that have started since. */
    private static final long REPEAT_MILLIS = 1_000;

    /** The network distance between nodes is a few milliseconds; a node that takes longer is frozen or gone. */
    private static final long ASK_TIMEOUT_MILLIS = 100;

    /** Nodes that are asked for a permit before the request does without. */
    private static final int MAX_GRANTORS = 2;

    private static final long UNREACHABLE_RETRY_AFTER_MILLIS = 500;

    private final EventLoop loop;
    private final NodeIdentity self;
    private final Supplier<NodeView> nodes;
    private final int peerPort;
    private final ServerLimits limits;
    private final ServerRooms rooms;
    private final RequestPacer pacer;
    private Optional<PeerTransport> transport = Optional.empty();

    LimitCoordinator(
            EventLoop loop,
            NodeIdentity self,
            Supplier<NodeView> nodes,
            int peerPort,
            ServerLimits limits,
            ServerRooms rooms,
            RequestPacer pacer) {
        this.loop = loop;
        this.self = self;
        this.nodes = nodes;
        this.peerPort = peerPort;
        this.limits = limits;
        this.rooms = rooms;
        this.pacer = pacer;
    }

    /** Starts telling other nodes of limits. */
    void start(PeerTransport started) {
        transport = Optional.of(started);
        loop.scheduleWithFixedDelay(
                () -> limits.namedWithin(REPEAT_MILLIS)
                        .forEach((process, perSecond) -> tellOthers(process, OptionalDouble.of(perSecond))),
                REPEAT_MILLIS,
                REPEAT_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Called when a limit that this node, or a peer, has heard of is new, has changed or has ended. */
    void onLimit(String process, OptionalDouble perSecond, boolean own) {
        log.info(
                "event=server_limit process={} per_second={} source={}",
                process,
                perSecond.isPresent() ? perSecond.getAsDouble() : "none",
                own ? "own" : "peer");
        if (own) {
            tellOthers(process, perSecond);
        }
    }

    /** Tells all other nodes of a limit; an empty one has ended. */
    private void tellOthers(String process, OptionalDouble perSecond) {
        tellOthers(LimitMessages.encode(new LimitMessages.Notice(process, perSecond)));
    }

    /** Tells all other nodes that a server which can turn few requests away has turned one away. */
    void tellTurnedAway(String process, double maxPerSecond) {
        log.info("event=server_turned_away process={} max_per_second={}", process, maxPerSecond);
        tellOthers(LimitMessages.encode(new LimitMessages.TurnedAway(process, maxPerSecond)));
    }

    private void tellOthers(PeerMessage notice) {
        transport.ifPresent(peers -> nodes.get().nodes().stream()
                .filter(node -> !node.name().equals(self.name()))
                .forEach(node -> peers.send(address(node), notice)));
    }

    /** Handles a message from another node. */
    CompletionStage<PeerMessage> receive(PeerMessage message) {
        return CompletableFuture.supplyAsync(
                () -> {
                    if (message.type().equals(LimitMessages.TURNED_AWAY_TYPE)) {
                        LimitMessages.TurnedAway turnedAway = LimitMessages.decodeTurnedAway(message);
                        rooms.turnedAwayElsewhere(turnedAway.process(), turnedAway.maxPerSecond());
                        return message;
                    }
                    if (message.type().equals(LimitMessages.NOTICE_TYPE)) {
                        LimitMessages.Notice notice = LimitMessages.decodeNotice(message);
                        limits.heardFromPeer(notice.process(), notice.perSecond());
                        return message;
                    }
                    LimitMessages.PermitRequest request = LimitMessages.decodePermitRequest(message);
                    return LimitMessages.encode(
                            pacer.request(request.process(), request.perSecond(), request.maxDelayMillis()));
                },
                loop);
    }

    @Override
    public CompletionStage<RequestPacer.Permit> request(String process, double limitPerSecond, long maxDelayMillis) {
        CompletableFuture<RequestPacer.Permit> result = new CompletableFuture<>();
        Map<String, NodeIdentity> byName =
                nodes.get().nodes().stream().collect(Collectors.toMap(NodeIdentity::name, Function.identity()));
        List<NodeIdentity> grantors = RendezvousHash.rank(process, byName.keySet()).stream()
                .limit(MAX_GRANTORS)
                .map(byName::get)
                .toList();
        ask(grantors, new LimitMessages.PermitRequest(process, limitPerSecond, maxDelayMillis), result);
        return result;
    }

    private void ask(
            List<NodeIdentity> grantors,
            LimitMessages.PermitRequest request,
            CompletableFuture<RequestPacer.Permit> result) {
        if (grantors.isEmpty()) {
            result.complete(new RequestPacer.Permit(false, UNREACHABLE_RETRY_AFTER_MILLIS));
            return;
        }
        NodeIdentity grantor = grantors.get(0);
        if (grantor.name().equals(self.name()) || transport.isEmpty()) {
            result.complete(pacer.request(request.process(), request.perSecond(), request.maxDelayMillis()));
            return;
        }
        transport
                .get()
                .ask(address(grantor), LimitMessages.encode(request), ASK_TIMEOUT_MILLIS)
                .thenApply(LimitMessages::decodePermit)
                .whenComplete((permit, failure) -> loop.execute(() -> {
                    if (failure == null) {
                        result.complete(permit);
                        return;
                    }
                    log.debug("event=permit_not_answered node={} cause={}", grantor.name(), failure.toString());
                    ask(grantors.subList(1, grantors.size()), request, result);
                }));
    }

    private String address(NodeIdentity node) {
        return new PeerAddress(node.host(), peerPort).toString();
    }
}
