package org.agatehatch.daemon.wiring;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.ModelEntry;
import org.agatehatch.api.catalogue.PoolKind;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.api.placement.DefaultPlacementPolicy;
import org.agatehatch.api.placement.DemandTracker;
import org.agatehatch.api.placement.PlacementSettings;
import org.agatehatch.daemon.links.PeerLinks;
import org.agatehatch.internal.process.PlacementContext;
import org.agatehatch.internal.process.PlacementExecutor;
import org.agatehatch.internal.process.PlacementTimes;
import org.agatehatch.internal.process.StandbyFailover;
import org.agatehatch.internal.process.digest.DigestPayloads;
import org.agatehatch.internal.process.digest.Membership;
import org.agatehatch.internal.version.LeaseTable;

/** Runs placement for the pools whose leases this node holds, gathers its demand, and recovers from log outages. */
final class PlacementCoordinator {
    static final String DEMAND_MESSAGE = "demand";
    private static final long DEMAND_WINDOW_MILLIS = 5_000;
    /** Expected number of nodes that report demand in one window; with more nodes, each skips some windows. */
    private static final double DEMAND_REPORTERS = 40;
    /** Assumed rate at which one replica meets its latency targets; engines do not report this rate. */
    private static final double ASSUMED_REPLICA_TOKENS_PER_SECOND = 4_000;

    private final NodeContext context;
    private final StateReplicator replicated;
    private final PeerNetwork peers;
    private final RunnerLoadPoller polling;
    private final Set<String> leaving;
    private final Map<String, PlacementExecutor> executors = new HashMap<>();
    private final DemandTracker demand = DemandTracker.withDefaults();
    private final Map<String, LongAdder> ownTokens = new ConcurrentHashMap<>();
    private final Map<String, Double> windowTokens = new HashMap<>();
    private final StandbyFailover recovery;
    private PeerLinks links;
    private long windowEndMillis;

    /**
     * @param leaving live set of the backend servers that are leaving according to the VM list or their own refusal;
     *     read on the control thread
     */
    PlacementCoordinator(
            NodeContext context,
            StateReplicator replicated,
            PeerNetwork peers,
            RunnerLoadPoller polling,
            Set<String> leaving) {
        this.context = context;
        this.replicated = replicated;
        this.peers = peers;
        this.polling = polling;
        this.leaving = leaving;
        this.windowEndMillis = context.clock().millis() + DEMAND_WINDOW_MILLIS;
        this.recovery = new StandbyFailover(
                new StandbyFailover.Sources(
                        () -> replicated.state().state().catalogue(),
                        () -> replicated.state().state().ledger(),
                        replicated::isLogUnavailable,
                        polling::isUnresponsive),
                context.engines(),
                context.clock(),
                context.random(),
                PlacementTimes.DEFAULTS);
    }

    void attach(PeerLinks peerLinks) {
        this.links = peerLinks;
    }

    /** Adds the tokens of a request at this node to its demand; may be called on any thread. */
    void addDemand(String residentModel, long tokens) {
        ownTokens.computeIfAbsent(residentModel, name -> new LongAdder()).add(tokens);
    }

    /** Adds the demand of another node, which the sender has scaled up by its sampling rate. */
    void onDemand(PeerMessage message) {
        DigestPayloads.decodeRates(message.body())
                .forEach((model, tokens) -> windowTokens.merge(model, tokens, Double::sum));
    }

    /** Returns, by model, the runners on which reserved loads became ready during a log outage. */
    Map<String, List<String>> readyStandbys() {
        return recovery.readyStandbys();
    }

    /** Runs periodic work; called on the control thread. */
    void tick() {
        Catalogue catalogue = replicated.view().catalogue();
        Set<String> pools = catalogue.pools().values().stream()
                .filter(pool -> pool.kind() == PoolKind.MODEL)
                .map(pool -> pool.name())
                .collect(Collectors.toCollection(HashSet::new));
        // A pool that was removed from the catalogue may still have charges to settle.
        replicated.state().state().ledger().entries().forEach(entry -> pools.add(entry.pool()));
        executors.keySet().retainAll(pools);
        if (context.clock().millis() >= windowEndMillis) {
            endDemandWindow(catalogue);
        }
        for (String pool : pools) {
            executors.computeIfAbsent(pool, this::newExecutor).tick();
        }
        recovery.tick();
    }

    private void endDemandWindow(Catalogue catalogue) {
        long nowMillis = context.clock().millis();
        windowEndMillis = nowMillis + DEMAND_WINDOW_MILLIS;
        Map<String, Double> perSecond = new HashMap<>();
        windowTokens.forEach((model, tokens) -> perSecond.put(model, tokens * 1_000 / DEMAND_WINDOW_MILLIS));
        windowTokens.clear();
        demand.observe(nowMillis, perSecond);
        reportOwnDemand(catalogue);
    }

    /** Sends this node's demand to the holders of the pools' leases; with many nodes, only a sample of them reports. */
    private void reportOwnDemand(Catalogue catalogue) {
        double reportProbability =
                Math.min(1, DEMAND_REPORTERS / Math.max(1, peers.live().size()));
        boolean reports = context.random().nextDouble() < reportProbability;
        Map<String, Map<String, Double>> byPool = new HashMap<>();
        ownTokens.forEach((model, counter) -> {
            long tokens = counter.sumThenReset();
            ModelEntry entry = catalogue.models().get(model);
            if (tokens > 0 && entry != null) {
                byPool.computeIfAbsent(entry.pool(), pool -> new HashMap<>()).put(model, tokens / reportProbability);
            }
        });
        if (reports) {
            byPool.forEach(this::sendDemand);
        }
    }

    private void sendDemand(String pool, Map<String, Double> tokens) {
        String lease = LeaseTable.poolLeaseName(pool);
        if (replicated.leases().isHeld(lease)) {
            tokens.forEach((model, count) -> windowTokens.merge(model, count, Double::sum));
            return;
        }
        replicated
                .state()
                .state()
                .leases()
                .get(lease)
                .ifPresent(held -> peers.live().stream()
                        .map(Membership.Member::info)
                        .filter(node -> node.name().equals(held.node()))
                        .findFirst()
                        .ifPresent(node -> links.send(
                                node.peerAddress(), new PeerMessage(DEMAND_MESSAGE, DigestPayloads.encode(tokens)))));
    }

    private PlacementExecutor newExecutor(String pool) {
        return new PlacementExecutor(new PlacementContext(
                pool,
                () -> replicated.state().state().catalogue(),
                () -> replicated.state().state().ledger(),
                demand::tokensPerSecond,
                this::unavailable,
                () -> replicated.leases().fencingNumber(LeaseTable.poolLeaseName(pool)),
                context.engines(),
                replicated.placementSink(),
                new DefaultPlacementPolicy(PlacementSettings.withReplicaRate(ASSUMED_REPLICA_TOKENS_PER_SECOND)),
                context.clock(),
                context.random(),
                PlacementTimes.DEFAULTS));
    }

    private Set<String> unavailable() {
        Set<String> names = new HashSet<>(replicated.state().state().drained());
        names.addAll(leaving);
        replicated.view().catalogue().backendServers().keySet().stream()
                .filter(polling::isUnresponsive)
                .forEach(names::add);
        return names;
    }
}
