package org.agatehatch.daemon.traffic;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.ModelEntry;
import org.agatehatch.api.catalogue.PoolKind;
import org.agatehatch.api.routing.Candidate;
import org.agatehatch.api.routing.PromptBlocks;
import org.agatehatch.internal.connection.BackendServerHealth;
import org.agatehatch.internal.connection.RunnerLoadTracker;
import org.agatehatch.internal.process.AccountCounters;
import org.agatehatch.internal.process.AdapterLoadBudget;
import org.agatehatch.internal.process.PoisonRequestTable;
import org.agatehatch.internal.request.AttemptId;
import org.agatehatch.internal.request.PoolLoad;
import org.agatehatch.internal.request.Router;
import org.apache.pekko.actor.Scheduler;
import scala.concurrent.ExecutionContext;

/** {@link PoolContext} over the shared state of the node. */
final class NodePoolContext implements PoolContext {
    private static final Duration RETRY_DELAY = Duration.ofMillis(20);
    private static final double FULL = 1;

    private final String pool;
    private final PoolKind kind;
    private final TrafficDependencies dependencies;
    private final BackendServerHealth health;
    private final AdapterLoadBudget adapterLoads;
    private final Router router;
    private final Scheduler scheduler;
    private final ExecutionContext executor;

    NodePoolContext(
            String pool,
            PoolKind kind,
            TrafficDependencies dependencies,
            BackendServerHealth health,
            AdapterLoadBudget adapterLoads,
            Router router,
            Scheduler scheduler,
            ExecutionContext executor) {
        this.pool = pool;
        this.kind = kind;
        this.dependencies = dependencies;
        this.health = health;
        this.adapterLoads = adapterLoads;
        this.router = router;
        this.scheduler = scheduler;
        this.executor = executor;
    }

    @Override
    public boolean isModelPool() {
        return kind == PoolKind.MODEL;
    }

    @Override
    public double saturation() {
        return isModelPool() ? router.saturation(pool) : 1 - FULL;
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
        return dependencies.suspicions().check(request, backendServer);
    }

    @Override
    public SentAttempt attemptStarted(RequestContext request, Candidate candidate) {
        String server = candidate.server().name();
        AttemptId suspicionId = AttemptId.random(ThreadLocalRandom.current());
        dependencies.suspicions().started(suspicionId, request, candidate.server());
        RunnerLoadTracker.SentRequest sentRequest = dependencies
                .trackers()
                .getOrCreate(server)
                .recordSent(candidate.uncachedTokens(request.promptTokens()));
        if (request.forModel()) {
            dependencies.prefixIndex().recordSent(server, request.promptBlocks());
            dependencies
                    .prefixAffinity()
                    .recordRequest(PromptBlocks.prefixHash(request.promptBlocks()), request.promptTokens());
        }
        boolean loadsAdapter = request.adapter().isPresent() && !candidate.adapterResident();
        boolean holdsAdapterLoad = loadsAdapter && adapterLoads.tryAcquire();
        return new TrackedAttempt(request, candidate.server(), suspicionId, sentRequest, holdsAdapterLoad);
    }

    @Override
    public void scheduleRetry(Runnable task) {
        scheduler.scheduleOnce(RETRY_DELAY, task, executor);
    }

    /** Returns the number of accelerators that one replica of the model occupies; 0 for a plain service. */
    private int acceleratorsPerReplica(RequestContext request) {
        return request.residentModel()
                .flatMap(name -> Optional.ofNullable(
                        dependencies.view().get().catalogue().models().get(name)))
                .map(ModelEntry::accelerators)
                .orElse(0);
    }

    private final class TrackedAttempt implements SentAttempt {
        private final RequestContext request;
        private final BackendServer server;
        private final AttemptId suspicionId;
        private final RunnerLoadTracker.SentRequest sentRequest;
        private boolean holdsAdapterLoad;

        private TrackedAttempt(
                RequestContext request,
                BackendServer server,
                AttemptId suspicionId,
                RunnerLoadTracker.SentRequest sentRequest,
                boolean holdsAdapterLoad) {
            this.request = request;
            this.server = server;
            this.suspicionId = suspicionId;
            this.sentRequest = sentRequest;
            this.holdsAdapterLoad = holdsAdapterLoad;
        }

        @Override
        public void onFirstFrame(double elapsedMillis) {
            sentRequest.markStarted();
            dependencies.suspicions().begun(suspicionId);
            health.recordSuccess(server.name(), elapsedMillis);
            releaseAdapterLoad();
        }

        @Override
        public void onAttemptEnd(AttemptResult result, double elapsedMillis) {
            sentRequest.markFinished();
            releaseAdapterLoad();
            dependencies.suspicions().finished(suspicionId, result == AttemptResult.ANSWERED);
            dependencies.metrics().countAttempt(result.name().toLowerCase(Locale.ROOT));
            switch (result) {
                case ANSWERED -> recordAcceleratorTime(elapsedMillis);
                case UNREACHABLE -> {
                    health.recordFailure(server.name());
                    reportMissingReplica();
                }
                case NOT_RESIDENT -> {
                    health.recordInconclusive(server.name());
                    reportMissingReplica();
                }
                case BROKEN -> health.recordFailure(server.name());
                case LEAVING -> dependencies.onLeavingRefusal().accept(server);
                case REFUSED, CANCELLED -> health.recordInconclusive(server.name());
            }
        }

        private void reportMissingReplica() {
            request.residentModel()
                    .ifPresent(model -> dependencies.onMissingReplica().accept(model, server.name()));
        }

        /** Counts the attempt's part of the accelerator time, which all requests running at the runner share. */
        private void recordAcceleratorTime(double elapsedMillis) {
            double batchSize = Math.max(
                    1,
                    dependencies
                            .trackers()
                            .getOrCreate(server.name())
                            .estimate()
                            .runningRequests());
            double acceleratorMillis = elapsedMillis * acceleratorsPerReplica(request) / batchSize;
            long rounded = Math.round(acceleratorMillis);
            dependencies.usage().recordUsage(request.owner(), acceleratorMillis, 0);
            dependencies.accounts().count(request.owner(), new AccountCounters(0, 0, 0, 0, rounded));
            dependencies.accounts().count(server.owner(), new AccountCounters(0, 0, 0, rounded, 0));
        }

        private synchronized void releaseAdapterLoad() {
            if (holdsAdapterLoad) {
                holdsAdapterLoad = false;
                adapterLoads.release();
            }
        }
    }
}
