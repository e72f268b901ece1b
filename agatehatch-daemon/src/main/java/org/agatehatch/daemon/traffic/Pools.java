package org.agatehatch.daemon.traffic;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.Pool;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.routing.AdmissionPolicy;
import org.agatehatch.api.routing.DefaultRoutingPolicy;
import org.agatehatch.api.routing.FirstTokenModel;
import org.agatehatch.internal.connection.BackendServerHealth;
import org.agatehatch.internal.connection.EjectionPolicy;
import org.agatehatch.internal.connection.LeavingSource;
import org.agatehatch.internal.connection.RunnerLoadTracker;
import org.agatehatch.internal.process.AdapterLoadBudget;
import org.agatehatch.internal.request.AdmissionLimits;
import org.agatehatch.internal.request.AdmissionQueue;
import org.agatehatch.internal.request.AttemptState;
import org.agatehatch.internal.request.HoldbackPolicy;
import org.agatehatch.internal.request.Router;
import org.agatehatch.internal.request.RouterInputs;
import org.apache.pekko.actor.Scheduler;
import scala.concurrent.ExecutionContext;

/** The queues and the health of all pools at this node. */
public final class Pools implements BackendChooser {
    /** Runners with a longer queue get no further requests; these wait here, where priorities and shares count. */
    private static final double LONGEST_ENGINE_QUEUE_MILLIS = 200;

    private final String node;
    private final TrafficParts parts;
    private final Router router;
    private final Scheduler scheduler;
    private final ExecutionContext executor;
    private final Map<String, BackendServerHealth> healthByPool = new ConcurrentHashMap<>();
    private final Map<String, AdapterLoadBudget> adapterLoadsByPool = new ConcurrentHashMap<>();
    private final Map<String, PoolChooser> choosers = new ConcurrentHashMap<>();

    public Pools(String node, TrafficParts parts, Scheduler scheduler, ExecutionContext executor) {
        this.node = node;
        this.parts = parts;
        this.scheduler = scheduler;
        this.executor = executor;
        RouterInputs inputs = new RouterInputs(
                parts.view(),
                parts.trackers()::getOrCreate,
                RunnerLoadTracker::estimate,
                parts.prefixIndex(),
                parts.prefixAffinity(),
                this::health,
                this::adapterLoads,
                parts.distanceMillis(),
                parts.liveNodes());
        this.router = new Router(
                inputs,
                new DefaultRoutingPolicy(FirstTokenModel.DEFAULT, TrafficParts::randomFraction),
                FirstTokenModel.DEFAULT,
                bound -> ThreadLocalRandom.current().nextInt(bound),
                LONGEST_ENGINE_QUEUE_MILLIS);
    }

    @Override
    public CompletionStage<Chosen> choose(ChoiceRequest request, Set<String> tried, AttemptState attemptState) {
        Pool pool = parts.view().get().catalogue().pools().get(request.pool());
        if (pool == null) {
            return CompletableFuture.failedFuture(new AgatehatchException(
                    ErrorCode.NO_BACKEND_SERVER,
                    "route",
                    "self",
                    Outcome.NOT_RUN,
                    "pool '" + request.pool() + "' is no longer in the catalogue; send the request again"));
        }
        return choosers.computeIfAbsent(pool.name(), name -> newChooser(pool)).choose(request, tried, attemptState);
    }

    /** Does what is due in all queues. Called every few milliseconds. */
    public void tick() {
        choosers.values().forEach(PoolChooser::tick);
    }

    /** Takes over the servers of a new catalogue version. */
    public void catalogue(Catalogue catalogue) {
        for (String pool : catalogue.pools().keySet()) {
            List<String> servers = catalogue.backendServers().values().stream()
                    .filter(server -> server.pool().equals(pool))
                    .map(BackendServer::name)
                    .toList();
            health(pool).setServers(servers);
        }
        parts.trackers().retain(catalogue.backendServers().keySet());
    }

    /** Notes that a backend server leaves, or that a source no longer says so. */
    public void leaving(BackendServer server, LeavingSource source, boolean leaving) {
        health(server.pool()).setLeaving(server.name(), source, leaving);
    }

    /** Returns the adapter loads that this node may have in flight in a pool. */
    public AdapterLoadBudget adapterLoads(String pool) {
        return adapterLoadsByPool.computeIfAbsent(pool, name -> new AdapterLoadBudget(node, parts.clock()));
    }

    /** Returns the names of the pools that this node has queues for. */
    public Collection<String> active() {
        return choosers.keySet();
    }

    /** Returns the number of requests that wait in all queues. */
    public int waitingRequests() {
        return choosers.values().stream().mapToInt(PoolChooser::waitingRequests).sum();
    }

    private BackendServerHealth health(String pool) {
        return healthByPool.computeIfAbsent(
                pool,
                name -> new BackendServerHealth(EjectionPolicy.DEFAULT, parts.clock(), TrafficParts::randomFraction));
    }

    private PoolChooser newChooser(Pool pool) {
        AdmissionQueue queue = new AdmissionQueue(
                pool.name(),
                AdmissionLimits.DEFAULT,
                AdmissionPolicy.deadlineAware(),
                HoldbackPolicy.none(),
                parts.shares(),
                parts.clock());
        PoolTraffic traffic = new PoolTraffic(
                pool.name(),
                pool.kind(),
                parts,
                health(pool.name()),
                adapterLoads(pool.name()),
                router,
                scheduler,
                executor);
        return new PoolChooser(pool.name(), queue, router, traffic, parts.clock());
    }
}
