package org.agatehatch.gateway.process;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.gateway.links.TcpPeerTransport;
import org.agatehatch.gateway.request.ResidencyRequester;
import org.agatehatch.internal.process.ControlThread;
import org.agatehatch.internal.process.CrashLedger;
import org.agatehatch.internal.process.DemandMeter;
import org.agatehatch.internal.process.FleetView;
import org.agatehatch.internal.process.HolderWatch;
import org.agatehatch.internal.process.LoadBoard;
import org.agatehatch.internal.process.NodeIdentity;
import org.agatehatch.internal.process.ReportPace;
import org.agatehatch.internal.process.ResidencyDuty;
import org.agatehatch.internal.process.ResidencyMessages;
import org.agatehatch.internal.request.ResidencySightings;
import org.agatehatch.internal.request.ServerChooser;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells the node that gives orders to runners what this node's requests need. Requests that want the same thing share one
 * question. Runs on the traffic thread.
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
    private final ResidencyDuty residencyController;
    private final DemandMeter demandMeter;
    private final ResidencySightings sightings;
    private final ServerChooser chooser;
    private final LoadBoard loadBoard;
    private final IntSupplier nodeCount;
    private final HolderWatch holderWatch;
    private final CrashLedger crashLedger;
    private final CrashLedger collectedStrikes;
    private final Map<ResidencyMessages.Want, CompletionStage<Long>> inFlightRequests = new HashMap<>();
    private TcpPeerTransport peerTransport;
    private String historyAckedBy = "";

    ResidencyClient(
            EventLoop loop,
            ControlThread control,
            NodeIdentity self,
            Supplier<Optional<NodeIdentity>> holder,
            Supplier<FleetView> fleet,
            int peerPort,
            ResidencyDuty duty,
            DemandMeter meter,
            ResidencySightings sightings,
            ServerChooser chooser,
            LoadBoard board,
            IntSupplier nodes,
            HolderWatch watch,
            CrashLedger crashes,
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
        this.crashLedger = crashes;
        this.collectedStrikes = new CrashLedger(clock);
    }

    /** Starts to report over links to the other nodes. */
    void start(TcpPeerTransport nodeLinks) {
        peerTransport = nodeLinks;
        scheduleReport();
    }

    /** Takes a message of another node. */
    CompletionStage<PeerMessage> receive(PeerMessage message) {
        CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
        control.execute(() -> {
            try {
                dispatch(message, answer);
            } catch (IllegalArgumentException e) {
                log.warn("event=message_ignored type={} cause=\"{}\"", message.type(), e.getMessage());
                answer.completeExceptionally(e);
            }
        });
        return answer;
    }

    private void dispatch(PeerMessage message, CompletableFuture<PeerMessage> answer) {
        switch (message.type()) {
            case ResidencyMessages.WANT ->
                residencyController.want(ResidencyMessages.decodeWant(message))
                        .thenAccept(held -> answer.complete(ResidencyMessages.encode(held)));
            case ResidencyMessages.REPORT ->
                answer.complete(ResidencyMessages.encode(collectReport(ResidencyMessages.decodeReport(message))));
            case ResidencyMessages.SILENT -> {
                ResidencyMessages.Silent silent = ResidencyMessages.decodeSilent(message);
                holderWatch.onSilent(silent.node(), silent.holder());
            }
            default ->
                answer.completeExceptionally(
                        new IllegalArgumentException("message type '" + message.type() + "' is not known"));
        }
    }

    @Override
    public CompletionStage<Long> requestResidency(String service, String model, String adapter) {
        ResidencyMessages.Want want = new ResidencyMessages.Want(service, model, adapter);
        CompletionStage<Long> running = inFlightRequests.get(want);
        if (running != null) {
            return running;
        }
        CompletableFuture<Long> result = new CompletableFuture<>();
        inFlightRequests.put(want, result);
        askHolder(want)
                .whenComplete((held, failure) -> loop.execute(() -> {
                    inFlightRequests.remove(want);
                    ResidencyMessages.Held answer = failure == null ? held : ResidencyMessages.Held.NOBODY;
                    log.info(
                            "event=residency_wanted model={} adapter={} runner={} ready_in_ms={} cause={}",
                            model,
                            adapter,
                            answer.runner(),
                            answer.readyInMillis(),
                            failure == null ? "-" : failure.toString());
                    recordResidency(want, answer.runner());
                    result.complete(answer.readyInMillis());
                }));
        return result;
    }

    private void recordResidency(ResidencyMessages.Want want, String runner) {
        fleet.get().servers(want.service()).stream()
                .filter(server -> server.id().equals(runner))
                .forEach(server -> sightings.present(server, want.model(), want.adapter()));
    }

    private CompletionStage<ResidencyMessages.Held> askHolder(ResidencyMessages.Want want) {
        Optional<NodeIdentity> present = holder.get();
        if (present.isEmpty()) {
            return CompletableFuture.completedFuture(ResidencyMessages.Held.NOBODY);
        }
        if (present.get().name().equals(self.name())) {
            CompletableFuture<ResidencyMessages.Held> own = new CompletableFuture<>();
            control.execute(() -> residencyController.want(want).thenAccept(own::complete));
            return own.orTimeout(ASK_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
        return peerTransport.ask(address(present.get()), ResidencyMessages.encode(want), ASK_TIMEOUT_MILLIS)
                .thenApply(ResidencyMessages::decodeHeld);
    }

    /** Runs on the control thread of the node that collects the reports. */
    private ResidencyMessages.Others collectReport(ResidencyMessages.Report report) {
        residencyController.onReport(report.node(), report.demand(), report.history());
        collectedStrikes.merge(report.strikes());
        return new ResidencyMessages.Others(
                loadBoard.exchange(report.node(), report.loads()), collectedStrikes.strikes(), residencyController.changes());
    }

    private void onReportReply(ResidencyMessages.Others others) {
        chooser.othersLoads(others.loads());
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
                    sightings.present(server, change.model(), change.adapter());
                } else {
                    sightings.missing(server, change.model(), change.adapter());
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
                ReportPace.pauseMillis(nodeCount.getAsInt()),
                TimeUnit.MILLISECONDS);
    }

    private void sendReport() {
        Optional<NodeIdentity> present = holder.get();
        if (present.isEmpty()) {
            return;
        }
        NodeIdentity to = present.get();
        boolean known = historyAckedBy.equals(to.memberName());
        List<ResidencyMessages.Demand> demand = demandMeter.take();
        ResidencyMessages.Report report = new ResidencyMessages.Report(
                self.name(),
                known ? demand : withoutWork(demand),
                chooser.ownLoads(),
                crashLedger.strikes(),
                known ? List.of() : demandMeter.history());
        if (to.name().equals(self.name())) {
            historyAckedBy = to.memberName();
            control.execute(() -> {
                ResidencyMessages.Others others = collectReport(report);
                loop.execute(() -> onReportReply(others));
            });
            return;
        }
        peerTransport.ask(address(to), ResidencyMessages.encode(report), ASK_TIMEOUT_MILLIS)
                .thenApply(ResidencyMessages::decodeOthers)
                .whenComplete((others, failure) -> loop.execute(() -> {
                    if (failure == null) {
                        historyAckedBy = to.memberName();
                        onReportReply(others);
                    } else {
                        log.debug("event=report_not_answered holder={} cause={}", to.name(), failure.toString());
                    }
                    control.execute(() -> holderWatch.reported(to, failure == null).forEach(node -> reportSilentHolder(node, to)));
                }));
    }

    /** The history contains the work of the last entries. */
    private static List<ResidencyMessages.Demand> withoutWork(List<ResidencyMessages.Demand> demand) {
        return demand.stream()
                .map(entry -> new ResidencyMessages.Demand(entry.service(), entry.model(), entry.adapter(), 0))
                .toList();
    }

    private void reportSilentHolder(NodeIdentity node, NodeIdentity silent) {
        if (node.name().equals(self.name())) {
            holderWatch.onSilent(self.name(), silent.memberName());
            return;
        }
        peerTransport.send(
                address(node),
                ResidencyMessages.encode(new ResidencyMessages.Silent(self.name(), silent.memberName())));
    }

    private String address(NodeIdentity node) {
        return new PeerAddress(node.host(), peerPort).toString();
    }
}
