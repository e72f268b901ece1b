package org.agatehatch.gateway.process;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Function;
import java.util.function.Supplier;
import org.agatehatch.api.fleet.EngineSpec;
import org.agatehatch.api.fleet.KeyedTopic;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.fleet.ServiceSpec;
import org.agatehatch.api.fleet.TeamSpec;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.gateway.connection.BackendConnectionPool;
import org.agatehatch.gateway.connection.CallerMemory;
import org.agatehatch.gateway.connection.CallerServer;
import org.agatehatch.gateway.connection.PooledHttpClient;
import org.agatehatch.gateway.links.TcpPeerTransport;
import org.agatehatch.gateway.metrics.GatewayMetrics;
import org.agatehatch.gateway.request.CrashAttribution;
import org.agatehatch.gateway.request.Exchange;
import org.agatehatch.gateway.request.ExchangeContext;
import org.agatehatch.gateway.request.ExchangeTimeouts;
import org.agatehatch.gateway.request.ResponseMemory;
import org.agatehatch.gateway.request.ServerProbe;
import org.agatehatch.gateway.request.TeamLog;
import org.agatehatch.internal.process.BackendRegistry;
import org.agatehatch.internal.process.CrashEvidence;
import org.agatehatch.internal.process.CrashingPartDetector;
import org.agatehatch.internal.process.DefaultControlThread;
import org.agatehatch.internal.process.DemandMeter;
import org.agatehatch.internal.process.EntryNodeSelector;
import org.agatehatch.internal.process.FleetView;
import org.agatehatch.internal.process.HolderFailureDetector;
import org.agatehatch.internal.process.InputGuard;
import org.agatehatch.internal.process.LimitMessages;
import org.agatehatch.internal.process.LoadAggregator;
import org.agatehatch.internal.process.MembershipSettings;
import org.agatehatch.internal.process.NodeIdentity;
import org.agatehatch.internal.process.NodeMembership;
import org.agatehatch.internal.process.NodeView;
import org.agatehatch.internal.process.PlacementHandover;
import org.agatehatch.internal.process.PlacementLease;
import org.agatehatch.internal.process.PoisonRequestDetector;
import org.agatehatch.internal.process.QuotaMessages;
import org.agatehatch.internal.process.RelaySelection;
import org.agatehatch.internal.process.RelayedNodeGroup;
import org.agatehatch.internal.process.RelayedTopic;
import org.agatehatch.internal.process.RendezvousHash;
import org.agatehatch.internal.process.ResidencyController;
import org.agatehatch.internal.process.StateMessages;
import org.agatehatch.internal.process.StreamOriginMessages;
import org.agatehatch.internal.process.TopicFollower;
import org.agatehatch.internal.process.TopicFollowerSettings;
import org.agatehatch.internal.process.TopicMessages;
import org.agatehatch.internal.request.ChooserSettings;
import org.agatehatch.internal.request.RequestPacer;
import org.agatehatch.internal.request.ResidencyObservations;
import org.agatehatch.internal.request.ServerAvailability;
import org.agatehatch.internal.request.ServerChooser;
import org.agatehatch.internal.request.ServerLimits;
import org.agatehatch.internal.request.ServerRooms;
import org.agatehatch.internal.request.SoftwareVersions;
import org.agatehatch.internal.request.StreamOrigins;
import org.agatehatch.internal.request.WindowedRetryBudget;
import org.agatehatch.internal.version.ActiveConfig;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A node, which follows the platform's store on the control thread and forwards requests on the traffic thread. */
public final class EdgeNode implements AutoCloseable {
    private static final Logger log = LoggerFactory.getLogger(EdgeNode.class);

    private static final int STORE_CONNECT_TIMEOUT_MILLIS = 800;

    /** Low, since the network distance to a runner is at most a few milliseconds. */
    private static final int SERVER_CONNECT_TIMEOUT_MILLIS = 250;

    /** The network distance between nodes is a few milliseconds; a relay that takes longer is frozen or gone. */
    private static final long RELAY_TIMEOUT_MILLIS = 300;

    private static final long POOL_EVICTION_INTERVAL_MILLIS = 500;
    private static final long MEMBERSHIP_RENEWAL_MILLIS = 700;
    private static final long MEMBERSHIP_RENEWAL_MARGIN_MILLIS = 400;

    /** Time for running tasks of the event loop when the node is closed. */
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    private final EdgeSettings settings;
    private final MonotonicClock clock = MonotonicClock.system();
    private final Random random = new Random();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final DefaultControlThread control = new DefaultControlThread("control");
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final ActiveConfig config = new ActiveConfig();
    private final PlatformBindings platform;
    private final RelayedTopic configTopic;
    private final RelayedTopic serverTopic;
    private final TcpPeerTransport peerTransport;
    private final ConfigUpdates configUpdates;
    private final TopicFollower configFollower;
    private final TopicFollower serverFollower;
    private final StoreViews storeViews;
    private final BackendRegistry registry;
    private final RelayedNodeGroup nodeGroup;
    private final NodeMembership membership;
    private final PeerStateBootstrap peerBootstrap;
    private final InputGuard peerStateGuard = new InputGuard("peer_state");
    private final PlacementLease claim;
    private final PlacementHandover handover;
    private final BackendConnectionPool serverPool;
    private final GracefulShutdown shutdown;
    private final ResidencyObservations sightings = new ResidencyObservations(clock);
    private final DemandMeter demandMeter =
            new DemandMeter(ChooserSettings.DEFAULT.prefillTokensPerMilli(), this::slots, clock);
    private final ServerChooser chooser;
    private final PoisonRequestDetector poisonRequests =
            new PoisonRequestDetector(clock, new StrikeLog(metrics)::onStrike);
    private final CrashingPartDetector crashingParts =
            new CrashingPartDetector(clock, this::ownsTrialsOf, new QuarantineLog(metrics, this::quarantinedParts));
    private final ServerConnections serverConnections;
    private final ServerProbe serverProbe;
    private final CrashAttribution crashes;
    private final ServerLimits serverLimits = new ServerLimits(clock, this::onLimit);
    private final ServerAvailability availability = new ServerAvailability(clock, new AvailabilityLog(metrics));
    private final ServerRooms serverRooms = new ServerRooms(clock, random, this::nodeCount, this::tellTurnedAway);
    private final SoftwareVersions softwareVersions = new SoftwareVersions(clock);
    private final RequestPacer pacer = new RequestPacer(clock);
    private final LimitCoordinator limitCoordinator;
    private final StreamOriginExchange streamOriginExchange;
    private final ServerViewExchange serverViewExchange;
    private final QuotaExchange quotaExchange;
    private final StreamOrigins streamOrigins;
    private final CrashEvidenceExchange crashEvidence;
    private final ResidencyController residencyController;
    private final ResidencyClient residencyClient;
    private final CallerMemory callerMemory;
    private CallerServer callerServer;
    private volatile FleetView fleet = FleetView.EMPTY;
    private volatile NodeView nodes = NodeView.EMPTY;
    private volatile Optional<NodeIdentity> placementHolder = Optional.empty();

    /**
     * Creates a node that is not started.
     *
     * @param platformFactory creates the access to the platform, given the HTTP client for its calls
     */
    public EdgeNode(EdgeSettings settings, Function<PooledHttpClient, PlatformBindings> platformFactory) {
        this.settings = settings;
        callerMemory = new CallerMemory(settings.callerLimits(), clock, new CallerMemoryLog(metrics, clock));
        BackendConnectionPool storePool =
                new BackendConnectionPool(loop, clock, STORE_CONNECT_TIMEOUT_MILLIS, metrics::connectionsOpened);
        serverPool = new BackendConnectionPool(loop, clock, SERVER_CONNECT_TIMEOUT_MILLIS, metrics::connectionsOpened);
        serverConnections = newServerConnections();
        shutdown = new GracefulShutdown(
                settings.shutdownGraceMillis(), clock, this::leaveGroup, serverConnections.relay()::isRelaying);
        serverProbe = new ServerProbe(serverConnections.connector());
        crashes = new CrashAttribution(poisonRequests, crashingParts, serverProbe);
        crashEvidence = new CrashEvidenceExchange(
                loop, settings.self(), () -> nodes, settings.peerPort(), crashingParts, random, clock);
        limitCoordinator = new LimitCoordinator(
                loop, settings.self(), () -> nodes, settings.peerPort(), serverLimits, serverRooms, pacer);
        streamOriginExchange = new StreamOriginExchange(loop, settings.self(), () -> nodes, settings.peerPort());
        peerTransport = new TcpPeerTransport(group, this::onPeerMessage, serverConnections.relay());
        platform = platformFactory.apply(new PooledHttpClient(loop, storePool));
        streamOrigins = newStreamOrigins();
        configTopic = newRelayedTopic(TopicQuestions.CONFIG_TOPIC, platform.configTopic(), Arrays::equals);
        serverTopic = newRelayedTopic(
                TopicQuestions.SERVER_TOPIC, platform.serverTopic(), new SameServerCheck(platform.serverDecoder()));
        peerBootstrap = new PeerStateBootstrap(
                settings.otherSeedAddresses(), control, this::hasCompleteState, this::onPeerState);
        configUpdates = new ConfigUpdates(
                platform.configDecoder(), config, peerBootstrap::recordConfig, this::onStoreEra, clock);
        configFollower = newFollower(
                TopicQuestions.CONFIG_TOPIC, configTopic, () -> TopicFollowerSettings.LONG_POLLING, configUpdates);
        registry = new BackendRegistry(
                platform.serverDecoder(), control, this::sinceStoreRegainedMillis, softwareVersions, this::onFleet);
        serverFollower = newFollower(
                TopicQuestions.SERVER_TOPIC, serverTopic, this::serverTopicTiming, peerBootstrap.recording(registry));
        exposeViews();
        storeViews = new StoreViews(configFollower, serverFollower, clock);
        nodeGroup = new RelayedNodeGroup(platform.nodeGroup(), this::groupRelay, control::execute);
        membership = newMembership();
        claim = newPlacementLease();
        handover = newPlacementHandover();
        quotaExchange = newQuotaExchange();
        chooser = newChooser();
        serverViewExchange = newServerViewExchange();
        residencyController = newResidencyController();
        residencyClient = newResidencyClient();
    }

    private ResidencyClient newResidencyClient() {
        return new ResidencyClient(
                loop,
                control,
                settings.self(),
                () -> placementHolder,
                () -> fleet,
                settings.peerPort(),
                residencyController,
                demandMeter,
                sightings,
                chooser,
                new LoadAggregator(clock, this::nodeCount),
                this::nodeCount,
                new HolderFailureDetector(
                        settings.self(), () -> nodes, () -> placementHolder, claim::takeOverFrom, control, clock),
                claim::onHolderNamed,
                poisonRequests,
                clock);
    }

    private ServerConnections newServerConnections() {
        return new ServerConnections(
                loop, settings.self(), () -> nodes, () -> fleet, settings.peerPort(), serverPool, clock, metrics);
    }

    private PlacementHandover newPlacementHandover() {
        return new PlacementHandover(
                settings.self(),
                claim,
                () -> nodes,
                peerTransport,
                settings.peerPort(),
                control,
                clock,
                random,
                serverConnections::cutOffFromMost);
    }

    private void exposeViews() {
        metrics.observeTopic(TopicQuestions.CONFIG_TOPIC, configFollower::viewAgeMillis, configFollower::failedReads);
        metrics.observeTopic(TopicQuestions.SERVER_TOPIC, serverFollower::viewAgeMillis, serverFollower::failedReads);
        metrics.observeConfig(() -> config.config().version());
    }

    private PlacementLease newPlacementLease() {
        return new PlacementLease(
                settings.self(),
                platform.placementClaimTopic(),
                membership::isValid,
                settings.runnersEnforceFencing(),
                control,
                clock,
                this::onHolder);
    }

    private void leaveGroup() {
        control.execute(membership::leave);
    }

    private int quarantinedParts() {
        return crashingParts.quarantinedParts().size();
    }

    private StreamOrigins newStreamOrigins() {
        return new StreamOrigins(
                platform.streamOriginLog(),
                streamOriginExchange::find,
                (service, spanMillis) ->
                        softwareVersions.onlyVersion(service, spanMillis).isPresent(),
                clock,
                loop);
    }

    private RelayedTopic newRelayedTopic(String name, KeyedTopic topic, BiPredicate<byte[], byte[]> sameContent) {
        return new RelayedTopic(
                name, topic, this::currentRelay, () -> RelaySelection.usesRelays(nodes), sameContent, control, clock);
    }

    private TopicFollower newFollower(
            String name, KeyedTopic topic, Supplier<TopicFollowerSettings> timing, TopicFollower.Listener listener) {
        return new TopicFollower(name, topic, timing, control, clock, random, listener);
    }

    private TopicFollowerSettings serverTopicTiming() {
        return RelaySelection.usesRelays(nodes)
                ? TopicFollowerSettings.PERIODIC_WITH_RELAYS
                : TopicFollowerSettings.PERIODIC;
    }

    private Optional<RelayedTopic.Relay> currentRelay() {
        return relayAddress()
                .map(address -> question -> peerTransport
                        .ask(address, TopicMessages.encode(question), RELAY_TIMEOUT_MILLIS)
                        .thenApply(TopicMessages::decodeResponse));
    }

    private Optional<RelayedNodeGroup.Relay> groupRelay() {
        return relayAddress()
                .map(address -> question -> peerTransport
                        .ask(address, question.encode(), RELAY_TIMEOUT_MILLIS)
                        .thenApplyAsync(RelayedNodeGroup::decodeAnswer, control::execute));
    }

    private Optional<String> relayAddress() {
        return RelaySelection.relayOf(settings.self(), nodes)
                .map(node -> new PeerAddress(node.host(), settings.peerPort()).toString());
    }

    private QuotaExchange newQuotaExchange() {
        return new QuotaExchange(
                loop,
                control,
                settings.self(),
                () -> nodes,
                () -> placementHolder,
                this::teams,
                claim::currentGrant,
                membership::isValid,
                settings.peerPort(),
                settings.quotaBounds(),
                clock,
                random,
                metrics);
    }

    private List<TeamSpec> teams() {
        return config.config().teams();
    }

    private ServerChooser newChooser() {
        return new ServerChooser(
                ChooserSettings.DEFAULT,
                settings.self().failureDomain(),
                () -> fleet,
                sightings,
                availability,
                clock,
                random,
                this::nodeCount,
                new CapacityLog(metrics, clock),
                serverRooms);
    }

    private ServerViewExchange newServerViewExchange() {
        FollowedServerView view = new FollowedServerView(serverFollower, chooser, softwareVersions);
        return new ServerViewExchange(loop, settings.self(), () -> nodes, settings.peerPort(), view, clock);
    }

    private int slots(String service) {
        return Optional.ofNullable(config.config().services().get(service))
                .flatMap(ServiceSpec::engine)
                .map(EngineSpec::slots)
                .orElse(1);
    }

    private int nodeCount() {
        return nodes.nodes().size();
    }

    private NodeMembership newMembership() {
        return new NodeMembership(
                settings.self(),
                nodeGroup,
                new MembershipSettings(
                        MEMBERSHIP_RENEWAL_MILLIS, settings.membershipTtlMillis(), MEMBERSHIP_RENEWAL_MARGIN_MILLIS),
                control,
                clock,
                random,
                this::onNodes);
    }

    private ResidencyController newResidencyController() {
        return new ResidencyController(
                settings.self().name(),
                platform.residencyOrders(),
                config::config,
                () -> fleet,
                claim::currentGrant,
                this::nodeCount,
                control,
                clock,
                settings.loadWindowSeconds(),
                settings.loadOvershootFactor(),
                metrics::orderSent);
    }

    /** Starts following the store, and listening. */
    public void start(EdgeListeners listeners) {
        log.info(
                "event=start node={} domain={} incarnation={}",
                settings.self().name(),
                settings.self().failureDomain(),
                settings.self().incarnation());
        control.execute(() -> {
            configFollower.start();
            serverFollower.start();
            membership.start();
            claim.start();
            handover.start();
            residencyController.start();
        });
        peerTransport.bind(new PeerAddress(settings.self().host(), settings.peerPort()));
        loop.execute(() -> serverConnections.start(shutdown::leaving));
        loop.execute(() -> residencyClient.start(peerTransport));
        loop.execute(() -> crashEvidence.start(peerTransport));
        loop.execute(() -> limitCoordinator.start(peerTransport));
        loop.execute(() -> streamOriginExchange.start(peerTransport));
        loop.execute(() -> serverViewExchange.start(peerTransport));
        loop.execute(() -> quotaExchange.start(peerTransport));
        control.execute(() -> peerBootstrap.start(peerTransport));
        new StatusListeners(group, clock, callerMemory).bind(listeners, metrics::scrape, this::isReady);
        ExchangeContext parts = exchangeParts();
        callerServer = new CallerServer(
                group, clock, () -> config.config().limits(), shutdown::leaving, callerMemory, (request, sink) -> {
                    Exchange exchange = new Exchange(parts, request, shutdown.countInFlight(sink));
                    exchange.start();
                    return exchange;
                });
        listeners.callerAddress().ifPresent(callerServer::bind);
        loop.scheduleWithFixedDelay(
                new EventLoopLag(clock, metrics::eventLoopLate)::measure,
                EventLoopLag.INTERVAL_MILLIS,
                EventLoopLag.INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(
                serverPool::evictUnusable,
                POOL_EVICTION_INTERVAL_MILLIS,
                POOL_EVICTION_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Makes the process stop gracefully when it is asked to end. Call after {@link #start}. */
    public void stopGracefullyOnExit() {
        shutdown.installShutdownHook(callerServer);
    }

    /** Stops at once: closes all connections and leaves the node's membership to expire. */
    @Override
    public void close() {
        control.close();
        group.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /**
     * Returns addresses of nodes that a caller should connect to.
     *
     * @param maxAddresses maximum number of addresses
     * @param port port for callers' requests, the same on all nodes
     */
    public List<PeerAddress> callerAddresses(int maxAddresses, int port) {
        List<NodeIdentity> candidates = nodes.nodes().stream()
                .filter(node -> !node.equals(settings.self()) || !shutdown.leaving())
                .toList();
        return EntryNodeSelector.select(candidates, maxAddresses, random).stream()
                .map(node -> new PeerAddress(node.host(), port))
                .toList();
    }

    private boolean isReady() {
        return hasCompleteState() && !shutdown.leaving();
    }

    private ExchangeContext exchangeParts() {
        WindowedRetryBudget retryBudget = new WindowedRetryBudget(
                clock, settings.retryRatio(), settings.retrySlack(), settings.retryWindowMillis(), this::nodeCount);
        return new ExchangeContext(
                loop,
                clock,
                random,
                platform.headerCodec(),
                config,
                chooser,
                serverConnections.connector(),
                retryBudget,
                residencyClient,
                demandMeter,
                crashes,
                serverProbe,
                serverLimits,
                availability,
                limitCoordinator,
                streamOrigins,
                softwareVersions,
                serverViewExchange,
                serverViewExchange,
                storeViews::knowsServersAsOf,
                storeViews::heardOfConfigRecently,
                quotaExchange.admission(),
                new TeamLog(clock, metrics),
                shutdown,
                new ResponseMemory(),
                metrics,
                ExchangeTimeouts.DEFAULT);
    }

    private void onFleet(FleetView view) {
        Set<String> before = processes(fleet);
        Set<String> present = processes(view);
        fleet = view;
        softwareVersions.observe(view);
        before.removeAll(present);
        // Draining servers leave the view too. Recording their end is harmless, as their connections do not break.
        loop.execute(() -> {
            before.forEach(crashes::processDied);
            serverLimits.retain(present);
            pacer.retain(present);
            serverConnections.retain(present);
            serverRooms.retain(present);
            streamOrigins.onVersionsSeen();
            metrics.serversLimited(serverLimits.size());
        });
    }

    private void onLimit(String process, OptionalDouble perSecond, boolean own) {
        metrics.serversLimited(serverLimits.size());
        limitCoordinator.onLimit(process, perSecond, own);
    }

    private boolean ownsTrialsOf(String part) {
        List<String> names = nodes.nodes().stream().map(NodeIdentity::name).toList();
        return names.isEmpty()
                || RendezvousHash.rank(part, names).indexOf(settings.self().name()) == 0;
    }

    private void tellTurnedAway(String process, double maxPerSecond) {
        limitCoordinator.tellTurnedAway(process, maxPerSecond);
    }

    private static Set<String> processes(FleetView view) {
        Set<String> processes = new HashSet<>();
        view.byService().values().forEach(servers -> servers.forEach(server -> processes.add(server.processKey())));
        return processes;
    }

    private void onNodes(NodeView view) {
        nodes = view;
        claim.onMembershipChange(view);
    }

    private void onHolder(Optional<NodeIdentity> found) {
        placementHolder = found;
        if (found.equals(Optional.of(settings.self()))) {
            handover.announce();
        }
    }

    private CompletionStage<PeerMessage> onPeerMessage(PeerMessage message) {
        return switch (message.type()) {
            case StateMessages.REQUEST_TYPE ->
                CompletableFuture.supplyAsync(() -> peerBootstrap.respond(message), control::execute);
            case TopicMessages.REQUEST_TYPE ->
                CompletableFuture.supplyAsync(
                        () -> new TopicQuestions(configTopic, serverTopic).answer(TopicMessages.decodeRequest(message)),
                        control::execute);
            case RelayedNodeGroup.QUESTION_TYPE ->
                CompletableFuture.supplyAsync(() -> nodeGroup.answer(message), control::execute)
                        .thenCompose(answer -> answer);
            case CrashEvidence.FULL_EXCHANGE_TYPE, CrashEvidence.RECENT_EXCHANGE_TYPE -> crashEvidence.receive(message);
            case LimitMessages.NOTICE_TYPE, LimitMessages.TURNED_AWAY_TYPE, LimitMessages.PERMIT_REQUEST_TYPE ->
                limitCoordinator.receive(message);
            case PlacementHandover.QUESTION_TYPE, PlacementHandover.NOTICE_TYPE, PlacementHandover.CHANGE_TYPE ->
                handover.receive(message);
            case QuotaMessages.QUESTION_TYPE -> quotaExchange.receive(message);
            case StreamOriginMessages.QUESTION_TYPE -> streamOriginExchange.receive(message, streamOrigins::remembered);
            case StreamOriginMessages.VERSION_QUESTION_TYPE -> serverViewExchange.receiveVersionQuestion(message);
            case StreamOriginMessages.PROCESS_QUESTION_TYPE -> serverViewExchange.receiveProcessQuestion(message);
            default -> residencyClient.receive(message);
        };
    }

    /** Returns whether this node has the configuration and the backend servers, and can serve requests. */
    private boolean hasCompleteState() {
        return config.config().known() && registry.caughtUp();
    }

    private void onPeerState(StateMessages.StoredState state) {
        state.config().ifPresent(configUpdates::onPeerRecord);
        if (!registry.caughtUp() && !state.servers().isEmpty()) {
            state.servers().forEach((key, value) -> peerStateGuard.run(key, () -> registry.onValue(key, value)));
            serverFollower.addKnownKeys(state.servers().keySet());
            registry.onCaughtUp();
        }
    }

    private void onStoreEra(long era) {
        metrics.storeEra(era);
        claim.onNewEra();
    }

    private long sinceStoreRegainedMillis() {
        return serverFollower.sinceRecoveryMillis();
    }
}
