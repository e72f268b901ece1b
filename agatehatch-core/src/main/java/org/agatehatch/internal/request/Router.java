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

/** Gathers the candidates for an attempt and lets a policy choose. Thread safe; takes no lock. */
public final class Router {
    /** Bounds the cost of a decision whatever the number of runners. */
    static final int MOST_SCORED = 32;
    /** Belief that a home of a shared prefix has it cached, since all nodes send its requests there. */
    /** Runners are asked for their load several times a second. */
    private static final long LONGEST_SILENCE_MILLIS = 5_000;

    /** A runner that starts is known about a second later. */
    private static final long SILENCE_RETRY_AFTER_MILLIS = 1_000;

    private static final double HOME_TRUST = 0.5;

    private static final String ANSWER_ROLE = "answer";

    private final RouterInputs inputs;
    private final RoutingPolicy policy;
    private final FirstTokenModel model;
    private final IntUnaryOperator randomBelow;
    private final double longestEngineQueueMillis;
    private final RoutingPolicy servicePolicy = new LeastLoadRoutingPolicy();
    private volatile PoolIndex poolIndex = new PoolIndex(-1, Map.of());

    /**
     * Creates a router.
     *
     * @param randomBelow returns a uniform value from 0 inclusive to its argument exclusive
     * @param longestEngineQueueMillis queue at a runner up to which it gets more requests; beyond it they wait at this
     *     node, where priorities and shares still count
     */
    public Router(
            RouterInputs inputs,
            RoutingPolicy policy,
            FirstTokenModel model,
            IntUnaryOperator randomBelow,
            double longestEngineQueueMillis) {
        this.inputs = inputs;
        this.policy = policy;
        this.model = model;
        this.randomBelow = randomBelow;
        this.longestEngineQueueMillis = longestEngineQueueMillis;
    }

    /**
     * Returns a route for an attempt of a model or adapter.
     *
     * @throws AgatehatchException with {@link ErrorCode#MODEL_NOT_FOUND} if the catalogue lacks the entry
     */
    public Route route(RouteRequest route) {
        RoutingView view = inputs.view().get();
        RoutingRequest request = route.request();
        ModelEntry entry = model(view, request.entry());
        List<String> replicas = view.runnersByModel().getOrDefault(entry.residentModel(), List.of());
        List<Candidate> candidates = candidates(view, entry.pool(), replicas, route);
        Optional<RoutingDecision> decision = policy.choose(request, candidates);
        if (request.adapter().isPresent()
                && !decision.map(made -> made.candidate().adapterResident()).orElse(false)) {
            inputs.adapterLoads().apply(entry.pool()).wanted();
        }
        return new Route(request, decision, replicas.size(), candidates.size());
    }

    /**
     * Returns a route for a call of a plain service: the available server with the fewest calls of this node in flight.
     *
     * @param tried backend servers of earlier attempts
     * @throws AgatehatchException with {@link ErrorCode#SERVICE_NOT_FOUND} if the catalogue lacks the service
     */
    public Route routeService(RoutingRequest request, Set<String> tried) {
        RoutingView view = inputs.view().get();
        ServiceEntry service = view.catalogue().services().get(request.entry());
        if (service == null) {
            throw notFound(ErrorCode.SERVICE_NOT_FOUND, "service", request.entry(), view);
        }
        List<String> known = serversOf(view, service.pool());
        List<Candidate> candidates = new ArrayList<>();
        for (BackendServer server : select(view, service.pool(), known, List.of(), tried)) {
            long inFlight = inputs.tracker().apply(server.name()).ownInFlight();
            double distance = inputs.distanceMillis().applyAsDouble(server);
            candidates.add(new Candidate(server, distance, 0, (double) inFlight, 0, 0, true, false, Long.MAX_VALUE));
        }
        return new Route(request, servicePolicy.choose(request, candidates), known.size(), candidates.size());
    }

    /**
     * Returns what admission needs to know of the runners that may serve a request, with what they have cached of it.
     *
     * @throws AgatehatchException with {@link ErrorCode#NO_BACKEND_SERVER} if no runner holds the model or can load it
     */
    public PoolLoad load(RouteRequest route) {
        RoutingView view = inputs.view().get();
        RoutingRequest request = route.request();
        ModelEntry entry = model(view, request.entry());
        List<String> replicas = view.runnersByModel().getOrDefault(entry.residentModel(), List.of());
        double best = Double.POSITIVE_INFINITY;
        double tokensPerSecond = 0;
        boolean room = false;
        for (Candidate candidate : candidates(view, entry.pool(), replicas, route)) {
            best = Math.min(best, model.predictMillis(request, candidate));
            tokensPerSecond += candidate.prefillTokensPerSecond();
            room |= hasRoom(candidate);
        }
        if (replicas.isEmpty() && !someRunnerReports(view, entry.pool())) {
            throw new AgatehatchException(
                            ErrorCode.NO_BACKEND_SERVER,
                            "admit",
                            "self",
                            Outcome.NOT_RUN,
                            "no runner of pool '" + entry.pool() + "' holds '" + request.entry()
                                    + "', and none has reported its load lately, so none can load it; check the runners'"
                                    + " addresses in the catalogue")
                    .withRetryAfterMillis(SILENCE_RETRY_AFTER_MILLIS);
        }
        // Without any replica now, the queue's deadline decides, since one may be on its way.
        double wait = best == Double.POSITIVE_INFINITY ? 0 : best;
        return new PoolLoad(
                wait,
                room
                        ? PoolLoad.NOTHING_AHEAD
                        : tokensPerSecond / Math.max(1, inputs.liveNodes().getAsInt()));
    }

    /** A runner that can be told to load a model answers when it is asked for its load. */
    private boolean someRunnerReports(RoutingView view, String pool) {
        for (String name : serversOf(view, pool)) {
            boolean reports =
                    inputs.load().apply(inputs.tracker().apply(name)).reportAgeMillis() <= LONGEST_SILENCE_MILLIS;
            if (reports && !view.unavailable().contains(name)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether some runner of the entry has a short enough queue to get a request now. */
    public boolean hasRoom(String entry) {
        for (Candidate candidate : plainCandidates(inputs.view().get(), entry)) {
            if (hasRoom(candidate)) {
                return true;
            }
        }
        return false;
    }

    private boolean hasRoom(Candidate candidate) {
        return model.queueMillis(candidate) <= longestEngineQueueMillis;
    }

    /** Returns the mean queue of a pool's runners over the longest one at which they get more requests. */
    public double saturation(String pool) {
        RoutingView view = inputs.view().get();
        double sum = 0;
        int count = 0;
        for (BackendServer server : select(view, pool, serversOf(view, pool), List.of(), Set.of())) {
            sum += model.queueMillis(plainCandidate(server));
            count++;
        }
        return count == 0 ? 1 : sum / count / longestEngineQueueMillis;
    }

    private List<Candidate> plainCandidates(RoutingView view, String entryName) {
        ModelEntry entry = model(view, entryName);
        List<String> replicas = view.runnersByModel().getOrDefault(entry.residentModel(), List.of());
        List<Candidate> candidates = new ArrayList<>();
        for (BackendServer server : select(view, entry.pool(), replicas, List.of(), Set.of())) {
            candidates.add(plainCandidate(server));
        }
        return candidates;
    }

    /** A candidate without figures that depend on the prompt. */
    private Candidate plainCandidate(BackendServer server) {
        LoadEstimate load = inputs.load().apply(inputs.tracker().apply(server.name()));
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

    private List<Candidate> candidates(RoutingView view, String pool, List<String> replicas, RouteRequest route) {
        RoutingRequest request = route.request();
        List<String> homes = inputs.prefixAffinity()
                .homes(request.prefixHash(), replicas, inputs.liveNodes().getAsInt());
        List<BackendServer> servers = select(view, pool, replicas, homes, route.tried());
        double[] cachedBytes = inputs.prefixIndex().expectedCachedBytes(route.promptBlocks(), names(servers));
        Optional<AdapterLoadBudget> budget =
                request.adapter().map(adapter -> inputs.adapterLoads().apply(pool));
        boolean loadAllowed = budget.isPresent() && budget.get().available();
        double tokensPerByte = route.promptBytes() == 0 ? 0 : (double) request.promptTokens() / route.promptBytes();
        List<Candidate> candidates = new ArrayList<>(servers.size());
        for (int i = 0; i < cachedBytes.length; i++) {
            BackendServer server = servers.get(i);
            RunnerLoadTracker tracker = inputs.tracker().apply(server.name());
            LoadEstimate load = inputs.load().apply(tracker);
            double bytes = homes.contains(server.name()) ? Math.max(cachedBytes[i], homeBytes()) : cachedBytes[i];
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

    private static double homeBytes() {
        return HOME_TRUST * PromptBlocks.SHARED_PREFIX_BLOCKS * PromptBlocks.BLOCK_BYTES;
    }

    /**
     * Returns the servers that may take the attempt, at most {@link #MOST_SCORED}: the prefix's homes first, the others
     * from a random start, so that all replicas of a model with many get requests. After a failed attempt, servers in
     * other failure domains are preferred.
     */
    private List<BackendServer> select(
            RoutingView view, String pool, List<String> names, List<String> first, Set<String> tried) {
        BackendServerHealth health = inputs.health().apply(pool);
        List<BackendServer> selected = new ArrayList<>(Math.min(MOST_SCORED, names.size()));
        for (String name : first) {
            addIfUsable(view, health, name, tried, selected);
        }
        int start = names.isEmpty() ? 0 : randomBelow.applyAsInt(names.size());
        for (int i = 0; i < names.size() && selected.size() < MOST_SCORED; i++) {
            String name = names.get((start + i) % names.size());
            if (!first.contains(name)) {
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
                && selected.size() < MOST_SCORED
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
        List<BackendServer> elsewhere = selected.stream()
                .filter(server -> !triedDomains.contains(server.failureDomain()))
                .toList();
        return elsewhere.isEmpty() ? selected : elsewhere;
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
