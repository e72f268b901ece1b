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

/** The dispatchers and the backend server health of all pools at this node. */
public final class PoolDispatchers implements BackendChooser {
    /** Runners with a longer queue get no requests: these wait in the pool queue, where priorities and shares apply. */
    private static final double MAX_ENGINE_QUEUE_MILLIS = 200;

    private final String node;
    private final TrafficDependencies dependencies;
    private final Router router;
    private final Scheduler scheduler;
    private final ExecutionContext executor;
    private final Map<String, BackendServerHealth> healthByPool = new ConcurrentHashMap<>();
    private final Map<String, AdapterLoadBudget> adapterLoadsByPool = new ConcurrentHashMap<>();
    private final Map<String, PoolDispatcher> dispatchersByPool = new ConcurrentHashMap<>();

    public PoolDispatchers(
            String node, TrafficDependencies dependencies, Scheduler scheduler, ExecutionContext executor) {
        this.node = node;
        this.dependencies = dependencies;
        this.scheduler = scheduler;
        this.executor = executor;
        RouterInputs inputs = new RouterInputs(
                dependencies.view(),
                dependencies.trackers()::getOrCreate,
                RunnerLoadTracker::estimate,
                dependencies.prefixIndex(),
                dependencies.prefixAffinity(),
                this::health,
                this::adapterLoads,
                dependencies.distanceMillis(),
                dependencies.liveNodes());
        this.router = new Router(
                inputs,
                new DefaultRoutingPolicy(FirstTokenModel.DEFAULT, TrafficDependencies::randomFraction),
                FirstTokenModel.DEFAULT,
                bound -> ThreadLocalRandom.current().nextInt(bound),
                MAX_ENGINE_QUEUE_MILLIS);
    }

    @Override
    public CompletionStage<ChosenBackend> choose(RequestContext request, Set<String> tried, AttemptState attemptState) {
        Pool pool = dependencies.view().get().catalogue().pools().get(request.pool());
        if (pool == null) {
            return CompletableFuture.failedFuture(new AgatehatchException(
                    ErrorCode.NO_BACKEND_SERVER,
                    "route",
                    "self",
                    Outcome.NOT_RUN,
                    "pool '" + request.pool() + "' is no longer in the catalogue; send the request again"));
        }
        return dispatchersByPool
                .computeIfAbsent(pool.name(), name -> newDispatcher(pool))
                .choose(request, tried, attemptState);
    }

    /** Expires and dispatches queued requests of all pools. Called every few milliseconds. */
    public void tick() {
        dispatchersByPool.values().forEach(PoolDispatcher::tick);
    }

    /** Updates the backend servers of all pools to a new catalogue version. */
    public void applyCatalogue(Catalogue catalogue) {
        for (String pool : catalogue.pools().keySet()) {
            List<String> servers = catalogue.backendServers().values().stream()
                    .filter(server -> server.pool().equals(pool))
                    .map(BackendServer::name)
                    .toList();
            health(pool).setServers(servers);
        }
        dependencies.trackers().retain(catalogue.backendServers().keySet());
    }

    /** Records whether a source reports that a backend server is leaving. */
    public void setLeaving(BackendServer server, LeavingSource source, boolean leaving) {
        health(server.pool()).setLeaving(server.name(), source, leaving);
    }

    /** Returns the budget of adapter loads that this node may have in flight in a pool. */
    public AdapterLoadBudget adapterLoads(String pool) {
        return adapterLoadsByPool.computeIfAbsent(pool, name -> new AdapterLoadBudget(node, dependencies.clock()));
    }

    /** Returns the names of the pools that have had requests at this node. */
    public Collection<String> activePools() {
        return dispatchersByPool.keySet();
    }

    /** Returns the number of queued requests of all pools. */
    public int waitingRequests() {
        return dispatchersByPool.values().stream()
                .mapToInt(PoolDispatcher::waitingRequests)
                .sum();
    }

    private BackendServerHealth health(String pool) {
        return healthByPool.computeIfAbsent(
                pool,
                name -> new BackendServerHealth(
                        EjectionPolicy.DEFAULT, dependencies.clock(), TrafficDependencies::randomFraction));
    }

    private PoolDispatcher newDispatcher(Pool pool) {
        AdmissionQueue queue = new AdmissionQueue(
                pool.name(),
                AdmissionLimits.DEFAULT,
                AdmissionPolicy.deadlineAware(),
                HoldbackPolicy.none(),
                dependencies.shares(),
                dependencies.clock());
        NodePoolContext context = new NodePoolContext(
                pool.name(),
                pool.kind(),
                dependencies,
                health(pool.name()),
                adapterLoads(pool.name()),
                router,
                scheduler,
                executor);
        return new PoolDispatcher(pool.name(), queue, router, context, dependencies.clock());
    }
}
