package org.agatehatch.internal.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntUnaryOperator;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.ModelEntry;
import org.agatehatch.api.catalogue.ServiceEntry;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.routing.Candidate;
import org.agatehatch.api.routing.FirstTokenModel;
import org.agatehatch.api.routing.LeastLoadRoutingPolicy;
import org.agatehatch.api.routing.PromptBlocks;
import org.agatehatch.api.routing.RoutingDecision;
import org.agatehatch.api.routing.RoutingPolicy;
import org.agatehatch.api.routing.RoutingRequest;
import org.agatehatch.internal.connection.BackendServerHealth;
import org.agatehatch.internal.connection.LoadEstimate;
import org.agatehatch.internal.connection.RunnerLoadTracker;
import org.agatehatch.internal.process.AdapterLoadBudget;
import org.agatehatch.internal.version.RoutingView;

/** Collects the candidate servers for an attempt and lets a routing policy choose one. Thread safe and lock-free. */
public final class Router {
    /** Bounds the cost of a decision, independently of the number of runners. */
    static final int MAX_SCORED_SERVERS = 32;

    /** Runners without a newer report count as unreachable; their load is polled several times a second. */
    private static final long MAX_REPORT_AGE_MILLIS = 5_000;

    /** A newly started runner is discovered within about one second. */
    private static final long NO_RUNNER_RETRY_AFTER_MILLIS = 1_000;

    /**
     * Fraction of a shared prefix that its home is assumed to have cached, since all nodes send requests with the
     * prefix there.
     */
    private static final double HOME_CACHED_FRACTION = 0.5;

    private static final String ANSWER_ROLE = "answer";

    private final RouterInputs inputs;
    private final RoutingPolicy policy;
    private final FirstTokenModel model;
    private final IntUnaryOperator randomBelow;
    private final double maxEngineQueueMillis;
    private final RoutingPolicy servicePolicy = new LeastLoadRoutingPolicy();
    private volatile PoolIndex poolIndex = new PoolIndex(-1, Map.of());

    /**
     * Creates a router.
     *
     * @param randomBelow returns a uniform value from 0 inclusive to its argument exclusive
     * @param maxEngineQueueMillis longest queue at which a runner still gets requests; beyond it, requests
     *     wait at this node, where priorities and owner shares still apply
     */
    public Router(
            RouterInputs inputs,
            RoutingPolicy policy,
            FirstTokenModel model,
            IntUnaryOperator randomBelow,
            double maxEngineQueueMillis) {
        this.inputs = inputs;
        this.policy = policy;
        this.model = model;
        this.randomBelow = randomBelow;
        this.maxEngineQueueMillis = maxEngineQueueMillis;
    }

    /**
     * Routes an attempt for a model or adapter.
     *
     * @throws AgatehatchException with {@link ErrorCode#MODEL_NOT_FOUND} if the catalogue lacks the entry
     */
    public RoutingResult route(AttemptRoutingRequest route) {
        RoutingView view = inputs.view().get();
        RoutingRequest request = route.request();
        ModelEntry entry = model(view, request.entry());
        List<String> replicas = view.runnersByModel().getOrDefault(entry.residentModel(), List.of());
        List<Candidate> candidates = candidates(view, entry.pool(), replicas, route);
        Optional<RoutingDecision> decision = policy.choose(request, candidates);
        if (request.adapter().isPresent()
                && !decision.map(made -> made.candidate().adapterResident()).orElse(false)) {
            inputs.adapterLoadBudget().apply(entry.pool()).recordDemand();
        }
        return new RoutingResult(request, decision, replicas.size(), candidates.size());
    }

    /**
     * Routes a call of a plain service to the available server with the fewest calls of this node in flight.
     *
     * @param tried backend servers of earlier attempts
     * @throws AgatehatchException with {@link ErrorCode#SERVICE_NOT_FOUND} if the catalogue lacks the service
     */
    public RoutingResult routeService(RoutingRequest request, Set<String> tried) {
        RoutingView view = inputs.view().get();
        ServiceEntry service = view.catalogue().services().get(request.entry());
        if (service == null) {
            throw notFound(ErrorCode.SERVICE_NOT_FOUND, "service", request.entry(), view);
        }
        List<String> known = serversOf(view, service.pool());
        List<Candidate> candidates = new ArrayList<>();
        for (BackendServer server : select(view, service.pool(), known, List.of(), tried)) {
            long inFlight = inputs.loadTracker().apply(server.name()).ownInFlight();
            double distanceMillis = inputs.distanceMillis().applyAsDouble(server);
            candidates.add(
                    new Candidate(server, distanceMillis, 0, (double) inFlight, 0, 0, true, false, Long.MAX_VALUE));
        }
        return new RoutingResult(request, servicePolicy.choose(request, candidates), known.size(), candidates.size());
    }

    /**
     * Returns the load of the runners that may serve a request, for admission control. Takes into account which prompt
     * tokens the runners have cached.
     *
     * @throws AgatehatchException with {@link ErrorCode#NO_BACKEND_SERVER} if no runner holds the model and no runner
     *     that could load it has reported recently
     */
    public PoolLoad load(AttemptRoutingRequest route) {
        RoutingView view = inputs.view().get();
        RoutingRequest request = route.request();
        ModelEntry entry = model(view, request.entry());
        List<String> replicas = view.runnersByModel().getOrDefault(entry.residentModel(), List.of());
        double bestFirstTokenMillis = Double.POSITIVE_INFINITY;
        double tokensPerSecond = 0;
        boolean room = false;
        for (Candidate candidate : candidates(view, entry.pool(), replicas, route)) {
            bestFirstTokenMillis = Math.min(bestFirstTokenMillis, model.predictMillis(request, candidate));
            tokensPerSecond += candidate.prefillTokensPerSecond();
            room |= hasRoom(candidate);
        }
        if (replicas.isEmpty() && !hasReportingRunner(view, entry.pool())) {
            throw new AgatehatchException(
                            ErrorCode.NO_BACKEND_SERVER,
                            "admit",
                            "self",
                            Outcome.NOT_RUN,
                            "no runner of pool '" + entry.pool() + "' holds '" + request.entry()
                                    + "', and no runner has reported its load recently, so none can load it; check the"
                                    + " addresses of the runners in the catalogue")
                    .withRetryAfterMillis(NO_RUNNER_RETRY_AFTER_MILLIS);
        }
        // Without a replica the request may wait until its queue deadline, since a runner may be loading the model.
        double firstTokenMillis = bestFirstTokenMillis == Double.POSITIVE_INFINITY ? 0 : bestFirstTokenMillis;
        return new PoolLoad(
                firstTokenMillis,
                room
                        ? PoolLoad.NO_QUEUE_DELAY
                        : tokensPerSecond / Math.max(1, inputs.liveNodes().getAsInt()));
    }

    /** Returns whether a runner reported its load recently, and so can be ordered to load a model. */
    private boolean hasReportingRunner(RoutingView view, String pool) {
        for (String name : serversOf(view, pool)) {
            boolean reportIsRecent = inputs.loadEstimate()
                            .apply(inputs.loadTracker().apply(name))
                            .reportAgeMillis()
                    <= MAX_REPORT_AGE_MILLIS;
            if (reportIsRecent && !view.unavailable().contains(name)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a runner of the entry has a short enough queue to take a request now. Also returns true for an
     * entry that the catalogue lacks, so that its requests leave the queue and are refused by {@link #route}.
     */
    public boolean hasRoom(String entry) {
        RoutingView view = inputs.view().get();
        if (!view.catalogue().models().containsKey(entry)) {
            return true;
        }
        for (Candidate candidate : candidatesWithoutPrompt(view, entry)) {
            if (hasRoom(candidate)) {
                return true;
            }
        }
        return false;
    }

    private boolean hasRoom(Candidate candidate) {
        return model.queueMillis(candidate) <= maxEngineQueueMillis;
    }

    /** Returns the mean queue time of a pool's runners, relative to the limit up to which runners get requests. */
    public double saturation(String pool) {
        RoutingView view = inputs.view().get();
        double sum = 0;
        int count = 0;
        for (BackendServer server : select(view, pool, serversOf(view, pool), List.of(), Set.of())) {
            sum += model.queueMillis(candidateWithoutPrompt(server));
            count++;
        }
        return count == 0 ? 1 : sum / count / maxEngineQueueMillis;
    }

    private List<Candidate> candidatesWithoutPrompt(RoutingView view, String entryName) {
        ModelEntry entry = model(view, entryName);
        List<String> replicas = view.runnersByModel().getOrDefault(entry.residentModel(), List.of());
        List<Candidate> candidates = new ArrayList<>();
        for (BackendServer server : select(view, entry.pool(), replicas, List.of(), Set.of())) {
            candidates.add(candidateWithoutPrompt(server));
        }
        return candidates;
    }

    /** Returns a candidate without the values that depend on the prompt. */
    private Candidate candidateWithoutPrompt(BackendServer server) {
        LoadEstimate load = inputs.loadEstimate().apply(inputs.loadTracker().apply(server.name()));
        return new Candidate(
                server,
                inputs.distanceMillis().applyAsDouble(server),
                load.queuedTokens(),
                load.runningRequests(),
                load.prefillTokensPerSecond(),
                0,
                true,
                false,
                load.reportAgeMillis());
    }

    private List<Candidate> candidates(
            RoutingView view, String pool, List<String> replicas, AttemptRoutingRequest route) {
        RoutingRequest request = route.request();
        List<String> homes = inputs.prefixAffinity()
                .homes(request.prefixHash(), replicas, inputs.liveNodes().getAsInt());
        List<BackendServer> servers = select(view, pool, replicas, homes, route.tried());
        double[] cachedBytes = inputs.prefixIndex().expectedCachedBytes(route.promptBlocks(), names(servers));
        Optional<AdapterLoadBudget> budget =
                request.adapter().map(adapter -> inputs.adapterLoadBudget().apply(pool));
        boolean loadAllowed = budget.isPresent() && budget.get().hasFreeSlot();
        double tokensPerByte = route.promptBytes() == 0 ? 0 : (double) request.promptTokens() / route.promptBytes();
        List<Candidate> candidates = new ArrayList<>(servers.size());
        for (int i = 0; i < cachedBytes.length; i++) {
            BackendServer server = servers.get(i);
            RunnerLoadTracker tracker = inputs.loadTracker().apply(server.name());
            LoadEstimate load = inputs.loadEstimate().apply(tracker);
            double bytes = homes.contains(server.name())
                    ? Math.max(cachedBytes[i], expectedHomeCachedBytes())
                    : cachedBytes[i];
            int cachedTokens = (int) Math.min(request.promptTokens(), bytes * tokensPerByte);
            boolean resident = request.adapter().isEmpty()
                    || load.adapters().contains(request.adapter().get());
            candidates.add(new Candidate(
                    server,
                    inputs.distanceMillis().applyAsDouble(server),
                    load.queuedTokens(),
                    load.runningRequests(),
                    load.prefillTokensPerSecond(),
                    cachedTokens,
                    resident,
                    loadAllowed,
                    load.reportAgeMillis()));
        }
        return candidates;
    }

    private static double expectedHomeCachedBytes() {
        return HOME_CACHED_FRACTION * PromptBlocks.SHARED_PREFIX_BLOCKS * PromptBlocks.BLOCK_BYTES;
    }

    /**
     * Returns at most {@link #MAX_SCORED_SERVERS} servers that may take the attempt: first the homes of the prefix,
     * then others from a random start position, so that all replicas of a model get requests even if there are more
     * than the maximum. After a failed attempt, only servers in other failure domains are returned if there are any.
     */
    private List<BackendServer> select(
            RoutingView view, String pool, List<String> names, List<String> homes, Set<String> tried) {
        BackendServerHealth health = inputs.health().apply(pool);
        List<BackendServer> selected = new ArrayList<>(Math.min(MAX_SCORED_SERVERS, names.size()));
        for (String name : homes) {
            addIfUsable(view, health, name, tried, selected);
        }
        int start = names.isEmpty() ? 0 : randomBelow.applyAsInt(names.size());
        for (int i = 0; i < names.size() && selected.size() < MAX_SCORED_SERVERS; i++) {
            String name = names.get((start + i) % names.size());
            if (!homes.contains(name)) {
                addIfUsable(view, health, name, tried, selected);
            }
        }
        return tried.isEmpty() ? selected : preferOtherDomains(view, selected, tried);
    }

    private static void addIfUsable(
            RoutingView view,
            BackendServerHealth health,
            String name,
            Set<String> tried,
            List<BackendServer> selected) {
        BackendServer server = view.catalogue().backendServers().get(name);
        boolean usable = server != null
                && selected.size() < MAX_SCORED_SERVERS
                && !tried.contains(name)
                && !view.unavailable().contains(name)
                && !ANSWER_ROLE.equals(view.roles().get(name))
                && health.isAvailable(name);
        if (usable) {
            selected.add(server);
        }
    }

    private static List<BackendServer> preferOtherDomains(
            RoutingView view, List<BackendServer> selected, Set<String> tried) {
        Set<String> triedDomains = new HashSet<>();
        for (String name : tried) {
            BackendServer server = view.catalogue().backendServers().get(name);
            if (server != null) {
                triedDomains.add(server.failureDomain());
            }
        }
        List<BackendServer> inOtherDomains = selected.stream()
                .filter(server -> !triedDomains.contains(server.failureDomain()))
                .toList();
        return inOtherDomains.isEmpty() ? selected : inOtherDomains;
    }

    private static String[] names(List<BackendServer> servers) {
        String[] names = new String[servers.size()];
        for (int i = 0; i < names.length; i++) {
            names[i] = servers.get(i).name();
        }
        return names;
    }

    private List<String> serversOf(RoutingView view, String pool) {
        PoolIndex index = poolIndex;
        if (index.catalogueVersion != view.catalogue().version()) {
            index = PoolIndex.of(view);
            poolIndex = index;
        }
        return index.serversByPool.getOrDefault(pool, List.of());
    }

    private static ModelEntry model(RoutingView view, String name) {
        ModelEntry entry = view.catalogue().models().get(name);
        if (entry == null) {
            throw notFound(ErrorCode.MODEL_NOT_FOUND, "model", name, view);
        }
        return entry;
    }

    private static AgatehatchException notFound(ErrorCode code, String kind, String name, RoutingView view) {
        return new AgatehatchException(
                code,
                "route",
                "self",
                Outcome.NOT_RUN,
                kind + " '" + name + "' is not in catalogue version "
                        + view.catalogue().version() + "; list the models with GET /v1/models");
    }

    private record PoolIndex(long catalogueVersion, Map<String, List<String>> serversByPool) {
        private static PoolIndex of(RoutingView view) {
            Map<String, List<String>> byPool = new HashMap<>();
            for (BackendServer server : view.catalogue().backendServers().values()) {
                byPool.computeIfAbsent(server.pool(), pool -> new ArrayList<>()).add(server.name());
            }
            return new PoolIndex(view.catalogue().version(), byPool);
        }
    }
}
