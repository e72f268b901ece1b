package org.agatehatch.daemon.wiring;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.Pool;
import org.agatehatch.api.catalogue.PoolKind;
import org.agatehatch.daemon.metrics.NodeMetrics;
import org.agatehatch.daemon.traffic.PoolDispatchers;
import org.agatehatch.daemon.traffic.SuspicionTracker;
import org.agatehatch.daemon.traffic.TrafficDependencies;
import org.agatehatch.internal.connection.PrefixIndex;
import org.agatehatch.internal.connection.RunnerLoadTrackers;
import org.agatehatch.internal.process.AdapterLoadBudget;
import org.agatehatch.internal.process.OwnerShares;
import org.agatehatch.internal.process.OwnerUsage;
import org.agatehatch.internal.process.PrefixAffinity;
import org.agatehatch.internal.process.RendezvousHash;
import org.agatehatch.internal.process.digest.DigestEntry;
import org.agatehatch.internal.process.digest.DigestKind;
import org.agatehatch.internal.process.digest.DigestPayloads;
import org.agatehatch.internal.process.digest.Membership;
import org.agatehatch.internal.version.RoutingView;

/** Updates the state that the request path reads: routing view, owner usage and adapter load budgets. */
final class TrafficCoordinator {
    private static final double ASSUMED_TOKENS_PER_REQUEST = 500;
    private static final double USAGE_TIME_CONSTANT_SECONDS = 10;
    private static final long USAGE_SILENCE_MILLIS = 30_000;
    private static final long MAX_PREFIX_BLOCKS = 200_000;
    private static final long CACHE_SILENCE_MILLIS = 10_000;
    private static final double TOKENS_PER_SECOND_PER_HOME = 4_000;
    private static final long MAX_PREFIXES = 10_000;
    private static final double SAME_DOMAIN_MILLIS = 0.2;
    private static final double SAME_REGION_MILLIS = 1.5;
    private static final double OTHER_REGION_MILLIS = 30;
    private static final long APPORTION_INTERVAL_MILLIS = 1_000;
    /** Nodes that publish their owners' usage; with many nodes, a sample suffices to estimate the shares. */
    private static final int USAGE_REPORTERS = 8;
    /** Long enough to avoid sending a request there again at once, short enough to use a recovered runner soon. */
    private static final long REPLICA_EXCLUSION_MILLIS = 1_000;

    /** Evidence that changed within this time is published together, since a node's entry replaces its last one. */
    private static final long EVIDENCE_AGE_MILLIS = 30_000;

    /** Half of the largest payload of a digest entry. */
    private static final int MAX_EVIDENCE_BYTES = 32 * 1024;

    private final NodeContext context;
    private final PeerNetwork peers;
    private final RunnerLoadTrackers trackers;
    private final PrefixIndex prefixIndex;
    private final PrefixAffinity prefixAffinity;
    private final OwnerUsage usage;
    private final OwnerShares shares;
    private final SuspicionTracker suspicions;
    private final NodeMetrics metrics = new NodeMetrics();
    private final Map<Replica, Long> excludedUntilMillis = new HashMap<>();
    private RoutingView unfilteredView = RoutingView.EMPTY;
    private volatile RoutingView view = RoutingView.EMPTY;
    private PoolDispatchers pools;
    private long nextApportionMillis;
    private long evidencePublishedMillis;

    TrafficCoordinator(NodeContext context, PeerNetwork peers, RunnerLoadTrackers trackers) {
        this.context = context;
        this.peers = peers;
        this.trackers = trackers;
        this.prefixIndex = new PrefixIndex(context.clock(), MAX_PREFIX_BLOCKS, CACHE_SILENCE_MILLIS);
        this.prefixAffinity = new PrefixAffinity(context.clock(), TOKENS_PER_SECOND_PER_HOME, MAX_PREFIXES);
        this.usage = new OwnerUsage(context.clock(), USAGE_TIME_CONSTANT_SECONDS, USAGE_SILENCE_MILLIS);
        this.shares = new OwnerShares(() -> view.catalogue(), usage);
        this.suspicions = new SuspicionTracker(context.clock(), this::ownsTrialsOf);
    }

    /** Returns the dependencies of the request path. */
    TrafficDependencies parts(
            AccountingCoordinator accounts,
            CrashDetector crashes,
            LeavingServers leaving,
            PlacementCoordinator placement) {
        return new TrafficDependencies(
                () -> view,
                trackers,
                prefixIndex,
                prefixAffinity,
                usage,
                shares,
                accounts.reporter(),
                suspicions,
                crashes,
                leaving::onRefusal,
                this::excludeReplica,
                placement::addDemand,
                this::distanceMillis,
                () -> Math.max(1, peers.live().size()),
                context.clock(),
                context.wallClock(),
                metrics);
    }

    void attach(PoolDispatchers trafficPools) {
        this.pools = trafficPools;
    }

    NodeMetrics metrics() {
        return metrics;
    }

    SuspicionTracker suspicions() {
        return suspicions;
    }

    Supplier<RoutingView> view() {
        return () -> view;
    }

    /** Applies a newer view, extended by the runners on which standbys became ready during a log outage. */
    synchronized void update(RoutingView replicated, Map<String, List<String>> standbys) {
        long nowMillis = context.clock().millis();
        excludedUntilMillis.values().removeIf(until -> until <= nowMillis);
        unfilteredView = standbys.isEmpty() ? replicated : withStandbys(replicated, standbys);
        RoutingView next = withoutExcluded(unfilteredView);
        boolean changed = next.catalogue().version() != view.catalogue().version();
        view = next;
        if (changed) {
            pools.applyCatalogue(next.catalogue());
        }
    }

    /**
     * Temporarily excludes a runner from a model's replicas after it refused the model or could not be reached, so that
     * requests wait for another replica instead of using up their attempts.
     */
    private synchronized void excludeReplica(String model, String runner) {
        excludedUntilMillis.put(new Replica(model, runner), context.clock().millis() + REPLICA_EXCLUSION_MILLIS);
        view = withoutExcluded(unfilteredView);
    }

    private RoutingView withoutExcluded(RoutingView from) {
        if (excludedUntilMillis.isEmpty()) {
            return from;
        }
        Map<String, List<String>> runners = new TreeMap<>(from.runnersByModel());
        for (Replica replica : excludedUntilMillis.keySet()) {
            runners.computeIfPresent(
                    replica.model(),
                    (model, names) -> names.stream()
                            .filter(name -> !name.equals(replica.runner()))
                            .toList());
        }
        return new RoutingView(from.catalogue(), from.throughOffsets(), runners, from.roles(), from.unavailable());
    }

    /** Publishes owner usage and apportions adapter loads when due; called on the control thread. */
    void tick() {
        publishCrashEvidence();
        long nowMillis = context.clock().millis();
        if (nowMillis < nextApportionMillis) {
            return;
        }
        nextApportionMillis = nowMillis + APPORTION_INTERVAL_MILLIS;
        publishUsage();
        apportionAdapterLoads(view.catalogue());
    }

    /** Merges the owner usage that another node published. */
    void onEntry(DigestEntry entry) {
        if (entry.kind() == DigestKind.OWNER_USAGE && entry.key() != ownKey()) {
            Map<String, OwnerUsage.Usage> byOwner = new TreeMap<>();
            DigestPayloads.decodeRates(entry.payload())
                    .forEach((owner, millis) -> byOwner.put(owner, new OwnerUsage.Usage(millis, 0)));
            usage.updatePeer(Long.toString(entry.key()), byOwner);
        }
    }

    private long ownKey() {
        return RendezvousHash.hash(context.settings().nodeName());
    }

    private boolean ownsTrialsOf(String prefix) {
        List<String> nodes = peers.leaseCandidates();
        return nodes.isEmpty()
                || RendezvousHash.rank(prefix, nodes)
                        .get(0)
                        .equals(context.settings().nodeName());
    }

    private void publishCrashEvidence() {
        long nowMillis = context.clock().millis();
        suspicions
                .recentEvidence(nowMillis - evidencePublishedMillis)
                .ifPresent(news -> peers.publish(
                        DigestKind.CRASH_EVIDENCE,
                        ownKey(),
                        suspicions
                                .recentEvidence(EVIDENCE_AGE_MILLIS)
                                .orElse(news)
                                .encode()));
        evidencePublishedMillis = nowMillis;
    }

    private void publishUsage() {
        List<String> nodes =
                peers.live().stream().map(member -> member.info().name()).toList();
        boolean inSample = RendezvousHash.rank("owner-usage", nodes).stream()
                .limit(USAGE_REPORTERS)
                .anyMatch(context.settings().nodeName()::equals);
        Map<String, Double> rates = new TreeMap<>();
        usage.localUsage().forEach((owner, used) -> {
            if (used.acceleratorMillisPerSecond() > 0.5) {
                rates.put(owner, used.acceleratorMillisPerSecond());
            }
        });
        if (inSample && !rates.isEmpty()) {
            peers.publish(DigestKind.OWNER_USAGE, ownKey(), DigestPayloads.encode(rates));
        }
    }

    private void apportionAdapterLoads(Catalogue catalogue) {
        Map<Long, String> nodeByKey = peers.live().stream()
                .map(Membership.Member::info)
                .collect(Collectors.toMap(node -> RendezvousHash.hash(node.name()), node -> node.name(), (a, b) -> a));
        nodeByKey.put(ownKey(), context.settings().nodeName());
        Map<Long, Map<String, Double>> demands = peers.digest().entries(DigestKind.ADAPTER_DEMAND).stream()
                .collect(Collectors.toMap(
                        DigestEntry::key, entry -> DigestPayloads.decodeRates(entry.payload()), (a, b) -> a));
        Map<String, Double> own = new TreeMap<>();
        for (Pool pool : catalogue.pools().values()) {
            if (pool.kind() != PoolKind.MODEL) {
                continue;
            }
            AdapterLoadBudget budget = pools.adapterLoads(pool.name());
            Map<String, Double> byNode = new TreeMap<>();
            nodeByKey.forEach((key, node) ->
                    byNode.put(node, demands.getOrDefault(key, Map.of()).getOrDefault(pool.name(), 0.0)));
            byNode.put(context.settings().nodeName(), budget.demandPerSecond());
            budget.apportion(pool.adapterLoadsInFlight(), byNode);
            if (budget.demandPerSecond() > 0.05) {
                own.put(pool.name(), budget.demandPerSecond());
            }
        }
        if (!own.isEmpty()) {
            peers.publish(DigestKind.ADAPTER_DEMAND, ownKey(), DigestPayloads.encode(own));
        }
    }

    private double distanceMillis(BackendServer server) {
        if (server.failureDomain().equals(context.settings().failureDomain())) {
            return SAME_DOMAIN_MILLIS;
        }
        return server.region().equals(context.settings().region()) ? SAME_REGION_MILLIS : OTHER_REGION_MILLIS;
    }

    private static RoutingView withStandbys(RoutingView replicated, Map<String, List<String>> standbys) {
        Map<String, List<String>> runners = new TreeMap<>(replicated.runnersByModel());
        standbys.forEach((model, names) -> runners.merge(
                model,
                names,
                (present, added) -> Stream.concat(present.stream(), added.stream())
                        .distinct()
                        .toList()));
        return new RoutingView(
                replicated.catalogue(),
                replicated.throughOffsets(),
                runners,
                replicated.roles(),
                replicated.unavailable());
    }

    private record Replica(String model, String runner) {}
}
