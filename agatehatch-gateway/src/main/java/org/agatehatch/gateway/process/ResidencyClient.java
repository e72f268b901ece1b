package org.agatehatch.gateway.process;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.gateway.links.TcpPeerTransport;
import org.agatehatch.gateway.request.ResidencyRequester;
import org.agatehatch.internal.process.CapacityExchange;
import org.agatehatch.internal.process.ControlThread;
import org.agatehatch.internal.process.DemandMeter;
import org.agatehatch.internal.process.FleetView;
import org.agatehatch.internal.process.HolderFailureDetector;
import org.agatehatch.internal.process.LoadAggregator;
import org.agatehatch.internal.process.NodeIdentity;
import org.agatehatch.internal.process.PoisonRequestDetector;
import org.agatehatch.internal.process.ReportIntervals;
import org.agatehatch.internal.process.ResidencyController;
import org.agatehatch.internal.process.ResidencyMessages;
import org.agatehatch.internal.request.ResidencyObservations;
import org.agatehatch.internal.request.ServerChooser;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks the placement holder, which is the node that sends orders to runners, for the models and adapters that requests need,
 * and reports this node's demand to it. Concurrent requests for the same model and adapter share one message. Runs on the
 * traffic thread.
 */
final class ResidencyClient implements ResidencyRequester {
    private static final Logger log = LoggerFactory.getLogger(ResidencyClient.class);

    private static final long ASK_TIMEOUT_MILLIS = 250;

    private final EventLoop loop;
    private final ControlThread control;
    private final NodeIdentity self;
    private final Supplier<Optional<NodeIdentity>> holder;
    private final Supplier<FleetView> fleet;
    private final int peerPort;
    private final ResidencyController residencyController;
    private final DemandMeter demandMeter;
    private final ResidencyObservations sightings;
    private final ServerChooser chooser;
    private final LoadAggregator loadBoard;
    private final CapacityExchange capacityExchange = new CapacityExchange();
    private final IntSupplier nodeCount;
    private final HolderFailureDetector holderWatch;
    private final PoisonRequestDetector crashLedger;
    private final Consumer<String> namedHolders;
    private final PoisonRequestDetector collectedStrikes;
    private final Map<ResidencyMessages.Request, CompletionStage<Long>> inFlightRequests = new HashMap<>();
    private TcpPeerTransport peerTransport;
    private String historyAckedBy = "";

    ResidencyClient(
            EventLoop loop,
            ControlThread control,
            NodeIdentity self,
            Supplier<Optional<NodeIdentity>> holder,
            Supplier<FleetView> fleet,
            int peerPort,
            ResidencyController duty,
            DemandMeter meter,
            ResidencyObservations sightings,
            ServerChooser chooser,
            LoadAggregator board,
            IntSupplier nodes,
            HolderFailureDetector watch,
            Consumer<String> namedHolders,
            PoisonRequestDetector crashes,
            MonotonicClock clock) {
        this.loop = loop;
        this.control = control;
        this.self = self;
        this.holder = holder;
        this.fleet = fleet;
        this.peerPort = peerPort;
        this.residencyController = duty;
        this.demandMeter = meter;
        this.sightings = sightings;
        this.chooser = chooser;
        this.loadBoard = board;
        this.nodeCount = nodes;
        this.holderWatch = watch;
        this.namedHolders = namedHolders;
        this.crashLedger = crashes;
        this.collectedStrikes = new PoisonRequestDetector(clock, (strike, strikes, own) -> {});
    }

    /** Starts reporting to the placement holder. */
    void start(TcpPeerTransport transport) {
        peerTransport = transport;
        scheduleReport();
    }

    /** Handles a message from another node. */
    CompletionStage<PeerMessage> receive(PeerMessage message) {
        CompletableFuture<PeerMessage> response = new CompletableFuture<>();
        control.execute(() -> {
            try {
                dispatch(message, response);
            } catch (RuntimeException e) {
                log.warn("event=message_ignored type={} cause=\"{}\"", message.type(), e.toString());
                response.completeExceptionally(e);
            }
        });
        return response;
    }

    private void dispatch(PeerMessage message, CompletableFuture<PeerMessage> response) {
        switch (message.type()) {
            case ResidencyMessages.RESIDENCY_REQUEST ->
                residencyController
                        .requestResidency(ResidencyMessages.decodeResidencyRequest(message))
                        .thenAccept(held -> response.complete(ResidencyMessages.encode(held)));
            case ResidencyMessages.NODE_REPORT ->
                response.complete(ResidencyMessages.encode(collectReport(ResidencyMessages.decodeNodeReport(message))));
            case ResidencyMessages.HOLDER_SUSPICION -> {
                ResidencyMessages.HolderSuspicion silent = ResidencyMessages.decodeHolderSuspicion(message);
                holderWatch.onSuspicion(silent.node(), silent.holder());
            }
            default ->
                response.completeExceptionally(
                        new IllegalArgumentException("message type '" + message.type() + "' is unknown"));
        }
    }

    @Override
    public CompletionStage<Long> requestResidency(String service, String model, String adapter) {
        ResidencyMessages.Request want = new ResidencyMessages.Request(service, model, adapter);
        CompletionStage<Long> pending = inFlightRequests.get(want);
        if (pending != null) {
            return pending;
        }
        CompletableFuture<Long> result = new CompletableFuture<>();
        inFlightRequests.put(want, result);
        askHolder(want)
                .whenComplete((held, failure) -> loop.execute(() -> {
                    inFlightRequests.remove(want);
                    ResidencyMessages.Reply reply = failure == null ? held : ResidencyMessages.Reply.UNAVAILABLE;
                    log.info(
                            "event=residency_wanted model={} adapter={} runner={} ready_in_ms={} cause={}",
                            model,
                            adapter,
                            reply.runner(),
                            reply.readyInMillis(),
                            failure == null ? "-" : failure.toString());
                    recordResidency(want, reply.runner());
                    result.complete(reply.readyInMillis());
                }));
        return result;
    }

    private void recordResidency(ResidencyMessages.Request want, String runner) {
        fleet.get().servers(want.service()).stream()
                .filter(server -> server.id().equals(runner))
                .forEach(server -> sightings.markResident(server, want.model(), want.adapter()));
    }

    private CompletionStage<ResidencyMessages.Reply> askHolder(ResidencyMessages.Request want) {
        Optional<NodeIdentity> currentHolder = holder.get();
        if (currentHolder.isEmpty()) {
            return CompletableFuture.completedFuture(ResidencyMessages.Reply.UNAVAILABLE);
        }
        if (currentHolder.get().name().equals(self.name())) {
            CompletableFuture<ResidencyMessages.Reply> local = new CompletableFuture<>();
            control.execute(() -> residencyController.requestResidency(want).thenAccept(local::complete));
            return local.orTimeout(ASK_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
        return peerTransport
                .ask(address(currentHolder.get()), ResidencyMessages.encode(want), ASK_TIMEOUT_MILLIS)
                .thenApply(ResidencyMessages::decodeResidencyReply);
    }

    /** Handles a node's report at the placement holder. Runs on the control thread. */
    private ResidencyMessages.ReportReply collectReport(ResidencyMessages.NodeReport report) {
        residencyController.onReport(report.node(), report.demand(), report.history());
        collectedStrikes.merge(report.strikes());
        return new ResidencyMessages.ReportReply(
                loadBoard.exchange(report.node(), report.loads()),
                collectedStrikes.strikes(),
                residencyController.recentChanges(),
                capacityExchange.exchange(report.node(), report.learned()),
                holder.get().map(NodeIdentity::memberName).orElse(""));
    }

    private void onReportReply(ResidencyMessages.ReportReply others) {
        chooser.updateRemoteLoads(others.loads());
        chooser.capacity().merge(others.learned());
        crashLedger.merge(others.strikes());
        others.changes().forEach(this::onChange);
    }

    private void onChange(ResidencyMessages.Change change) {
        for (List<ServerEntry> servers : fleet.get().byService().values()) {
            for (ServerEntry server : servers) {
                if (!server.id().equals(change.runner())) {
                    continue;
                }
                if (change.present()) {
                    sightings.markResident(server, change.model(), change.adapter());
                } else {
                    sightings.markNotResident(server, change.model(), change.adapter());
                }
            }
        }
    }

    private void scheduleReport() {
        loop.schedule(
                () -> {
                    scheduleReport();
                    sendReport();
                },
                ReportIntervals.intervalMillis(nodeCount.getAsInt()),
                TimeUnit.MILLISECONDS);
    }

    private void sendReport() {
        Optional<NodeIdentity> currentHolder = holder.get();
        if (currentHolder.isEmpty()) {
            return;
        }
        NodeIdentity recipient = currentHolder.get();
        boolean historyKnown = historyAckedBy.equals(recipient.memberName());
        List<ResidencyMessages.Demand> demand = demandMeter.takeDemand();
        ResidencyMessages.NodeReport report = new ResidencyMessages.NodeReport(
                self.name(),
                historyKnown ? demand : withoutWork(demand),
                chooser.localLoads(),
                crashLedger.strikes(),
                historyKnown ? List.of() : demandMeter.history(),
                chooser.capacity().takeLearned());
        if (recipient.name().equals(self.name())) {
            historyAckedBy = recipient.memberName();
            control.execute(() -> {
                ResidencyMessages.ReportReply others = collectReport(report);
                loop.execute(() -> onReportReply(others));
            });
            return;
        }
        peerTransport
                .ask(address(recipient), ResidencyMessages.encode(report), ASK_TIMEOUT_MILLIS)
                .thenApply(ResidencyMessages::decodeReportReply)
                .whenComplete((others, failure) -> loop.execute(() -> {
                    if (failure == null) {
                        historyAckedBy = recipient.memberName();
                        onReportReply(others);
                        control.execute(() -> namedHolders.accept(others.holder()));
                    } else {
                        log.debug("event=report_not_answered holder={} cause={}", recipient.name(), failure.toString());
                    }
                    control.execute(() -> holderWatch
                            .recordReportResult(recipient, failure == null)
                            .forEach(node -> reportSilentHolder(node, recipient)));
                }));
    }

    /** Sets the work of each entry to zero, since the history sent in the same report already contains it. */
    private static List<ResidencyMessages.Demand> withoutWork(List<ResidencyMessages.Demand> demand) {
        return demand.stream()
                .map(entry -> new ResidencyMessages.Demand(entry.service(), entry.model(), entry.adapter(), 0))
                .toList();
    }

    private void reportSilentHolder(NodeIdentity node, NodeIdentity silent) {
        if (node.name().equals(self.name())) {
            holderWatch.onSuspicion(self.name(), silent.memberName());
            return;
        }
        peerTransport.send(
                address(node),
                ResidencyMessages.encode(new ResidencyMessages.HolderSuspicion(self.name(), silent.memberName())));
    }

    private String address(NodeIdentity node) {
        return new PeerAddress(node.host(), peerPort).toString();
    }
}
