package org.agatehatch.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.engine.LoadReport;
import org.agatehatch.api.placement.DefaultPlacementPolicy;
import org.agatehatch.api.placement.PlacementPolicy;
import org.agatehatch.api.placement.PlacementSettings;
import org.agatehatch.api.placement.StaticPlacementPolicy;
import org.agatehatch.api.routing.Candidate;
import org.agatehatch.api.routing.DefaultRoutingPolicy;
import org.agatehatch.api.routing.FirstTokenModel;
import org.agatehatch.api.routing.LeastLoadRoutingPolicy;
import org.agatehatch.api.routing.RandomRoutingPolicy;
import org.agatehatch.api.routing.RoundRobinRoutingPolicy;
import org.agatehatch.api.routing.RoutingPolicy;
import org.agatehatch.internal.connection.CacheEvents;
import org.agatehatch.internal.version.RoutingView;

/**
 * One run of the decision code against engine models under virtual time.
 *
 * <pre>{@code
 * ExperimentResult result = Experiment.run(new ExperimentSettings(
 *         DeploymentKind.ALMATY, PolicyKind.AGATEHATCH, AdmissionKind.DEADLINE, 1, 10, 0.9));
 * }</pre>
 */
public final class Experiment {
    static final int NODES = 3;
    private static final double TICK_MILLIS = 10;
    private static final double PLACEMENT_TICK_MILLIS = 250;
    private static final double SECOND_MILLIS = 1_000;
    private static final double REPORT_MILLIS = 500;
    private static final long REPORT_LAG_MILLIS = 200;
    /** Way of a report over the digest to a node that does not poll the runner itself. */
    private static final long DIGEST_MILLIS = 250;

    private static final double CACHE_EVENT_MILLIS = 100;
    private static final double CACHE_EVENT_LAG_MILLIS = 150;
    private static final double CACHE_EVENT_LOSS = 0.01;
    private static final double CACHE_SNAPSHOT_MILLIS = 5_000;
    private static final double VIEW_MILLIS = 200;
    private static final double MILLIS_PER_MINUTE = 60_000;
    private static final double CRASH_AT = 0.45;
    private static final double CRASH_MILLIS = 20_000;
    private static final double INVENTORY_MILLIS = 500;
    private static final double DRAIN_AT = 0.7;
    private static final double DRAIN_UNTIL = 0.85;
    /** Time after the last arrival in which answers may end. */
    private static final double END_MILLIS = 120_000;
    /** Rate that the daemon assumes for one replica. */
    private static final double REPLICA_TOKENS_PER_SECOND = 4_000;

    private final ExperimentSettings settings;
    private final Deployment deployment;
    private final VirtualTime time = new VirtualTime();
    private final Metrics metrics = new Metrics();
    private final Random random;
    private final Map<String, EngineModel> engines = new TreeMap<>();
    private final List<EntryNode> nodes = new ArrayList<>();
    private final PlacementLoop placement;
    private int nextNode;

    private Experiment(ExperimentSettings settings) {
        this.settings = settings;
        this.deployment = new Deployment(settings.deployment());
        // Apart from the workload's seed, so that decisions do not change the requests.
        this.random = new Random(~settings.seed());
        AdapterLoads adapterLoads =
                new AdapterLoads(time, settings.deployment().adapterLoadsInFlight(), new Random(random.nextLong()));
        new TreeMap<>(deployment.catalogue().backendServers())
                .forEach((name, server) -> engines.put(name, new EngineModel(server, time, adapterLoads, metrics)));
        EntryNode.Parts parts = new EntryNode.Parts(deployment, settings, time, engines, NODES);
        List<String> domains = settings.deployment().failureDomains();
        for (int i = 0; i < NODES; i++) {
            Random own = new Random(random.nextLong());
            nodes.add(new EntryNode("node-" + i, domains.get(i), parts, routingPolicy(own), own));
        }
        WeightStore store = new WeightStore(time, settings.deployment().storeLoadsAtOnce());
        this.placement = new PlacementLoop(deployment, time, placementPolicy(), engines, store, this::publishViews);
    }

    /** Runs to the end and returns what was measured. */
    public static ExperimentResult run(ExperimentSettings settings) {
        return new Experiment(settings).run();
    }

    private ExperimentResult run() {
        double endMillis = settings.minutes() * MILLIS_PER_MINUTE;
        nodes.forEach(node -> node.view(view()));
        placement.placeAtStart(new StaticPlacementPolicy(placementSettings()));
        nodes.forEach(node -> node.view(view()));
        scheduleSoftState();
        time.every(0, SECOND_MILLIS, this::exchangeUsage);
        time.every(TICK_MILLIS, TICK_MILLIS, () -> nodes.forEach(EntryNode::tick));
        time.every(PlacementLoop.ROUND_MILLIS, PlacementLoop.ROUND_MILLIS, this::planRound);
        time.every(PLACEMENT_TICK_MILLIS, PLACEMENT_TICK_MILLIS, placement::tick);
        scheduleFaults(endMillis);
        new Workload(deployment, settings, time, metrics, this::receive).start();
        time.runUntil(endMillis + END_MILLIS);
        metrics.settleOpen();
        double memoryPeak = engines.values().stream()
                .mapToDouble(EngineModel::peakFraction)
                .max()
                .orElse(0);
        return metrics.result(settings, deployment, placement, memoryPeak);
    }

    private RoutingPolicy routingPolicy(Random own) {
        return switch (settings.policy()) {
            case AGATEHATCH, STATIC_PLACEMENT -> new DefaultRoutingPolicy(FirstTokenModel.DEFAULT, own::nextDouble);
            case RANDOM -> new RandomRoutingPolicy(own::nextInt);
            case ROUND_ROBIN -> inNameOrder(new RoundRobinRoutingPolicy());
            case LEAST_LOAD -> new LeastLoadRoutingPolicy();
        };
    }

    /** The router starts its list of candidates at random, which would make taking turns a random choice. */
    private static RoutingPolicy inNameOrder(RoutingPolicy policy) {
        return (request, candidates) -> policy.choose(
                request,
                candidates.stream()
                        .sorted(Comparator.comparing(
                                (Candidate candidate) -> candidate.server().name()))
                        .toList());
    }

    private PlacementPolicy placementPolicy() {
        return settings.policy() == PolicyKind.STATIC_PLACEMENT
                ? new StaticPlacementPolicy(placementSettings())
                : new DefaultPlacementPolicy(placementSettings());
    }

    private static PlacementSettings placementSettings() {
        return PlacementSettings.withReplicaRate(REPLICA_TOKENS_PER_SECOND);
    }

    private void receive(ExperimentRequest request) {
        EntryNode node = nodes.get(nextNode++ % NODES);
        time.after(EntryNode.CLIENT_MILLIS, () -> node.receive(request));
    }

    private RoutingView view() {
        return new RoutingView(
                deployment.catalogue(),
                Map.of(),
                placement.ledger().readyRunnersByModel(),
                Map.of(),
                Set.copyOf(placement.drained()));
    }

    /** Each node applies the log's tail a little later than the one before. */
    private void publishViews() {
        RoutingView next = view();
        for (int i = 0; i < NODES; i++) {
            EntryNode node = nodes.get(i);
            time.after(VIEW_MILLIS * (i + 1) / NODES, () -> node.view(next));
        }
    }

    private void planRound() {
        Map<String, Long> tokens = new TreeMap<>();
        nodes.forEach(node -> node.takeDemand().forEach((model, count) -> tokens.merge(model, count, Long::sum)));
        placement.round(tokens);
    }

    private void exchangeUsage() {
        Map<String, Double> wanted = new TreeMap<>();
        nodes.forEach(node -> wanted.put(node.name(), node.adapterLoads().demandPerSecond()));
        for (EntryNode node : nodes) {
            node.adapterLoads().apportion(settings.deployment().adapterLoadsInFlight(), wanted);
            var own = node.usage().localUsage();
            nodes.stream()
                    .filter(other -> other != node)
                    .forEach(other ->
                            time.after(DIGEST_MILLIS, () -> other.usage().updatePeer(node.name(), own)));
        }
    }

    private void scheduleSoftState() {
        int index = 0;
        for (EngineModel engine : engines.values()) {
            int number = index++;
            double phase = REPORT_MILLIS * number / engines.size();
            time.every(phase, REPORT_MILLIS, () -> report(engine, number));
            time.every(phase, CACHE_EVENT_MILLIS, () -> publishCache(engine, false));
            time.every(phase, CACHE_SNAPSHOT_MILLIS, () -> publishCache(engine, true));
        }
    }

    private void report(EngineModel engine, int number) {
        if (!engine.up()) {
            return;
        }
        LoadReport now = engine.report();
        LoadReport aged = new LoadReport(
                now.runnerEpoch(),
                now.sequence(),
                REPORT_LAG_MILLIS,
                now.queuedTokens(),
                now.runningRequests(),
                now.arrivals(),
                now.cacheUsedFraction(),
                now.prefillTokensPerSecond(),
                now.decodeTokensPerSecond(),
                now.adapterLoads(),
                now.adapters());
        String runner = engine.server().name();
        for (int i = 0; i < NODES; i++) {
            EntryNode node = nodes.get(i);
            long transitMillis = number % NODES == i ? DIGEST_MILLIS : 0;
            time.after(
                    REPORT_LAG_MILLIS + transitMillis,
                    () -> node.trackers().getOrCreate(runner).applyReport(aged, transitMillis));
        }
    }

    private void publishCache(EngineModel engine, boolean snapshot) {
        if (!engine.up()) {
            return;
        }
        CacheEvents events = snapshot ? engine.cacheSnapshot() : engine.cacheChange();
        BackendServer server = engine.server();
        for (EntryNode node : nodes) {
            if (snapshot || random.nextDouble() >= CACHE_EVENT_LOSS) {
                time.after(CACHE_EVENT_LAG_MILLIS, () -> node.prefixIndex().apply(server.name(), events));
            }
        }
    }

    private void scheduleFaults(double endMillis) {
        List<String> names = List.copyOf(engines.keySet());
        String crashing = names.get((int) Math.floorMod(settings.seed(), (long) names.size()));
        String leaving = names.get((int) Math.floorMod(settings.seed() + 3, (long) names.size()));
        EngineModel engine = engines.get(crashing);
        time.after(CRASH_AT * endMillis, () -> {
            engine.crash();
            placement.crashed(crashing);
        });
        time.after(CRASH_AT * endMillis + CRASH_MILLIS, engine::restart);
        time.after(CRASH_AT * endMillis + CRASH_MILLIS + INVENTORY_MILLIS, () -> placement.restarted(crashing));
        time.after(DRAIN_AT * endMillis, () -> placement.drain(leaving, true));
        time.after(DRAIN_UNTIL * endMillis, () -> placement.drain(leaving, false));
    }
}
