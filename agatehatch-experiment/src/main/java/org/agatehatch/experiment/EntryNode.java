package org.agatehatch.experiment;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.routing.AdmissionRequest;
import org.agatehatch.api.routing.Candidate;
import org.agatehatch.api.routing.FirstTokenModel;
import org.agatehatch.api.routing.PromptBlocks;
import org.agatehatch.api.routing.RoutingPolicy;
import org.agatehatch.api.routing.RoutingRequest;
import org.agatehatch.internal.connection.BackendServerHealth;
import org.agatehatch.internal.connection.EjectionPolicy;
import org.agatehatch.internal.connection.LoadEstimate;
import org.agatehatch.internal.connection.PrefixIndex;
import org.agatehatch.internal.connection.RunnerLoadTracker;
import org.agatehatch.internal.connection.RunnerLoadTrackers;
import org.agatehatch.internal.process.AdapterLoadBudget;
import org.agatehatch.internal.process.OwnerShares;
import org.agatehatch.internal.process.OwnerUsage;
import org.agatehatch.internal.process.PrefixAffinity;
import org.agatehatch.internal.request.AdmissionLimits;
import org.agatehatch.internal.request.AdmissionQueue;
import org.agatehatch.internal.request.AttemptRoutingRequest;
import org.agatehatch.internal.request.QueueTicket;
import org.agatehatch.internal.request.QueuedRequest;
import org.agatehatch.internal.request.Router;
import org.agatehatch.internal.request.RouterInputs;
import org.agatehatch.internal.request.RoutingResult;
import org.agatehatch.internal.version.RoutingView;

/** The decision core of one entry node, put together as the daemon does it, with this node's own stale view. */
final class EntryNode {
    /** One way between a caller and a node. */
    static final double CLIENT_MILLIS = 3;

    // The figures that the daemon puts its parts together with.
    private static final double LONGEST_ENGINE_QUEUE_MILLIS = 200;
    private static final double TOKENS_PER_REQUEST = 500;
    private static final double TOKENS_PER_SECOND_PER_HOME = 4_000;
    private static final long MAX_PREFIXES = 10_000;
    private static final long CACHE_SILENCE_MILLIS = 10_000;
    private static final double USAGE_SECONDS = 10;
    private static final long USAGE_SILENCE_MILLIS = 30_000;
    private static final double BUSY_RETRY_MILLIS = 20;
    private static final int MAX_ATTEMPTS = 3;
    /** More than any run has, since evictions of the index depend on chance that no seed controls. */
    private static final long PREFIX_BLOCKS = 4_000_000;

    private final String name;
    private final String failureDomain;
    private final Parts parts;
    private final RunnerLoadTrackers trackers;
    private final PrefixIndex prefixIndex;
    private final PrefixAffinity affinity;
    private final BackendServerHealth health;
    private final AdapterLoadBudget adapterLoads;
    private final OwnerUsage usage;
    private final AdmissionQueue queue;
    private final Router router;
    private final Map<QueueTicket, ExperimentRequest> waiting = new HashMap<>();
    private final Map<String, Long> demandTokens = new HashMap<>();
    private RoutingView view;
    private boolean pumping;

    /** What all nodes of a run share. */
    record Parts(
            Deployment deployment,
            ExperimentSettings settings,
            VirtualTime time,
            Map<String, EngineModel> engines,
            int nodes) {}

    EntryNode(String name, String failureDomain, Parts parts, RoutingPolicy policy, Random random) {
        this.name = name;
        this.failureDomain = failureDomain;
        this.parts = parts;
        VirtualTime time = parts.time();
        Catalogue catalogue = parts.deployment().catalogue();
        this.trackers = new RunnerLoadTrackers(time, TOKENS_PER_REQUEST);
        this.prefixIndex = new PrefixIndex(time, PREFIX_BLOCKS, CACHE_SILENCE_MILLIS);
        this.affinity = new PrefixAffinity(time, TOKENS_PER_SECOND_PER_HOME, MAX_PREFIXES);
        this.health = new BackendServerHealth(EjectionPolicy.DEFAULT, time, random::nextDouble);
        health.setServers(catalogue.backendServers().keySet());
        this.adapterLoads = new AdapterLoadBudget(name, time);
        this.usage = new OwnerUsage(time, USAGE_SECONDS, USAGE_SILENCE_MILLIS);
        AdmissionKind admission = parts.settings().admission();
        this.queue = new AdmissionQueue(
                Deployment.POOL,
                AdmissionLimits.DEFAULT,
                admission.policy(),
                admission.holdback(),
                new OwnerShares(() -> catalogue, usage),
                time);
        boolean asReported = parts.settings().policy() == PolicyKind.LEAST_LOAD;
        RouterInputs inputs = new RouterInputs(
                () -> view,
                trackers::getOrCreate,
                asReported ? RunnerLoadTracker::reportedLoad : RunnerLoadTracker::estimate,
                prefixIndex,
                affinity,
                pool -> health,
                pool -> adapterLoads,
                this::distanceMillis,
                parts::nodes);
        this.router = new Router(inputs, policy, FirstTokenModel.DEFAULT, random::nextInt, LONGEST_ENGINE_QUEUE_MILLIS);
    }

    String name() {
        return name;
    }

    RunnerLoadTrackers trackers() {
        return trackers;
    }

    PrefixIndex prefixIndex() {
        return prefixIndex;
    }

    OwnerUsage usage() {
        return usage;
    }

    AdapterLoadBudget adapterLoads() {
        return adapterLoads;
    }

    void view(RoutingView next) {
        view = next;
    }

    /** Returns tokens per resident model since the last call. */
    Map<String, Long> takeDemand() {
        Map<String, Long> taken = new HashMap<>(demandTokens);
        demandTokens.clear();
        return taken;
    }

    private double distanceMillis(BackendServer server) {
        return parts.deployment().distanceMillis(failureDomain, server);
    }

    /** Takes a request from a caller. */
    void receive(ExperimentRequest request) {
        demandTokens.merge(request.entry.residentModel(), (long) request.promptTokens, Long::sum);
        offer(request);
        pump();
    }

    /** Refuses what waited too long and dispatches what has room. */
    void tick() {
        if (!waiting.isEmpty()) {
            queue.expire();
            pump();
        }
    }

    private void offer(ExperimentRequest request) {
        long arrivedNanos = request.sentNanos + VirtualTime.nanos(CLIENT_MILLIS);
        AdmissionRequest admission = new AdmissionRequest(
                request.entry.name(),
                request.entry.owner(),
                request.requestClass.priority(),
                request.promptTokens + request.entry.maxOutputTokens(),
                request.promptBytes(),
                arrivedNanos + VirtualTime.nanos(request.requestClass.firstTokenMillis()));
        QueueTicket[] ticket = new QueueTicket[1];
        QueuedRequest queued = new QueuedRequest(
                admission,
                parts.settings().admission() == AdmissionKind.DEADLINE
                        ? admission.firstTokenDeadlineNanos()
                        : arrivedNanos + VirtualTime.nanos(request.requestClass.wholeAnswerMillis()),
                () -> true,
                error -> {
                    waiting.remove(ticket[0]);
                    refuse(request);
                });
        try {
            ticket[0] = queue.offer(queued, router.load(routeRequest(request, Set.of())));
            waiting.put(ticket[0], request);
        } catch (AgatehatchException e) {
            refuse(request);
        }
    }

    private static void refuse(ExperimentRequest request) {
        request.settle(request.tokens() == 0 ? Metrics.Outcome.REFUSED : Metrics.Outcome.FAILED);
    }

    private static RoutingRequest routing(ExperimentRequest request) {
        return new RoutingRequest(
                request.entry.name(),
                request.adapter(),
                request.entry.owner(),
                request.requestClass.priority(),
                request.promptTokens,
                PromptBlocks.prefixHash(request.promptBlocks),
                request.sentNanos + VirtualTime.nanos(CLIENT_MILLIS + request.requestClass.firstTokenMillis()));
    }

    private static AttemptRoutingRequest routeRequest(ExperimentRequest request, Set<String> tried) {
        return new AttemptRoutingRequest(routing(request), request.promptBlocks, request.promptBytes(), tried);
    }

    private void pump() {
        if (pumping) {
            return;
        }
        pumping = true;
        boolean holdsBack = parts.settings().admission().holdsBack();
        Optional<QueueTicket> next = poll(holdsBack);
        while (next.isPresent()) {
            dispatch(next.get(), waiting.remove(next.get()));
            next = poll(holdsBack);
        }
        pumping = false;
    }

    private Optional<QueueTicket> poll(boolean holdsBack) {
        if (waiting.isEmpty()) {
            return Optional.empty();
        }
        double saturation = holdsBack ? router.saturation(Deployment.POOL) : 0;
        return queue.poll(request -> router.hasRoom(request.entry()), saturation);
    }

    private void dispatch(QueueTicket ticket, ExperimentRequest request) {
        RoutingResult route = router.route(routeRequest(request, request.tried));
        if (route.decision().isEmpty() && !request.tried.isEmpty()) {
            request.tried.clear();
            route = router.route(routeRequest(request, request.tried));
        }
        if (route.decision().isEmpty()) {
            queue.finished(ticket);
            refuse(request);
            return;
        }
        Candidate candidate = route.decision().get().candidate();
        if (!health.tryStart(candidate.server().name())) {
            queue.finished(ticket);
            parts.time().after(BUSY_RETRY_MILLIS, () -> {
                offer(request);
                pump();
            });
            return;
        }
        Attempt attempt = new Attempt(ticket, request, candidate);
        double distance = distanceMillis(candidate.server());
        EngineModel engine = parts.engines().get(candidate.server().name());
        parts.time().after(distance, () -> engine.submit(new EngineJob(request, distance + CLIENT_MILLIS, attempt)));
    }

    /** Reports one attempt to the queue, the load estimate, the health and the usage. */
    private final class Attempt implements EngineJob.Listener {
        private final QueueTicket ticket;
        private final ExperimentRequest request;
        private final String server;
        private final double distanceMillis;
        private final long sentNanos = parts.time().nanos();
        private final RunnerLoadTracker.SentRequest sent;
        private boolean slot;

        Attempt(QueueTicket ticket, ExperimentRequest request, Candidate candidate) {
            this.ticket = ticket;
            this.request = request;
            this.server = candidate.server().name();
            this.distanceMillis = candidate.distanceMillis();
            request.startAttempt();
            this.sent = trackers.getOrCreate(server).recordSent(candidate.uncachedTokens(request.promptTokens));
            prefixIndex.recordSent(server, request.promptBlocks);
            affinity.recordRequest(PromptBlocks.prefixHash(request.promptBlocks), request.promptTokens);
            boolean loading = request.adapter().isPresent() && !candidate.adapterResident();
            this.slot = loading && adapterLoads.tryAcquire();
        }

        private double elapsedMillis() {
            return (parts.time().nanos() - sentNanos) / 1e6;
        }

        private void releaseSlot() {
            if (slot) {
                slot = false;
                adapterLoads.release();
            }
        }

        @Override
        public void firstToken() {
            parts.time().after(distanceMillis, () -> {
                sent.markStarted();
                health.recordSuccess(server, elapsedMillis());
                releaseSlot();
            });
        }

        @Override
        public void finished() {
            parts.time().after(distanceMillis, () -> {
                LoadEstimate load = trackers.getOrCreate(server).estimate();
                end();
                demandTokens.merge(request.entry.residentModel(), (long) request.outputTokens, Long::sum);
                usage.recordUsage(
                        request.entry.owner(),
                        elapsedMillis() / Math.max(1, load.runningRequests()),
                        request.outputTokens);
                request.answered();
                pump();
            });
        }

        @Override
        public void failed(boolean ran) {
            parts.time().after(distanceMillis, () -> {
                end();
                if (ran) {
                    health.recordFailure(server);
                } else {
                    health.recordInconclusive(server);
                }
                request.tried.add(server);
                if (request.attempts() >= MAX_ATTEMPTS) {
                    refuse(request);
                } else {
                    offer(request);
                }
                pump();
            });
        }

        private void end() {
            sent.markFinished();
            releaseSlot();
            queue.finished(ticket);
        }
    }
}
