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
import org.agatehatch.gateway.links.NodeLinks;
import org.agatehatch.gateway.request.ResidencyRequests;
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
 * Tells the node that gives orders to runners what this node's requests need. Requests that want the same thing share one
 * question. Runs on the traffic thread.
 */
final class ResidencyClient implements ResidencyRequests {
    private static final Logger log = LoggerFactory.getLogger(ResidencyClient.class);

    private static final long ASK_TIMEOUT_MILLIS = 250;

    private final EventLoop loop;
    private final ControlThread control;
    private final NodeIdentity self;
    private final Supplier<Optional<NodeIdentity>> holder;
    private final Supplier<FleetView> fleet;
    private final int peerPort;
    private final ResidencyController duty;
    private final DemandMeter meter;
    private final ResidencyObservations sightings;
    private final ServerChooser chooser;
    private final LoadAggregator board;
    private final IntSupplier nodes;
    private final HolderFailureDetector watch;
    private final PoisonRequestDetector crashes;
    private final PoisonRequestDetector collected;
    private final Map<ResidencyMessages.Request, CompletionStage<Long>> asked = new HashMap<>();
    private NodeLinks links;
    private String historyKnownBy = "";

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
            PoisonRequestDetector crashes,
            MonotonicClock clock) {
        this.loop = loop;
        this.control = control;
        this.self = self;
        this.holder = holder;
        this.fleet = fleet;
        this.peerPort = peerPort;
        this.duty = duty;
        this.meter = meter;
        this.sightings = sightings;
        this.chooser = chooser;
        this.board = board;
        this.nodes = nodes;
        this.watch = watch;
        this.crashes = crashes;
        this.collected = new PoisonRequestDetector(clock);
    }

    /** Starts to report over links to the other nodes. */
    void start(NodeLinks nodeLinks) {
        links = nodeLinks;
        reportLater();
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
            case ResidencyMessages.RESIDENCY_REQUEST ->
                duty.requestResidency(ResidencyMessages.decodeResidencyRequest(message))
                        .thenAccept(held -> answer.complete(ResidencyMessages.encode(held)));
            case ResidencyMessages.NODE_REPORT ->
                answer.complete(ResidencyMessages.encode(take(ResidencyMessages.decodeNodeReport(message))));
            case ResidencyMessages.HOLDER_SUSPICION -> {
                ResidencyMessages.HolderSuspicion silent = ResidencyMessages.decodeHolderSuspicion(message);
                watch.onSuspicion(silent.node(), silent.holder());
            }
            default ->
                answer.completeExceptionally(
                        new IllegalArgumentException("message type '" + message.type() + "' is not known"));
        }
    }

    @Override
    public CompletionStage<Long> want(String service, String model, String adapter) {
        ResidencyMessages.Request want = new ResidencyMessages.Request(service, model, adapter);
        CompletionStage<Long> running = asked.get(want);
        if (running != null) {
            return running;
        }
        CompletableFuture<Long> result = new CompletableFuture<>();
        asked.put(want, result);
        ask(want)
                .whenComplete((held, failure) -> loop.execute(() -> {
                    asked.remove(want);
                    ResidencyMessages.Reply answer = failure == null ? held : ResidencyMessages.Reply.UNAVAILABLE;
                    log.info(
                            "event=residency_wanted model={} adapter={} runner={} ready_in_ms={} cause={}",
                            model,
                            adapter,
                            answer.runner(),
                            answer.readyInMillis(),
                            failure == null ? "-" : failure.toString());
                    noteHeld(want, answer.runner());
                    result.complete(answer.readyInMillis());
                }));
        return result;
    }

    private void noteHeld(ResidencyMessages.Request want, String runner) {
        fleet.get().servers(want.service()).stream()
                .filter(server -> server.id().equals(runner))
                .forEach(server -> sightings.markResident(server, want.model(), want.adapter()));
    }

    private CompletionStage<ResidencyMessages.Reply> ask(ResidencyMessages.Request want) {
        Optional<NodeIdentity> present = holder.get();
        if (present.isEmpty()) {
            return CompletableFuture.completedFuture(ResidencyMessages.Reply.UNAVAILABLE);
        }
        if (present.get().name().equals(self.name())) {
            CompletableFuture<ResidencyMessages.Reply> own = new CompletableFuture<>();
            control.execute(() -> duty.requestResidency(want).thenAccept(own::complete));
            return own.orTimeout(ASK_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }
        return links.ask(address(present.get()), ResidencyMessages.encode(want), ASK_TIMEOUT_MILLIS)
                .thenApply(ResidencyMessages::decodeResidencyReply);
    }

    /** Runs on the control thread of the node that collects the reports. */
    private ResidencyMessages.ReportReply take(ResidencyMessages.NodeReport report) {
        duty.onReport(report.node(), report.demand(), report.history());
        collected.merge(report.strikes());
        return new ResidencyMessages.ReportReply(
                board.exchange(report.node(), report.loads()), collected.strikes(), duty.recentChanges());
    }

    private void onOthers(ResidencyMessages.ReportReply others) {
        chooser.updateRemoteLoads(others.loads());
        crashes.merge(others.strikes());
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

    private void reportLater() {
        loop.schedule(
                () -> {
                    reportLater();
                    report();
                },
                ReportIntervals.intervalMillis(nodes.getAsInt()),
                TimeUnit.MILLISECONDS);
    }

    private void report() {
        Optional<NodeIdentity> present = holder.get();
        if (present.isEmpty()) {
            return;
        }
        NodeIdentity to = present.get();
        boolean known = historyKnownBy.equals(to.memberName());
        List<ResidencyMessages.Demand> demand = meter.takeDemand();
        ResidencyMessages.NodeReport report = new ResidencyMessages.NodeReport(
                self.name(),
                known ? demand : withoutWork(demand),
                chooser.localLoads(),
                crashes.strikes(),
                known ? List.of() : meter.history());
        if (to.name().equals(self.name())) {
            historyKnownBy = to.memberName();
            control.execute(() -> {
                ResidencyMessages.ReportReply others = take(report);
                loop.execute(() -> onOthers(others));
            });
            return;
        }
        links.ask(address(to), ResidencyMessages.encode(report), ASK_TIMEOUT_MILLIS)
                .thenApply(ResidencyMessages::decodeReportReply)
                .whenComplete((others, failure) -> loop.execute(() -> {
                    if (failure == null) {
                        historyKnownBy = to.memberName();
                        onOthers(others);
                    } else {
                        log.debug("event=report_not_answered holder={} cause={}", to.name(), failure.toString());
                    }
                    control.execute(
                            () -> watch.recordReportResult(to, failure == null).forEach(node -> tellSilent(node, to)));
                }));
    }

    /** The history contains the work of the last entries. */
    private static List<ResidencyMessages.Demand> withoutWork(List<ResidencyMessages.Demand> demand) {
        return demand.stream()
                .map(entry -> new ResidencyMessages.Demand(entry.service(), entry.model(), entry.adapter(), 0))
                .toList();
    }

    private void tellSilent(NodeIdentity node, NodeIdentity silent) {
        if (node.name().equals(self.name())) {
            watch.onSuspicion(self.name(), silent.memberName());
            return;
        }
        links.send(
                address(node),
                ResidencyMessages.encode(new ResidencyMessages.HolderSuspicion(self.name(), silent.memberName())));
    }

    private String address(NodeIdentity node) {
        return new PeerAddress(node.host(), peerPort).toString();
    }
}
