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

/** What the queue of one pool reads and reports. */
final class PoolTraffic implements PoolState {
    private static final Duration BUSY_RETRY = Duration.ofMillis(20);
    private static final double FULL = 1;

    private final String pool;
    private final PoolKind kind;
    private final TrafficParts parts;
    private final BackendServerHealth health;
    private final AdapterLoadBudget adapterLoads;
    private final Router router;
    private final Scheduler scheduler;
    private final ExecutionContext executor;

    PoolTraffic(
            String pool,
            PoolKind kind,
            TrafficParts parts,
            BackendServerHealth health,
            AdapterLoadBudget adapterLoads,
            Router router,
            Scheduler scheduler,
            ExecutionContext executor) {
        this.pool = pool;
        this.kind = kind;
        this.parts = parts;
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
    public PoisonRequestTable.Verdict suspicion(long fingerprint, String backendServer) {
        return parts.suspicions().check(fingerprint, backendServer);
    }

    @Override
    public Started start(ChoiceRequest request, Candidate candidate) {
        String server = candidate.server().name();
        AttemptId suspect = AttemptId.random(ThreadLocalRandom.current());
        parts.suspicions().started(suspect, request.fingerprint(), server);
        RunnerLoadTracker.SentRequest sent =
                parts.trackers().getOrCreate(server).recordSent(candidate.uncachedTokens(request.promptTokens()));
        if (request.model()) {
            parts.prefixIndex().recordSent(server, request.promptBlocks());
            parts.prefixAffinity()
                    .recordRequest(PromptBlocks.prefixHash(request.promptBlocks()), request.promptTokens());
        }
        boolean loading = request.adapter().isPresent() && !candidate.adapterResident();
        boolean slot = loading && adapterLoads.tryAcquire();
        return new StartedAttempt(request, candidate.server(), suspect, sent, slot);
    }

    @Override
    public void later(Runnable task) {
        scheduler.scheduleOnce(BUSY_RETRY, task, executor);
    }

    /** Accelerators that one replica of the entry's model occupies. */
    private int accelerators(ChoiceRequest request) {
        return request.residentModel()
                .flatMap(name -> Optional.ofNullable(
                        parts.view().get().catalogue().models().get(name)))
                .map(ModelEntry::accelerators)
                .orElse(0);
    }

    private final class StartedAttempt implements Started {
        private final ChoiceRequest request;
        private final BackendServer server;
        private final AttemptId suspect;
        private final RunnerLoadTracker.SentRequest sent;
        private boolean slot;

        private StartedAttempt(
                ChoiceRequest request,
                BackendServer server,
                AttemptId suspect,
                RunnerLoadTracker.SentRequest sent,
                boolean slot) {
            this.request = request;
            this.server = server;
            this.suspect = suspect;
            this.sent = sent;
            this.slot = slot;
        }

        @Override
        public void answerBegan(double elapsedMillis) {
            sent.markStarted();
            health.recordSuccess(server.name(), elapsedMillis);
            releaseSlot();
        }

        @Override
        public void ended(AttemptResult result, double elapsedMillis) {
            sent.markFinished();
            releaseSlot();
            parts.suspicions().finished(suspect, result == AttemptResult.ANSWERED);
            parts.metrics().attempt(result.name().toLowerCase(Locale.ROOT));
            switch (result) {
                case ANSWERED -> account(elapsedMillis);
                case UNREACHABLE -> {
                    health.recordFailure(server.name());
                    missing();
                }
                case NOT_RESIDENT -> {
                    health.recordInconclusive(server.name());
                    missing();
                }
                case BROKEN -> health.recordFailure(server.name());
                case LEAVING -> parts.refusedAsLeaving().accept(server);
                case REFUSED, CANCELLED -> health.recordInconclusive(server.name());
            }
        }

        private void missing() {
            request.residentModel().ifPresent(model -> parts.missingReplica().accept(model, server.name()));
        }

        /** Accelerator time is shared by the requests of a batch; each request counts its part of the batch. */
        private void account(double elapsedMillis) {
            double batch =
                    Math.max(1, parts.trackers().getOrCreate(server.name()).estimate().runningRequests());
            double acceleratorMillis = elapsedMillis * accelerators(request) / batch;
            long rounded = Math.round(acceleratorMillis);
            parts.usage().recordUsage(request.owner(), acceleratorMillis, 0);
            parts.accounts().count(request.owner(), new AccountCounters(0, 0, 0, 0, rounded));
            parts.accounts().count(server.owner(), new AccountCounters(0, 0, 0, rounded, 0));
        }

        private synchronized void releaseSlot() {
            if (slot) {
                slot = false;
                adapterLoads.release();
            }
        }
    }
}
