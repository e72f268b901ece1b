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
import org.agatehatch.internal.connection.ServerCapacity;
import org.agatehatch.internal.connection.ServerLoad;
import org.agatehatch.internal.process.FleetView;
import org.agatehatch.internal.process.LoadAggregator;
import org.agatehatch.internal.process.RendezvousHash;
import org.agatehatch.internal.process.ReportIntervals;

/**
 * Chooses the backend server for an attempt by the predicted time to the first event. The prediction takes into account
 * the queued prompt tokens, the part of the prompt that is not cached, the recent delay of the server's responses, and
 * the network distance. Runs on the traffic thread.
 */
public final class ServerChooser {
    private final ChooserSettings settings;
    private final String ownDomain;
    private final Supplier<FleetView> fleet;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final IntSupplier nodes;
    private final ResidencyObservations observations;
    private final ServerAvailability availability;
    private final ServerRooms rooms;
    private final PromptCacheEstimator cache = new PromptCacheEstimator();
    private final Map<String, ServerLoad> loads = new HashMap<>();
    private final Map<String, Long> bornMillisByServer = new HashMap<>();
    private final Map<String, BackendServerHealth> healthByService = new HashMap<>();
    private final CandidateTimes candidateTimes = new CandidateTimes();
    private final CapacityEstimates capacity;
    private FleetView lastView = FleetView.EMPTY;
    private Map<String, LoadAggregator.Load> remoteLoads = Map.of();
    private long remoteLoadsAtMillis;

    /**
     * Creates a chooser without load or health data.
     *
     * @param nodes number of nodes in the group
     */
    public ServerChooser(
            ChooserSettings settings,
            String ownDomain,
            Supplier<FleetView> fleet,
            ResidencyObservations observations,
            ServerAvailability availability,
            MonotonicClock clock,
            RandomGenerator random,
            IntSupplier nodes) {
        this(
                settings,
                ownDomain,
                fleet,
                observations,
                availability,
                clock,
                random,
                nodes,
                CapacityEstimates.Listener.NONE,
                new ServerRooms(clock, random, nodes, (process, maxPerSecond) -> {}));
    }

    /**
     * Creates a chooser without load or health data.
     *
     * @param nodes number of nodes in the group
     * @param capacityListener told what is learned of the servers
     * @param rooms limits of the requests in flight at servers that can turn few away
     */
    public ServerChooser(
            ChooserSettings settings,
            String ownDomain,
            Supplier<FleetView> fleet,
            ResidencyObservations observations,
            ServerAvailability availability,
            MonotonicClock clock,
            RandomGenerator random,
            IntSupplier nodes,
            CapacityEstimates.Listener capacityListener,
            ServerRooms rooms) {
        this.nodes = nodes;
        this.settings = settings;
        this.ownDomain = ownDomain;
        this.fleet = fleet;
        this.observations = observations;
        this.availability = availability;
        this.rooms = rooms;
        this.clock = clock;
        this.random = random;
        this.capacity = new CapacityEstimates(clock, settings.generationMillis(), capacityListener);
    }

    /** Chooses a server and marks the request as started in the server's health record. */
    public ServerChoice choose(ServerChoiceRequest request) {
        refresh();
        List<ServerEntry> present = presentServers(request);
        if (present.isEmpty()) {
            String reason = request.softwareVersion()
                    .map(version -> "no_server_of_version version=" + version)
                    .orElse("no_server");
            return new ServerChoice.Unavailable(reason, settings.retryAfterMillis());
        }
        List<ServerEntry> resident = residentServers(present, request.generation());
        if (resident.isEmpty()) {
            GenerationRequest generation = request.generation().orElseThrow();
            boolean modelResident =
                    present.stream().anyMatch(server -> observations.isResident(server, generation.model(), ""));
            return new ServerChoice.NotResident(generation.model(), modelResident ? generation.adapter() : "");
        }
        List<ServerEntry> open = resident.stream()
                .filter(server -> availability.opensInMillis(server) == 0)
                .toList();
        List<ServerEntry> roomy = open.stream()
                .filter(server -> rooms.hasRoom(server, load(server.id()).inFlight()))
                .toList();
        if (roomy.isEmpty() && !open.isEmpty()) {
            return new ServerChoice.Unavailable("no_room servers=" + open.size(), settings.retryAfterMillis());
        }
        BackendServerHealth health = health(request.service());
        List<ServerEntry> candidates = candidates(roomy, request, health);
        if (candidates.isEmpty() && open.size() < resident.size()) {
            return closed(resident);
        }
        if (candidates.isEmpty()) {
            return new ServerChoice.Unavailable("all_candidates_tried_or_out", settings.retryAfterMillis());
        }
        return best(candidates, request, health);
    }

    /** Returns the entry of a server that accepts requests. */
    public Optional<ServerEntry> entry(String service, String serverId) {
        return fleet.get().servers(service).stream()
                .filter(server -> server.id().equals(serverId))
                .findFirst();
    }

    /** Returns the requests that this node has in flight at each server. */
    public Map<String, LoadAggregator.Load> localLoads() {
        Map<String, LoadAggregator.Load> own = new HashMap<>();
        loads.forEach((server, load) -> {
            if (load.inFlight() > 0) {
                own.put(server, new LoadAggregator.Load(load.inFlight(), load.pendingPrefillTokens()));
            }
        });
        return own;
    }

    /** Replaces the sum of the requests that the other nodes have in flight at each server. */
    public void updateRemoteLoads(Map<String, LoadAggregator.Load> newLoads) {
        remoteLoads = newLoads;
        remoteLoadsAtMillis = clock.millis();
    }

    /** Returns the load of this node at a server. */
    public ServerLoad load(String serverId) {
        return loads.computeIfAbsent(serverId, id -> new ServerLoad(clock));
    }

    /** Returns the limits of the requests in flight at servers that can turn few away. */
    public ServerRooms rooms() {
        return rooms;
    }

    /** Returns what is learned of the servers' speed. */
    public CapacityEstimates capacity() {
        return capacity;
    }

    /**
     * Records that the answer to a chosen server's request has begun, or that its caller gave up before.
     *
     * @param successful whether the answer shows how fast the server works
     */
    public void answerBegun(ServerChoice.Chosen choice, double elapsedMillis, boolean successful) {
        double baselineMillis = choice.baselineMillis();
        if (successful) {
            capacity.answerBegun(choice.expectation(), elapsedMillis);
            // What has become known of the server's speed is no delay beside it. A server that got faster has none
            // either.
            boolean learned = !choice.expectation().generation() || settings.learnedRunnerSpeeds();
            double expectedMillis = learned ? capacity.expectedMillis(choice.expectation()) : 0;
            baselineMillis = Math.max(baselineMillis, expectedMillis);
        }
        load(choice.server().id()).recordDelay(elapsedMillis - baselineMillis);
    }

    /** Records a successful response of a server. */
    public void succeeded(String service, String serverId, double latencyMillis) {
        health(service).recordSuccess(serverId, latencyMillis);
    }

    /** Records a failure that counts against the health of a server. */
    public void failed(String service, String serverId) {
        health(service).recordFailure(serverId);
    }

    /** Records that a server has prefilled a prompt and so has it cached. */
    public void recordPrefill(ServerEntry server, GenerationRequest generation, long memoryTokens) {
        cache.recordPrefill(server.id(), generation, memoryTokens);
    }

    /** Records that a server does not hold the model or adapter of a request. */
    public void markNotResident(ServerEntry server, GenerationRequest generation) {
        observations.markNotResident(server, generation.model(), generation.adapter());
    }

    private ServerChoice.Closed closed(List<ServerEntry> resident) {
        List<ServerEntry> closed = resident.stream()
                .filter(server -> availability.opensInMillis(server) > 0)
                .toList();
        long opensInMillis =
                closed.stream().mapToLong(availability::opensInMillis).min().orElse(0);
        int slots = closed.stream().mapToInt(ServerEntry::slots).sum();
        return new ServerChoice.Closed(opensInMillis, Math.max(1, slots / Math.max(1, nodes.getAsInt())));
    }

    private List<ServerEntry> presentServers(ServerChoiceRequest request) {
        List<ServerEntry> present = new ArrayList<>();
        for (ServerEntry server : fleet.get().servers(request.service())) {
            boolean wanted = request.softwareVersion().isEmpty()
                    || server.softwareVersion().equals(request.softwareVersion().get());
            if (wanted && !availability.isLeaving(server)) {
                present.add(server);
            }
        }
        return present;
    }

    private List<ServerEntry> residentServers(List<ServerEntry> present, Optional<GenerationRequest> generation) {
        if (generation.isEmpty()) {
            return present;
        }
        GenerationRequest generationRequest = generation.get();
        List<ServerEntry> residentServers = new ArrayList<>();
        for (ServerEntry server : present) {
            if (observations.isResident(server, generationRequest.model(), generationRequest.adapter())) {
                residentServers.add(server);
            }
        }
        return residentServers;
    }

    private static List<ServerEntry> candidates(
            List<ServerEntry> resident, ServerChoiceRequest request, BackendServerHealth health) {
        List<ServerEntry> untried = new ArrayList<>();
        for (ServerEntry server : resident) {
            if (!request.tried().contains(server.id())) {
                untried.add(server);
            }
        }
        List<ServerEntry> healthy = new ArrayList<>();
        for (ServerEntry server : untried) {
            if (health.isAvailable(server.id())) {
                healthy.add(server);
            }
        }
        // If no healthy server is left, an unhealthy one is still better than refusing the request.
        return healthy.isEmpty() ? untried : healthy;
    }

    private ServerChoice best(List<ServerEntry> candidates, ServerChoiceRequest request, BackendServerHealth health) {
        String homeServer = homeServer(candidates, request);
        CandidateTimes times = candidateTimes;
        times.reset(candidates.size());
        ServiceCapacity service =
                capacity.service(request.service(), request.generation().isPresent());
        long unseenMillis = unseenMillis();
        String model = request.generation().map(GenerationRequest::model).orElse("");
        boolean learned = request.generation().isEmpty() || settings.learnedRunnerSpeeds();
        double unseenWork = learned ? service.othersWorkPerMilli(model, clock.millis()) * unseenMillis : 0;
        times.modelFactor = learned ? capacity.modelFactor(service, model) : 1;
        for (int i = 0; i < candidates.size(); i++) {
            ServerEntry server = candidates.get(i);
            ServerCapacity known = service.server(server);
            if (request.generation().isPresent()) {
                predictRunner(i, server, service, known, request, homeServer, unseenWork / candidates.size());
            } else {
                predictPlain(i, server, service, known, unseenMillis);
            }
            addPenalties(i, server, request);
        }
        if (request.generation().isEmpty()) {
            times.weighConcurrency(unseenWork, capacity.usualLatencyMillis(service));
        }
        int chosen = times.choose(unseenWork, service, random);
        ServerEntry best = candidates.get(chosen);
        double limitMillis = Math.min(
                request.patienceMillis(), settings.maxFirstEventMillis(request.route(), request.remainingMillis()));
        double refusalMillis =
                times.predictedMillis[chosen] - (times.refusable[chosen] ? 0 : times.serverMillis[chosen]);
        if (refusalMillis > limitMillis) {
            long excessMillis = (long) (refusalMillis - limitMillis);
            String reason = "predicted_too_late predicted_ms=" + Math.round(refusalMillis) + " limit_ms="
                    + Math.round(limitMillis);
            return new ServerChoice.Unavailable(reason, settings.retryAfterMillis() + excessMillis);
        }
        if (!health.tryStart(best.id())) {
            // Another request is already probing this server, so it is left out.
            List<ServerEntry> otherCandidates =
                    candidates.stream().filter(server -> server != best).toList();
            return otherCandidates.isEmpty()
                    ? new ServerChoice.Unavailable("probe_running", settings.retryAfterMillis())
                    : best(otherCandidates, request, health);
        }
        String reason = "score_ms=" + Math.round(times.scores[chosen]) + " to_read=" + times.uncachedTokens[chosen]
                + " candidates=" + candidates.size() + " home=" + best.id().equals(homeServer) + " factor="
                + Math.round(100 * times.factors[chosen]) / 100.0 + " share="
                + Math.round(100 * times.shares[chosen]) / 100.0 + " others_age_ms="
                + (clock.millis() - remoteLoadsAtMillis);
        return new ServerChoice.Chosen(
                best,
                times.uncachedTokens[chosen],
                (int) Math.round(times.modelFactor * times.uncachedTokens[chosen]),
                times.predictedMillis[chosen],
                times.baselineMillis[chosen],
                times.expectation(chosen, best, request),
                reason);
    }

    /** Predicts when a runner's first event arrives: after the prompts that it has to read before. */
    private void predictRunner(
            int index,
            ServerEntry server,
            ServiceCapacity service,
            ServerCapacity learned,
            ServerChoiceRequest request,
            String homeServer,
            double unseenWork) {
        CandidateTimes times = candidateTimes;
        ServerLoad load = load(server.id());
        LoadAggregator.Load remote = remoteLoad(server.id());
        String model = request.generation().map(GenerationRequest::model).orElse("");
        int inFlight = load.inFlight() + remote.requests();
        int uncachedTokens = uncachedTokens(server, request, homeServer);
        double remoteWorkMillis = remote.pendingPromptTokens() / settings.prefillTokensPerMilli();
        double ownWorkMillis = times.modelFactor * uncachedTokens / settings.prefillTokensPerMilli();
        double workMillis = times.modelFactor * settings.firstEventMillis()
                + load.pendingPrefillTokens() / settings.prefillTokensPerMilli()
                + remoteWorkMillis
                + ownWorkMillis;
        double factor = settings.learnedRunnerSpeeds() ? capacity.firstEventFactor(service, learned) : 1;
        double serverMillis = capacity.firstEventMillis(factor, workMillis)
                + slotWaitMillis(server, inFlight, service, learned, model);
        times.factors[index] = factor;
        times.uncachedTokens[index] = uncachedTokens;
        times.inFlight[index] = inFlight + 1;
        times.workMillis[index] = workMillis;
        times.ownWork[index] = ownWorkMillis;
        times.costs[index] = factor;
        times.serverMillis[index] = serverMillis;
        // As much as other nodes sent since their reports has been read of what they had reported. It is allocated
        // anew.
        times.scores[index] = -Math.min(remoteWorkMillis, unseenWork) * factor
                + factor * inFlight * settings.inFlightPenaltyMillis(true);
        times.refusable[index] = true;
    }

    /** Predicts the latency of a plain server from its latest answers, at the number of requests in flight there. */
    private void predictPlain(
            int index, ServerEntry server, ServiceCapacity service, ServerCapacity learned, long unseenMillis) {
        CandidateTimes times = candidateTimes;
        ServerLoad load = load(server.id());
        double speedMillis = capacity.latencyMillis(service, learned, 1);
        double stillRunning = speedMillis > 0 ? Math.exp(-unseenMillis / speedMillis) : 1;
        double known = load.inFlight() + remoteLoad(server.id()).requests() * stillRunning;
        double sinceThen = learned.othersWorkPerMilli(clock.millis()) * speedMillis * (1 - stillRunning);
        int inFlight = (int) Math.round(known + sinceThen);
        times.factors[index] = Math.exp(service.relativeLog(learned, clock.millis()));
        times.inFlight[index] = inFlight + 1;
        times.knownInFlight[index] = known;
        times.usefulConcurrency[index] = learned.usefulConcurrency();
        times.remaining[index] =
                speedMillis > 0 && unseenMillis > 0 ? speedMillis / unseenMillis * (1 - stillRunning) : 1;
        times.ownWork[index] = 1;
        times.serverMillis[index] = capacity.latencyMillis(service, learned, inFlight + 1);
        // The latency at the known number; what other nodes sent since is allocated over the candidates.
        times.scores[index] = capacity.latencyMillis(service, learned, (int) Math.round(known) + 1)
                - times.serverMillis[index]
                + times.factors[index] * known * settings.inFlightPenaltyMillis(false);
        times.costs[index] = times.factors[index] * settings.inFlightPenaltyMillis(false);
        // A server that is known to be slow is still better than a refusal while it has slots.
        times.refusable[index] = inFlight >= server.slots();
    }

    private void addPenalties(int index, ServerEntry server, ServerChoiceRequest request) {
        CandidateTimes times = candidateTimes;
        ServerLoad load = load(server.id());
        boolean near = server.failureDomain().equals(ownDomain);
        times.networkMillis[index] = near ? 0 : 2 * settings.crossDomainOneWayMillis();
        times.baselineMillis[index] = times.networkMillis[index] + times.serverMillis[index];
        times.predictedMillis[index] = times.baselineMillis[index] + load.excessDelayMillis();
        times.scores[index] += times.predictedMillis[index]
                + (near ? 0 : crossDomainPenaltyMillis(request))
                + load.failureFraction() * settings.failurePenaltyMillis()
                + random.nextDouble();
    }

    /** Returns the age of what is known of other nodes' requests; their reports are half an interval old when they are summed. */
    private long unseenMillis() {
        int nodeCount = nodes.getAsInt();
        long ageMillis = clock.millis() - remoteLoadsAtMillis + ReportIntervals.intervalMillis(nodeCount) / 2;
        return Math.min(ageMillis, ReportIntervals.staleAfterMillis(nodeCount));
    }

    /**
     * Returns the candidate to which all nodes prefer to send a shared prompt, so that the prompt is cached there;
     * empty without generation. A long queue outweighs the preference.
     */
    private static String homeServer(List<ServerEntry> candidates, ServerChoiceRequest request) {
        if (request.generation().isEmpty()) {
            return "";
        }
        GenerationRequest generation = request.generation().get();
        List<PromptPart> parts = generation.parts();
        String shared = parts.size() < 2 ? "" : parts.get(parts.size() - 2).id();
        String key = generation.cacheScope() + '>' + shared;
        String homeServer = "";
        long lowest = Long.MAX_VALUE;
        for (ServerEntry server : candidates) {
            long score = RendezvousHash.score(key, server.id());
            if (homeServer.isEmpty() || score < lowest) {
                homeServer = server.id();
                lowest = score;
            }
        }
        return homeServer;
    }

    private int uncachedTokens(ServerEntry server, ServerChoiceRequest request, String homeServer) {
        if (request.generation().isEmpty()) {
            return 0;
        }
        GenerationRequest generation = request.generation().get();
        int cachedTokens = cache.cachedTokens(server.id(), generation);
        if (server.id().equals(homeServer)) {
            int last = generation.parts().isEmpty()
                    ? 0
                    : generation.parts().get(generation.parts().size() - 1).tokens();
            double shared = Math.max(0, generation.promptTokens() - last);
            cachedTokens = Math.max(cachedTokens, (int) (shared * settings.homeCachedFraction()));
        }
        return Math.max(0, generation.promptTokens() - cachedTokens);
    }

    /** Returns the expected wait for one of a runner's slots, which are all taken by more requests than it runs at once. */
    private double slotWaitMillis(
            ServerEntry server, int inFlight, ServiceCapacity service, ServerCapacity learned, String model) {
        int ahead = inFlight + 1 - server.slots();
        double outputMillis = settings.learnedRunnerSpeeds()
                ? capacity.outputMillis(service, learned, model)
                : settings.generationMillis();
        return ahead <= 0 ? 0 : ahead * outputMillis / server.slots();
    }

    /** Returns the load of the other nodes at a server; zero if their last report is too old. */
    private LoadAggregator.Load remoteLoad(String serverId) {
        boolean recent = clock.millis() - remoteLoadsAtMillis < ReportIntervals.staleAfterMillis(nodes.getAsInt());
        return recent ? remoteLoads.getOrDefault(serverId, LoadAggregator.Load.NONE) : LoadAggregator.Load.NONE;
    }

    private double crossDomainPenaltyMillis(ServerChoiceRequest request) {
        return settings.crossDomainPenaltyMillis()
                + settings.crossDomainPenaltyMillisPerKb() * request.bodyBytes() / 1024;
    }

    private BackendServerHealth health(String service) {
        return healthByService.computeIfAbsent(
                service, name -> new BackendServerHealth(EjectionPolicy.FAST_RECOVERY, clock, random::nextDouble));
    }

    /**
     * Applies a new fleet view. Cached prompts and residency observations of restarted servers and the load of removed
     * servers are discarded.
     */
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
            servers.forEach(this::detectRestart);
            health(service).setServers(ids);
        });
        capacity.setServers(view);
        bornMillisByServer.keySet().retainAll(present);
        loads.entrySet()
                .removeIf(entry ->
                        !present.contains(entry.getKey()) && entry.getValue().inFlight() == 0);
    }

    private void detectRestart(ServerEntry server) {
        Long previous = bornMillisByServer.put(server.id(), server.startedAtMillis());
        if (previous != null && previous != server.startedAtMillis()) {
            cache.invalidate(server.id());
            observations.forget(server.id());
        }
    }
}
