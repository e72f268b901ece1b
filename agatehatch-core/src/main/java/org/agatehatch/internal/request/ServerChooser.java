package org.agatehatch.internal.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.agatehatch.api.fleet.GenerationRequest;
import org.agatehatch.api.fleet.PromptPart;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.connection.BackendServerHealth;
import org.agatehatch.internal.connection.EjectionPolicy;
import org.agatehatch.internal.connection.PromptCacheEstimator;
import org.agatehatch.internal.connection.ServerLoad;
import org.agatehatch.internal.process.FleetView;
import org.agatehatch.internal.process.LoadBoard;
import org.agatehatch.internal.process.RendezvousHash;
import org.agatehatch.internal.process.ReportPace;

/**
 * Chooses the backend server for an attempt by the predicted time to the first event: what is queued there, what of the
 * prompt it does not keep, how late its last answers were, and its distance. Runs on the traffic thread.
 */
public final class ServerChooser {
    private final ChooserSettings settings;
    private final String ownDomain;
    private final Supplier<FleetView> fleet;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final IntSupplier nodes;
    private final ResidencySightings sightings;
    private final PromptCacheEstimator cache = new PromptCacheEstimator();
    private final Map<String, ServerLoad> loads = new HashMap<>();
    private final Map<String, Long> bornMillis = new HashMap<>();
    private final Map<String, BackendServerHealth> healthByService = new HashMap<>();
    private FleetView lastView = FleetView.EMPTY;
    private Map<String, LoadBoard.Load> others = Map.of();
    private long othersAtMillis;

    /**
     * Creates a chooser that knows no server.
     *
     * @param nodes number of nodes in the group
     */
    public ServerChooser(
            ChooserSettings settings,
            String ownDomain,
            Supplier<FleetView> fleet,
            ResidencySightings sightings,
            MonotonicClock clock,
            RandomGenerator random,
            IntSupplier nodes) {
        this.nodes = nodes;
        this.settings = settings;
        this.ownDomain = ownDomain;
        this.fleet = fleet;
        this.sightings = sightings;
        this.clock = clock;
        this.random = random;
    }

    /** Chooses a server, and notes the request as sent there. */
    public ServerChoice choose(ChoiceQuery query) {
        refresh();
        List<ServerEntry> present = fleet.get().servers(query.service());
        if (present.isEmpty()) {
            return new ServerChoice.Unavailable("no_server", settings.retryAfterMillis());
        }
        List<ServerEntry> holding = holders(present, query.generation());
        if (holding.isEmpty()) {
            GenerationRequest generation = query.generation().orElseThrow();
            boolean modelIsThere = present.stream().anyMatch(server -> sightings.holds(server, generation.model(), ""));
            return new ServerChoice.NotResident(generation.model(), modelIsThere ? generation.adapter() : "");
        }
        BackendServerHealth health = health(query.service());
        List<ServerEntry> candidates = candidates(holding, query, health);
        if (candidates.isEmpty()) {
            return new ServerChoice.Unavailable("all_candidates_tried_or_out", settings.retryAfterMillis());
        }
        return best(candidates, query, health);
    }

    /** Returns what this node has in flight at each server. */
    public Map<String, LoadBoard.Load> ownLoads() {
        Map<String, LoadBoard.Load> own = new HashMap<>();
        loads.forEach((server, load) -> {
            if (load.inFlight() > 0) {
                own.put(server, new LoadBoard.Load(load.inFlight(), load.pendingPrefillTokens()));
            }
        });
        return own;
    }

    /** Takes over what the other nodes together have in flight at each server. */
    public void othersLoads(Map<String, LoadBoard.Load> loadsOfOthers) {
        others = loadsOfOthers;
        othersAtMillis = clock.millis();
    }

    /** Returns the load at a server. */
    public ServerLoad load(String serverId) {
        return loads.computeIfAbsent(serverId, id -> new ServerLoad(clock));
    }

    /** Notes that a server answered. */
    public void succeeded(String service, String serverId, double latencyMillis) {
        health(service).recordSuccess(serverId, latencyMillis);
    }

    /** Notes that a server failed in a way that it answers for. */
    public void failed(String service, String serverId) {
        health(service).recordFailure(serverId);
    }

    /** Notes that a server has read a prompt. */
    public void promptRead(ServerEntry server, GenerationRequest generation, long memoryTokens) {
        cache.recordPrefill(server.id(), generation, memoryTokens);
    }

    /** Notes that a server does not hold what it was thought to hold. */
    public void notHeld(ServerEntry server, GenerationRequest generation) {
        sightings.missing(server, generation.model(), generation.adapter());
    }

    private List<ServerEntry> holders(List<ServerEntry> present, Optional<GenerationRequest> generation) {
        if (generation.isEmpty()) {
            return present;
        }
        GenerationRequest wanted = generation.get();
        List<ServerEntry> holders = new ArrayList<>();
        for (ServerEntry server : present) {
            if (sightings.holds(server, wanted.model(), wanted.adapter())) {
                holders.add(server);
            }
        }
        return holders;
    }

    private static List<ServerEntry> candidates(
            List<ServerEntry> holding, ChoiceQuery query, BackendServerHealth health) {
        List<ServerEntry> untried = new ArrayList<>();
        for (ServerEntry server : holding) {
            if (!query.tried().contains(server.id())) {
                untried.add(server);
            }
        }
        List<ServerEntry> healthy = new ArrayList<>();
        for (ServerEntry server : untried) {
            if (health.isAvailable(server.id())) {
                healthy.add(server);
            }
        }
        // With no healthy one left, a server that failed before is still the caller's best chance.
        return healthy.isEmpty() ? untried : healthy;
    }

    private ServerChoice best(List<ServerEntry> candidates, ChoiceQuery query, BackendServerHealth health) {
        ServerEntry best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        int bestToRead = 0;
        double bestPredicted = 0;
        double bestExplained = 0;
        String home = home(candidates, query);
        for (ServerEntry server : candidates) {
            int toRead = tokensToRead(server, query, home);
            double explained = explainedMillis(server, query, toRead);
            double predicted = explained + load(server.id()).excessDelayMillis();
            double score = predicted + scoreMillis(server, query) + random.nextDouble();
            if (score < bestScore) {
                best = server;
                bestScore = score;
                bestToRead = toRead;
                bestPredicted = predicted;
                bestExplained = explained;
            }
        }
        double limitMillis =
                Math.min(query.leftMillis(), settings.longestWaitMillis(query.route(), query.leftMillis()));
        if (bestPredicted > limitMillis) {
            long excessMillis = (long) (bestPredicted - limitMillis);
            String reason = "predicted_too_late predicted_ms=" + Math.round(bestPredicted) + " limit_ms="
                    + Math.round(limitMillis);
            return new ServerChoice.Unavailable(reason, settings.retryAfterMillis() + excessMillis);
        }
        if (!health.tryStart(best.id())) {
            // Another request is probing this server; the choice is among the others.
            ServerEntry probed = best;
            List<ServerEntry> others =
                    candidates.stream().filter(server -> server != probed).toList();
            return others.isEmpty()
                    ? new ServerChoice.Unavailable("probe_running", settings.retryAfterMillis())
                    : best(others, query, health);
        }
        String reason = "score_ms=" + Math.round(bestScore) + " to_read=" + bestToRead + " candidates="
                + candidates.size() + " home=" + best.id().equals(home) + " others_age_ms="
                + (clock.millis() - othersAtMillis);
        return new ServerChoice.Chosen(best, bestToRead, bestPredicted, bestExplained, reason);
    }

    /** The candidate on which all nodes let a shared prompt be kept, as long as its queue allows. */
    private static String home(List<ServerEntry> candidates, ChoiceQuery query) {
        if (query.generation().isEmpty()) {
            return "";
        }
        GenerationRequest generation = query.generation().get();
        List<PromptPart> parts = generation.parts();
        String shared = parts.size() < 2 ? "" : parts.get(parts.size() - 2).id();
        String key = generation.cacheScope() + '>' + shared;
        String home = "";
        long lowest = Long.MAX_VALUE;
        for (ServerEntry server : candidates) {
            long score = RendezvousHash.score(key, server.id());
            if (home.isEmpty() || score < lowest) {
                home = server.id();
                lowest = score;
            }
        }
        return home;
    }

    private int tokensToRead(ServerEntry server, ChoiceQuery query, String home) {
        if (query.generation().isEmpty()) {
            return 0;
        }
        GenerationRequest generation = query.generation().get();
        int kept = cache.cachedTokens(server.id(), generation);
        if (server.id().equals(home)) {
            int last = generation.parts().isEmpty()
                    ? 0
                    : generation.parts().get(generation.parts().size() - 1).tokens();
            double shared = Math.max(0, generation.promptTokens() - last);
            kept = Math.max(kept, (int) (shared * settings.homeTrust()));
        }
        return Math.max(0, generation.promptTokens() - kept);
    }

    private double explainedMillis(ServerEntry server, ChoiceQuery query, int toRead) {
        ServerLoad load = load(server.id());
        double eventMillis = query.generation().isPresent() ? settings.firstEventMillis() : 0;
        double distanceMillis = server.failureDomain().equals(ownDomain) ? 0 : settings.crossDomainMillis();
        long unread = load.pendingPrefillTokens() + othersAt(server.id()).unreadTokens();
        return 2 * distanceMillis + eventMillis + (unread + toRead) / settings.prefillTokensPerMilli();
    }

    /** What the other nodes have there; their last word counts for as long as no newer one is overdue. */
    private LoadBoard.Load othersAt(String serverId) {
        boolean recent = clock.millis() - othersAtMillis < ReportPace.silentMillis(nodes.getAsInt());
        return recent ? others.getOrDefault(serverId, LoadBoard.Load.NONE) : LoadBoard.Load.NONE;
    }

    /** What speaks against a server besides the time to the first event: its batch, and the price of distance. */
    private double scoreMillis(ServerEntry server, ChoiceQuery query) {
        ServerLoad load = load(server.id());
        int inFlight = load.inFlight() + othersAt(server.id()).requests();
        double batch =
                inFlight * settings.batchMillisPerRequest(query.generation().isPresent());
        boolean near = server.failureDomain().equals(ownDomain);
        double crossing =
                near ? 0 : settings.crossingMillis() + settings.crossingMillisPerKb() * query.bodyBytes() / 1024;
        return batch + crossing + load.failureFraction() * settings.failureMillis();
    }

    private BackendServerHealth health(String service) {
        return healthByService.computeIfAbsent(
                service, name -> new BackendServerHealth(EjectionPolicy.FAST_RECOVERY, clock, random::nextDouble));
    }

    /** Takes over a new view: a server that restarted has lost what it kept, and starts with a clean record. */
    private void refresh() {
        FleetView view = fleet.get();
        if (view == lastView) {
            return;
        }
        lastView = view;
        Set<String> present = new HashSet<>();
        view.byService().forEach((service, servers) -> {
            List<String> ids = servers.stream().map(ServerEntry::id).toList();
            present.addAll(ids);
            servers.forEach(this::noteProcess);
            health(service).setServers(ids);
        });
        bornMillis.keySet().retainAll(present);
        loads.entrySet()
                .removeIf(entry ->
                        !present.contains(entry.getKey()) && entry.getValue().inFlight() == 0);
    }

    private void noteProcess(ServerEntry server) {
        Long before = bornMillis.put(server.id(), server.bornMillis());
        if (before != null && before != server.bornMillis()) {
            cache.invalidate(server.id());
            sightings.restarted(server.id());
        }
    }
}
