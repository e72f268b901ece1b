package org.agatehatch.daemon.wiring;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.daemon.front.CatalogueAdmin;
import org.agatehatch.daemon.front.EntryNodes;
import org.agatehatch.daemon.front.InFlightRequests;
import org.agatehatch.daemon.front.ModelList;
import org.agatehatch.daemon.front.NodeHttpApi;
import org.agatehatch.daemon.front.NodeStatus;
import org.agatehatch.daemon.front.OperatorApi;
import org.agatehatch.daemon.front.StatusReports;
import org.agatehatch.daemon.links.PeerLinks;
import org.agatehatch.daemon.platform.VmListClient;
import org.agatehatch.daemon.settings.NodeSettings;
import org.agatehatch.daemon.traffic.CompletionHandler;
import org.agatehatch.daemon.traffic.EngineClient;
import org.agatehatch.daemon.traffic.PoolDispatchers;
import org.agatehatch.daemon.traffic.ServiceHandler;
import org.agatehatch.daemon.traffic.TrafficDependencies;
import org.agatehatch.internal.connection.RunnerLoadTrackers;
import org.agatehatch.internal.process.AppendPurpose;
import org.agatehatch.internal.process.CrashEvidence;
import org.agatehatch.internal.process.CrashReport;
import org.agatehatch.internal.process.ReadinessGate;
import org.agatehatch.internal.process.ReplicatedStateListener;
import org.agatehatch.internal.process.StateTransfer;
import org.agatehatch.internal.process.digest.DigestEntry;
import org.agatehatch.internal.process.digest.DigestPayloads;
import org.agatehatch.internal.process.digest.Heartbeat;
import org.agatehatch.internal.process.digest.NodeInfo;
import org.agatehatch.internal.process.digest.NodeState;
import org.agatehatch.internal.request.RetryBudget;
import org.agatehatch.internal.version.SnapshotCodec;
import org.agatehatch.internal.version.record.StateRecord.Strike;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.stream.SystemMaterializer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One entry node. Creates its parts, runs their periodic work on the control thread, and starts and stops them. */
public final class Node implements NodeStatus {
    private static final Logger log = LoggerFactory.getLogger(Node.class);
    private static final long CONTROL_TICK_MILLIS = 100;
    private static final Duration QUEUE_TICK = Duration.ofMillis(5);
    private static final long STATE_FETCH_INTERVAL_MILLIS = 2_000;
    private static final long VM_LIST_INTERVAL_MILLIS = 1_000;
    private static final long OPERATOR_TIMEOUT_MILLIS = 8_000;
    private static final Duration CONNECTION_CLOSE_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_SAVED_RETRIES = 100;
    private static final double ASSUMED_TOKENS_PER_REQUEST = 500;

    private final NodeContext context;
    private final ActorSystem system;
    private final VmListClient vmList;
    private final PeerNetwork peers;
    private final StateReplicator replicated;
    private final RunnerLoadPoller polling;
    private final TrafficCoordinator traffic;
    private final PlacementCoordinator placement;
    private final LeavingServers leaving;
    private final AccountingCoordinator accounts;
    private final CrashDetector crashes;
    private final PeerLinks links;
    private final RunnerLoadTrackers trackers;
    private final StateTransfer stateTransfer;
    private ClaimCoordinator claims;
    private PoolDispatchers pools;
    private CatalogueAdmin actions;
    private ServerBinding binding;
    private volatile NodeState state = NodeState.STARTING;
    private volatile boolean running = true;
    private volatile boolean closing;
    private final InFlightRequests inFlight = new InFlightRequests();
    private long nextVmListMillis;
    private long nextStateFetchMillis;

    public Node(NodeContext context, ActorSystem system, VmListClient vmList) {
        this.context = context;
        this.system = system;
        this.vmList = vmList;
        // Delays the first fetch of peer state, which a node does not need if the log answers.
        this.nextStateFetchMillis = context.clock().millis() + STATE_FETCH_INTERVAL_MILLIS;
        this.trackers = new RunnerLoadTrackers(context.clock(), ASSUMED_TOKENS_PER_REQUEST);
        this.replicated = new StateReplicator(context);
        this.peers = new PeerNetwork(context, this::answerPeer, this::onNotice, this::onEntry);
        this.polling = new RunnerLoadPoller(context, trackers, peers);
        this.traffic = new TrafficCoordinator(context, peers, trackers);
        this.leaving = new LeavingServers(context, peers, polling);
        this.placement = new PlacementCoordinator(context, replicated, peers, polling, leaving.names());
        this.accounts = new AccountingCoordinator(context, replicated, peers);
        this.crashes = new CrashDetector(context, traffic.suspicions(), polling, peers, replicated);
        this.links = new PeerLinks(
                system, context.settings().nodeName(), context.settings().peerKey(), context.secureRandom(), peers);
        this.stateTransfer = new StateTransfer(this::offeredState, links, context.control()::execute);
        replicated.state().addListener(strikeListener());
        // Applies an accepted change to traffic at once instead of at the next control tick.
        replicated.state().addListener((offset, record, acceptance) -> updateTraffic());
    }

    /** Binds the ports and starts all parts. Completes with this node's name and addresses. */
    public CompletionStage<NodeInfo> start() {
        NodeSettings settings = context.settings();
        return links.bind(settings.listenHost(), settings.peerPort())
                .thenCompose(peerPort -> bindCallerPort(peerPort))
                .thenApply(self -> {
                    context.control().execute(() -> {
                        peers.setSelf(self);
                        replicated.start();
                        tick();
                    });
                    system.scheduler().scheduleWithFixedDelay(QUEUE_TICK, QUEUE_TICK, pools::tick, system.dispatcher());
                    return self;
                });
    }

    /**
     * Stops gracefully: marks this node as leaving so that it drops out of the list of entry nodes, keeps serving while
     * callers may still use a cached list, then stops accepting connections and waits for the requests in flight up to
     * the drain limit.
     */
    public CompletionStage<Void> stop() {
        NodeSettings settings = context.settings();
        log.info(
                "node leaving: entry_answer_ms={} drain_limit_ms={}",
                settings.entryAnswerMillis(),
                settings.drainLimitMillis());
        state = NodeState.LEAVING;
        context.control().execute(replicated::releaseLeases);
        CompletableFuture<Void> waited = new CompletableFuture<>();
        waited.completeOnTimeout(null, settings.entryAnswerMillis(), TimeUnit.MILLISECONDS);
        return waited.thenCompose(ignored -> binding.unbind())
                .thenCompose(ignored -> {
                    closing = true;
                    return inFlight.whenDrained(settings.drainLimitMillis());
                })
                .thenCompose(ignored -> {
                    log.info("node drained: cut_off={}", inFlight.count());
                    return binding.terminate(CONNECTION_CLOSE_TIMEOUT);
                })
                .thenCompose(ignored -> accounts.reporter().stop().handle((offset, failure) -> null))
                .thenAccept(ignored -> {
                    running = false;
                    replicated.stop();
                    log.info("node stopped");
                });
    }

    /** Applies the catalogue once the node is ready, unless a catalogue is already in force. */
    public void publishFirstCatalogue(String yaml) {
        context.control().schedule(CONTROL_TICK_MILLIS, () -> {
            if (state != NodeState.READY) {
                publishFirstCatalogue(yaml);
                return;
            }
            if (replicated.view().catalogue().version() == 0) {
                actions.apply("sample-catalogue.yaml", yaml, 0, "agatehatchd --embedded")
                        .whenComplete((version, failure) -> log.info(
                                "sample catalogue: version={} failure={}",
                                version,
                                failure == null ? "none" : failure.getMessage()));
            }
        });
    }

    @Override
    public boolean serving() {
        return state != NodeState.STARTING && hasCatalogue();
    }

    private boolean hasCatalogue() {
        return replicated.view().catalogue().version() > 0;
    }

    @Override
    public boolean stopping() {
        return closing;
    }

    @Override
    public String reason() {
        if (state == NodeState.STARTING) {
            return replicated.gate().reason();
        }
        return hasCatalogue() ? state.name() : "no catalogue yet; apply one with agatehatch catalogue apply";
    }

    private CompletionStage<NodeInfo> bindCallerPort(int peerPort) {
        NodeSettings settings = context.settings();
        String peerAddress = settings.advertisedHost() + ":" + peerPort;
        claims = new ClaimCoordinator(context, peers, links, peerAddress);
        TrafficDependencies parts = traffic.parts(accounts, crashes, leaving, placement);
        pools = new PoolDispatchers(settings.nodeName(), parts, system.scheduler(), system.dispatcher());
        traffic.attach(pools);
        leaving.attach(pools);
        peers.attach(links);
        placement.attach(links);
        addGauges();
        NodeHttpApi api = callerApi(parts);
        return Http.get(system)
                .newServerAt(settings.listenHost(), settings.listenPort())
                .bindFlow(api.connection())
                .thenApply(bound -> {
                    binding = bound;
                    return new NodeInfo(
                            settings.nodeName(),
                            context.incarnation(),
                            settings.advertisedHost() + ":"
                                    + bound.localAddress().getPort(),
                            peerAddress,
                            settings.failureDomain(),
                            settings.region());
                });
    }

    private NodeHttpApi callerApi(TrafficDependencies parts) {
        SystemMaterializer materializer = SystemMaterializer.get(system);
        EngineClient engine = new EngineClient(system, system.settings().config());
        RetryBudget budget = new RetryBudget(MAX_SAVED_RETRIES);
        CompletionHandler completions = new CompletionHandler(
                parts, pools, engine, claims.gate(), budget, context.secureRandom(), materializer.materializer());
        ServiceHandler services = new ServiceHandler(
                parts, pools, engine, claims.gate(), budget, context.secureRandom(), materializer.materializer());
        actions = new CatalogueAdmin(
                context.control()::execute,
                () -> replicated.state().state(),
                record -> replicated.append(AppendPurpose.CONFIGURATION, record, OPERATOR_TIMEOUT_MILLIS),
                context::randomId);
        StatusReports reports = new StatusReports(
                context.settings().nodeName(),
                this,
                context.control()::execute,
                () -> replicated.state().state(),
                peers::live,
                this::addStatusFields);
        return new NodeHttpApi(
                this,
                inFlight,
                completions,
                services,
                new ModelList(() -> traffic.view().get().catalogue()),
                new EntryNodes(peers::live, context.settings().entryAnswerMillis()),
                new OperatorApi(actions, reports, accounts::json),
                traffic.metrics(),
                context.clock(),
                context.settings().maxBodyBytes(),
                materializer.materializer());
    }

    private void tick() {
        if (!running) {
            return;
        }
        try {
            runControlTick();
        } catch (RuntimeException e) {
            log.error("control tick failed; later ticks continue", e);
        }
        context.control().schedule(CONTROL_TICK_MILLIS, this::tick);
    }

    private void runControlTick() {
        fetchStateIfStarting();
        if (state == NodeState.STARTING && replicated.gate().isOpen()) {
            state = NodeState.READY;
            log.info("node ready: {}", replicated.gate().reason());
        }
        updateTraffic();
        peers.tick(new Heartbeat(
                state,
                replicated.view().catalogue().version(),
                replicated.state().state().throughOffset()));
        readVmList();
        replicated.tick(peers.leaseCandidates());
        polling.tick(replicated.view().catalogue());
        leaving.tick(replicated.view().catalogue());
        placement.tick();
        traffic.tick();
        accounts.tick();
        claims.tick();
    }

    private void updateTraffic() {
        if (pools != null) {
            traffic.update(replicated.view(), placement.readyStandbys());
        }
    }

    private void readVmList() {
        long nowMillis = context.clock().millis();
        if (nowMillis < nextVmListMillis) {
            return;
        }
        nextVmListMillis = nowMillis + VM_LIST_INTERVAL_MILLIS;
        vmList.read()
                .whenComplete((vms, failure) -> context.control().execute(() -> {
                    if (failure != null) {
                        return;
                    }
                    peers.onVmList(vms);
                    leaving.onVmList(vms, replicated.view().catalogue());
                    replicated.gate().onVmList(peers.otherNodesOnVmList());
                }));
    }

    private Optional<CompletionStage<PeerMessage>> answerPeer(PeerMessage message) {
        return claims.handle(message).or(() -> stateTransfer.handle(message));
    }

    private Optional<StateTransfer.PeerSnapshot> offeredState() {
        if (state == NodeState.STARTING) {
            return Optional.empty();
        }
        ReadinessGate.PeerState proof = new ReadinessGate.PeerState(
                context.settings().nodeName(),
                context.settings().failureDomain(),
                replicated.state().state().throughOffset(),
                replicated.gate().logEndReadAgoMillis().orElse(Long.MAX_VALUE));
        return Optional.of(new StateTransfer.PeerSnapshot(
                proof, SnapshotCodec.encode(replicated.state().state())));
    }

    /** Fetches the state from the other nodes on the VM list while this node starts and the log does not answer. */
    private void fetchStateIfStarting() {
        long nowMillis = context.clock().millis();
        if (state != NodeState.STARTING || nowMillis < nextStateFetchMillis) {
            return;
        }
        nextStateFetchMillis = nowMillis + STATE_FETCH_INTERVAL_MILLIS;
        for (String address : peers.otherAddressesOnVmList()) {
            stateTransfer.fetch(address).whenComplete((offer, failure) -> {
                if (failure == null) {
                    replicated.state().install(offer.snapshot());
                    replicated.gate().onPeerState(offer.peerState());
                }
            });
        }
    }

    private void onNotice(PeerMessage message) {
        if (message.type().equals(PlacementCoordinator.DEMAND_MESSAGE)) {
            placement.onDemand(message);
        }
    }

    private void onEntry(DigestEntry entry) {
        switch (entry.kind()) {
            case RUNNER_LOAD, RUNNER_ADAPTERS -> polling.onEntry(entry);
            case OWNER_USAGE -> traffic.onEntry(entry);
            case LEAVING -> leaving.onEntry(entry, replicated.view().catalogue());
            case STRIKE -> mergeStrike(entry);
            case CRASH_EVIDENCE -> mergeCrashEvidence(entry);
            default -> {
                // Membership and adapter demand are read from the digest by the code that uses them.
            }
        }
    }

    private void mergeStrike(DigestEntry entry) {
        long ageMillis = Math.max(0, context.wallClock().epochMillis() - entry.version());
        traffic.suspicions().merge(DigestPayloads.decodeStrike(entry.payload()), ageMillis);
    }

    private void mergeCrashEvidence(DigestEntry entry) {
        long ageMillis = Math.max(0, context.wallClock().epochMillis() - entry.version());
        traffic.suspicions().merge(CrashEvidence.decode(entry.payload()).olderBy(ageMillis));
    }

    private ReplicatedStateListener strikeListener() {
        return (offset, record, acceptance) -> {
            if (record instanceof Strike strike) {
                traffic.suspicions()
                        .merge(new CrashReport(strike.fingerprint(), strike.backendServer(), strike.runnerEpoch()));
            }
        };
    }

    private void addStatusFields(ObjectNode root) {
        root.put("waiting_requests", pools.waitingRequests())
                .put("peer_links", links.links().size())
                .put("peer_bytes", links.totalBytes())
                .put("digest_entries", peers.digest().size());
        ObjectNode appends = root.putObject("appends");
        for (AppendPurpose purpose : AppendPurpose.values()) {
            appends.put(
                    purpose.name().toLowerCase(Locale.ROOT),
                    replicated.counters(purpose).appends());
        }
    }

    private void addGauges() {
        traffic.metrics()
                .registerGauge(
                        "agatehatch_queued_requests", "Requests that wait at this node", () -> pools.waitingRequests());
        traffic.metrics()
                .registerGauge("agatehatch_peer_bytes", "Bytes sent and received over links to other nodes", () ->
                        (double) links.totalBytes());
        traffic.metrics().registerGauge("agatehatch_catalogue_version", "Catalogue version in force", () ->
                (double) traffic.view().get().catalogue().version());
        traffic.metrics()
                .registerGauge(
                        "agatehatch_live_nodes",
                        "Live nodes as this node sees them",
                        () -> peers.live().size());
    }
}
