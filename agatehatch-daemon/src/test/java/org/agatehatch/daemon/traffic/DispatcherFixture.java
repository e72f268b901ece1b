package org.agatehatch.daemon.traffic;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.ModelEntry;
import org.agatehatch.api.catalogue.Owner;
import org.agatehatch.api.catalogue.RequestClass;
import org.agatehatch.api.catalogue.ServiceEntry;
import org.agatehatch.api.engine.LoadReport;
import org.agatehatch.api.routing.AdmissionPolicy;
import org.agatehatch.api.routing.Candidate;
import org.agatehatch.api.routing.DefaultRoutingPolicy;
import org.agatehatch.api.routing.FirstTokenModel;
import org.agatehatch.internal.connection.BackendServerHealth;
import org.agatehatch.internal.connection.EjectionPolicy;
import org.agatehatch.internal.connection.LeavingSource;
import org.agatehatch.internal.connection.PrefixIndex;
import org.agatehatch.internal.connection.RunnerLoadTracker;
import org.agatehatch.internal.connection.RunnerLoadTrackers;
import org.agatehatch.internal.process.AdapterLoadBudget;
import org.agatehatch.internal.process.OwnerShares;
import org.agatehatch.internal.process.OwnerUsage;
import org.agatehatch.internal.process.PoisonRequestTable;
import org.agatehatch.internal.process.PrefixAffinity;
import org.agatehatch.internal.request.AdmissionLimits;
import org.agatehatch.internal.request.AdmissionQueue;
import org.agatehatch.internal.request.AttemptState;
import org.agatehatch.internal.request.HoldbackPolicy;
import org.agatehatch.internal.request.PoolLoad;
import org.agatehatch.internal.request.Router;
import org.agatehatch.internal.request.RouterInputs;
import org.agatehatch.internal.version.RoutingView;

/** The dispatcher of a pool of runners {@code r0} and {@code r1} with two models, under a manual clock. */
final class DispatcherFixture implements PoolContext {
    static final String FIRST_MODEL = "first";
    static final String SECOND_MODEL = "second";
    static final String SERVICE = "desk";
    static final String RUNNER = "r0";
    static final String OTHER_RUNNER = "r1";
    static final String OWNER = "owner";
    static final long FIRST_TOKEN_MILLIS = 1_000;
    static final long DEADLINE_MILLIS = 60_000;
    private static final String POOL = "pool";
    private static final double PREFILL_TOKENS_PER_SECOND = 10_000;
    private static final double MAX_ENGINE_QUEUE_MILLIS = 200;

    long nowNanos;
    long maxTokensPerSecond;
    boolean isModelPool = true;
    boolean saturationFails;
    final Queue<Runnable> retries = new ArrayDeque<>();
    final Map<String, List<String>> runnersByModel = new HashMap<>();
    final OwnerUsage usage = new OwnerUsage(this::now, 10, 30_000);
    private final RunnerLoadTrackers trackers = new RunnerLoadTrackers(this::now, 500);
    private final BackendServerHealth health = new BackendServerHealth(EjectionPolicy.DEFAULT, this::now, () -> 0);
    private final Map<String, ModelEntry> models = new HashMap<>();
    private long reports;

    DispatcherFixture() {
        for (String model : List.of(FIRST_MODEL, SECOND_MODEL)) {
            models.put(
                    model, new ModelEntry(model, Optional.empty(), OWNER, "class", POOL, "v1", 1_000, 1, 1, 100, true));
            runnersByModel.put(model, List.of(RUNNER, OTHER_RUNNER));
        }
        health.setServers(List.of(RUNNER, OTHER_RUNNER));
        reportQueuedTokens(0);
    }

    PoolDispatcher dispatcher() {
        AdapterLoadBudget budget = new AdapterLoadBudget("node", this::now);
        RouterInputs inputs = new RouterInputs(
                this::view,
                trackers::getOrCreate,
                RunnerLoadTracker::estimate,
                new PrefixIndex(this::now, 1_000, 10_000),
                new PrefixAffinity(this::now, 4_000, 100),
                pool -> health,
                pool -> budget,
                server -> 1,
                () -> 1);
        Router router = new Router(
                inputs,
                new DefaultRoutingPolicy(FirstTokenModel.DEFAULT, () -> 0),
                FirstTokenModel.DEFAULT,
                bound -> 0,
                MAX_ENGINE_QUEUE_MILLIS);
        AdmissionQueue queue = new AdmissionQueue(
                POOL,
                AdmissionLimits.DEFAULT,
                AdmissionPolicy.deadlineAware(),
                HoldbackPolicy.none(),
                new OwnerShares(() -> view().catalogue(), usage),
                this::now);
        return new PoolDispatcher(POOL, queue, router, this, this::now);
    }

    CompletableFuture<ChosenBackend> choose(PoolDispatcher dispatcher, String model, Set<String> tried) {
        return dispatcher.choose(request(model), tried, new AttemptState()).toCompletableFuture();
    }

    void reportQueuedTokens(long tokens) {
        reports++;
        for (String runner : List.of(RUNNER, OTHER_RUNNER)) {
            trackers.getOrCreate(runner)
                    .applyReport(new LoadReport(
                            "epoch", reports, 0, tokens, 0, 0, 0, PREFILL_TOKENS_PER_SECOND, 50, 0, Set.of()));
        }
    }

    void removeModel(String model) {
        models.remove(model);
        runnersByModel.remove(model);
    }

    void setLeaving(boolean leaving) {
        health.setLeaving(RUNNER, LeavingSource.VM_LIST, leaving);
        health.setLeaving(OTHER_RUNNER, LeavingSource.VM_LIST, leaving);
    }

    void advanceMillis(long millis) {
        nowNanos += millis * 1_000_000;
    }

    private RequestContext request(String model) {
        return new RequestContext(
                "req-1",
                isModelPool,
                model,
                POOL,
                Optional.of(model),
                Optional.empty(),
                OWNER,
                new RequestClass("class", 50, FIRST_TOKEN_MILLIS, 10_000, DEADLINE_MILLIS),
                new long[0],
                400,
                100,
                200,
                400,
                0,
                DEADLINE_MILLIS,
                1);
    }

    private long now() {
        return nowNanos;
    }

    private RoutingView view() {
        Map<String, BackendServer> servers = new HashMap<>();
        for (String runner : List.of(RUNNER, OTHER_RUNNER)) {
            servers.put(
                    runner, new BackendServer(runner, "127.0.0.1:1", "domain", "region", POOL, OWNER, 1, 65_536, true));
        }
        ServiceEntry service = new ServiceEntry(SERVICE, OWNER, "class", POOL, Set.of("GET"), 1_000);
        Owner owner = new Owner(OWNER, 1, 100, maxTokensPerSecond);
        Catalogue catalogue =
                new Catalogue(1, Map.of(), Map.of(OWNER, owner), Map.of(), servers, models, Map.of(SERVICE, service));
        return new RoutingView(catalogue, Map.of(), Map.copyOf(runnersByModel), Map.of(), Set.of());
    }

    @Override
    public boolean isModelPool() {
        return isModelPool;
    }

    @Override
    public double saturation() {
        if (saturationFails) {
            throw new IllegalStateException("no saturation");
        }
        return 0;
    }

    @Override
    public PoolLoad serviceLoad() {
        return new PoolLoad(0, 0);
    }

    @Override
    public BackendServerHealth health() {
        return health;
    }

    @Override
    public PoisonRequestTable.Verdict suspicion(RequestContext request, String backendServer) {
        return new PoisonRequestTable.Verdict.Allowed();
    }

    @Override
    public SentAttempt attemptStarted(RequestContext request, Candidate candidate) {
        return new SentAttempt() {
            @Override
            public void onFirstFrame(double elapsedMillis) {
                // The tests do not read latencies.
            }

            @Override
            public void onAttemptEnd(AttemptResult result, double elapsedMillis) {
                // The tests read the chosen backend only.
            }
        };
    }

    @Override
    public void scheduleRetry(Runnable task) {
        retries.add(task);
    }
}
