package org.agatehatch.gateway.process;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Function;
import org.agatehatch.api.fleet.KeyedTopic;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.gateway.connection.BackendPool;
import org.agatehatch.gateway.connection.CallerServer;
import org.agatehatch.gateway.connection.HttpCaller;
import org.agatehatch.gateway.connection.SmallHttpServer;
import org.agatehatch.gateway.links.NodeLinks;
import org.agatehatch.gateway.metrics.GatewayMetrics;
import org.agatehatch.gateway.request.Exchange;
import org.agatehatch.gateway.request.ExchangeParts;
import org.agatehatch.gateway.request.ExchangeTimes;
import org.agatehatch.internal.process.BackendRegistry;
import org.agatehatch.internal.process.CrashLedger;
import org.agatehatch.internal.process.DefaultControlThread;
import org.agatehatch.internal.process.DemandMeter;
import org.agatehatch.internal.process.EntryNodes;
import org.agatehatch.internal.process.FleetView;
import org.agatehatch.internal.process.FollowerSettings;
import org.agatehatch.internal.process.HolderWatch;
import org.agatehatch.internal.process.KeyedFollower;
import org.agatehatch.internal.process.LoadBoard;
import org.agatehatch.internal.process.MembershipSettings;
import org.agatehatch.internal.process.NodeIdentity;
import org.agatehatch.internal.process.NodeMembership;
import org.agatehatch.internal.process.NodeView;
import org.agatehatch.internal.process.PlacementClaim;
import org.agatehatch.internal.process.RelayPlan;
import org.agatehatch.internal.process.RelayedTopic;
import org.agatehatch.internal.process.ResidencyDuty;
import org.agatehatch.internal.process.StateMessages;
import org.agatehatch.internal.process.TopicMessages;
import org.agatehatch.internal.request.ChooserSettings;
import org.agatehatch.internal.request.ResidencySightings;
import org.agatehatch.internal.request.RetryAllowance;
import org.agatehatch.internal.request.ServerChooser;
import org.agatehatch.internal.version.ActiveConfig;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A node: it follows the platform's store on the control thread and forwards requests on the traffic thread. */
public final class EdgeNode {
    private static final Logger log = LoggerFactory.getLogger(EdgeNode.class);

    private static final int STORE_CONNECT_MILLIS = 800;

    /** Runners are at most a few milliseconds away. */
    private static final int SERVER_CONNECT_MILLIS = 250;

    private static final String CONFIG_TOPIC = "config";
    private static final String SERVER_TOPIC = "servers";

    /** Stands for the record of the configuration when another node sends it. */
    private static final String CONFIG_KEY = "config";

    /** Nodes are a few milliseconds away; a relay that takes longer is frozen or gone. */
    private static final long RELAY_ANSWER_MILLIS = 300;

    private static final long POOL_SWEEP_MILLIS = 500;
    private static final long RENEW_MILLIS = 700;
    private static final long RENEWAL_MARGIN_MILLIS = 400;

    private final EdgeSettings settings;
    private final MonotonicClock clock = MonotonicClock.system();
    private final Random random = new Random();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final DefaultControlThread control = new DefaultControlThread("control");
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final ActiveConfig config = new ActiveConfig();
    private final EdgePorts ports;
    private final RelayedTopic configTopic;
    private final RelayedTopic serverTopic;
    private final NodeLinks links;
    private final KeyedFollower configFollower;
    private final KeyedFollower serverFollower;
    private final BackendRegistry registry;
    private final NodeMembership membership;
    private final StateHandover handover;
    private final PlacementClaim claim;
    private final BackendPool serverPool;
    private final StopSequence stop;
    private final ResidencySightings sightings = new ResidencySightings(clock);
    private final DemandMeter meter = new DemandMeter(ChooserSettings.DEFAULT.prefillTokensPerMilli(), clock);
    private final ServerChooser chooser;
    private final CrashLedger crashes = new CrashLedger(clock);
    private final ResidencyDuty duty;
    private final ResidencyClient residency;
    private volatile FleetView fleet = FleetView.EMPTY;
    private volatile NodeView nodes = NodeView.EMPTY;
    private volatile Optional<NodeIdentity> placementHolder = Optional.empty();

    /**
     * Creates a node that does nothing yet.
     *
     * @param portsFactory connects the platform, given the client for its calls
     */
    public EdgeNode(EdgeSettings settings, Function<HttpCaller, EdgePorts> portsFactory) {
        this.settings = settings;
        BackendPool storePool = new BackendPool(loop, clock, STORE_CONNECT_MILLIS, metrics::connectionsOpened);
        serverPool = new BackendPool(loop, clock, SERVER_CONNECT_MILLIS, metrics::connectionsOpened);
        links = new NodeLinks(group, this::receive);
        ports = portsFactory.apply(new HttpCaller(loop, storePool));
        configTopic = relayed(CONFIG_TOPIC, ports.configTopic(), Arrays::equals);
        serverTopic = relayed(SERVER_TOPIC, ports.serverTopic(), this::sameServer);
        configFollower = new KeyedFollower(
                CONFIG_TOPIC, configTopic, FollowerSettings.WAITING, control, clock, random, this::onConfig);
        registry = new BackendRegistry(ports.serverDecoder(), control, this::sinceStoreRegainedMillis, this::onFleet);
        handover = new StateHandover(otherFirstNodes(settings), control, this::complete, this::onState);
        serverFollower = new KeyedFollower(
                SERVER_TOPIC,
                serverTopic,
                FollowerSettings.POLLING,
                control,
                clock,
                random,
                handover.keeping(registry));
        membership = newMembership();
        claim = new PlacementClaim(
                settings.self(),
                ports.dutyTopic(),
                membership::valid,
                settings.runnersCheckTokens(),
                control,
                clock,
                published -> placementHolder = published);
        chooser = new ServerChooser(
                ChooserSettings.DEFAULT,
                settings.self().failureDomain(),
                () -> fleet,
                sightings,
                clock,
                random,
                this::nodeCount);
        duty = newDuty();
        residency = new ResidencyClient(
                loop,
                control,
                settings.self(),
                () -> placementHolder,
                () -> fleet,
                settings.peerPort(),
                duty,
                meter,
                sightings,
                chooser,
                new LoadBoard(clock, this::nodeCount),
                this::nodeCount,
                new HolderWatch(settings.self(), () -> nodes, () -> placementHolder, claim::replace, control, clock),
                crashes,
                clock);
        stop = new StopSequence(settings.stopMillis(), clock, membership, control);
    }

    private RelayedTopic relayed(String name, KeyedTopic topic, BiPredicate<byte[], byte[]> sameMeaning) {
        return new RelayedTopic(name, topic, this::relay, () -> RelayPlan.relaying(nodes), sameMeaning, control, clock);
    }

    private Optional<RelayedTopic.Relay> relay() {
        return RelayPlan.relayOf(settings.self(), nodes)
                .map(node -> new PeerAddress(node.host(), settings.peerPort()).toString())
                .map(address -> question -> links.ask(address, TopicMessages.encode(question), RELAY_ANSWER_MILLIS)
                        .thenApply(TopicMessages::decodeAnswer));
    }

    /** A server renews its record many times a minute without a change. */
    private boolean sameServer(byte[] before, byte[] after) {
        return ports.serverDecoder()
                .apply("", before)
                .equals(ports.serverDecoder().apply("", after));
    }

    private int nodeCount() {
        return nodes.nodes().size();
    }

    private NodeMembership newMembership() {
        return new NodeMembership(
                settings.self(),
                ports.group(),
                new MembershipSettings(RENEW_MILLIS, settings.membershipMillis(), RENEWAL_MARGIN_MILLIS),
                control,
                clock,
                random,
                this::onNodes);
    }

    private ResidencyDuty newDuty() {
        return new ResidencyDuty(
                settings.self().name(),
                ports.orders(),
                config::config,
                () -> fleet,
                claim::right,
                this::nodeCount,
                control,
                clock,
                settings.loadWindowSeconds(),
                settings.loadOvershoot(),
                metrics::order);
    }

    /** Starts to follow the store, and to listen. */
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
            duty.start();
        });
        links.bind(new PeerAddress(settings.self().host(), settings.peerPort()));
        loop.execute(() -> residency.start(links));
        control.execute(() -> handover.start(links));
        new SmallHttpServer(group, clock, path -> new SmallHttpServer.Reply(200, "text/plain", metrics.text()))
                .bind(listeners.metrics());
        listeners
                .readiness()
                .ifPresent(address -> new SmallHttpServer(
                                group,
                                clock,
                                path -> readiness(listeners.readinessPath().test(path)))
                        .bind(address));
        listeners
                .directory()
                .ifPresent(address -> new SmallHttpServer(group, clock, listeners.directoryPage()).bind(address));
        ExchangeParts parts = exchangeParts();
        CallerServer server =
                new CallerServer(group, clock, () -> config.config().limits(), stop::leaving, (request, sink) -> {
                    Exchange exchange = new Exchange(parts, request, stop.counted(sink));
                    exchange.start();
                    return exchange;
                });
        listeners.callers().ifPresent(server::bind);
        loop.scheduleWithFixedDelay(serverPool::sweep, POOL_SWEEP_MILLIS, POOL_SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        stop.install(server);
    }

    /**
     * Returns the nodes that a caller should connect to.
     *
     * @param most number of nodes that an answer may name
     */
    public List<PeerAddress> callerAddresses(int most, int port) {
        List<NodeIdentity> present = nodes.nodes().stream()
                .filter(node -> !node.equals(settings.self()) || !stop.leaving())
                .toList();
        return EntryNodes.pick(present, most, random).stream()
                .map(node -> new PeerAddress(node.host(), port))
                .toList();
    }

    private SmallHttpServer.Reply readiness(boolean asked) {
        boolean ready = asked && complete() && !stop.leaving();
        byte[] text = (ready ? "ready" : "not ready").getBytes(StandardCharsets.UTF_8);
        return new SmallHttpServer.Reply(ready ? 200 : 503, "text/plain", text);
    }

    private ExchangeParts exchangeParts() {
        RetryAllowance retries = new RetryAllowance(
                clock, settings.retryRatio(), settings.retrySlack(), settings.retryWindowMillis(), this::nodeCount);
        return new ExchangeParts(
                loop,
                clock,
                random,
                ports.dialect(),
                config,
                chooser,
                serverPool,
                retries,
                residency,
                meter,
                crashes,
                stop::refusing,
                metrics,
                ExchangeTimes.DEFAULT);
    }

    private void onFleet(FleetView view) {
        Set<String> before = processes(fleet);
        fleet = view;
        before.removeAll(processes(view));
        // A server that drains is no longer in the view either; its connections don't break for that.
        loop.execute(() -> before.forEach(crashes::died));
    }

    private static Set<String> processes(FleetView view) {
        Set<String> processes = new HashSet<>();
        view.byService().values().forEach(servers -> servers.forEach(server -> processes.add(server.process())));
        return processes;
    }

    private void onNodes(NodeView view) {
        nodes = view;
        claim.onNodes(view);
    }

    private static List<String> otherFirstNodes(EdgeSettings settings) {
        return settings.firstHosts().stream()
                .filter(host -> !host.equals(settings.self().host()))
                .map(host -> new PeerAddress(host, settings.peerPort()).toString())
                .toList();
    }

    private CompletionStage<PeerMessage> receive(PeerMessage message) {
        return switch (message.type()) {
            case StateMessages.ASK -> CompletableFuture.supplyAsync(handover::answer, control::execute);
            case TopicMessages.ASK ->
                CompletableFuture.supplyAsync(
                        () -> TopicMessages.encode(answer(TopicMessages.decodeQuestion(message))), control::execute);
            default -> residency.receive(message);
        };
    }

    private TopicMessages.Answer answer(TopicMessages.Question question) {
        return switch (question.topic()) {
            case CONFIG_TOPIC -> configTopic.answer(question.fromOffset());
            case SERVER_TOPIC -> serverTopic.answer(question.fromOffset());
            default ->
                throw new IllegalArgumentException(
                        "topic '" + question.topic() + "' is not relayed; the asking node runs another version");
        };
    }

    /** Returns whether this node knows enough to serve. */
    private boolean complete() {
        return config.config().known() && registry.caughtUp();
    }

    private void onState(StateMessages.State state) {
        state.config().ifPresent(record -> onConfig(CONFIG_KEY, record));
        if (!registry.caughtUp() && !state.servers().isEmpty()) {
            state.servers().forEach(registry::onValue);
            registry.onCaughtUp();
        }
    }

    private void onConfig(String key, byte[] value) {
        try {
            boolean accepted =
                    ports.configDecoder().apply(key, value).map(config::updateIfNewer).orElse(false);
            if (accepted) {
                handover.configRead(value);
            }
        } catch (IllegalArgumentException e) {
            log.error("event=config_unreadable key={} cause=\"{}\"", key, e.getMessage());
        }
    }

    private long sinceStoreRegainedMillis() {
        return serverFollower.sinceRegainedMillis();
    }
}
