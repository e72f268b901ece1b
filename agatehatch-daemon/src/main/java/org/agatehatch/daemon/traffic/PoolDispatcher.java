package org.agatehatch.daemon.traffic;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.routing.AdmissionRequest;
import org.agatehatch.api.routing.Candidate;
import org.agatehatch.api.routing.PromptBlocks;
import org.agatehatch.api.routing.RoutingRequest;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.process.PoisonRequestTable.Verdict;
import org.agatehatch.internal.request.AdmissionQueue;
import org.agatehatch.internal.request.AttemptRoutingRequest;
import org.agatehatch.internal.request.AttemptState;
import org.agatehatch.internal.request.QueueTicket;
import org.agatehatch.internal.request.QueuedRequest;
import org.agatehatch.internal.request.Router;
import org.agatehatch.internal.request.RoutingResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Queues the requests of one pool and dispatches them when a backend server has capacity. */
final class PoolDispatcher implements BackendChooser {
    private static final Logger log = LoggerFactory.getLogger("org.agatehatch.decision.route");
    private static final int MAX_DISPATCHES_PER_PASS = 256;

    private final String pool;
    private final AdmissionQueue queue;
    private final Router router;
    private final PoolContext context;
    private final MonotonicClock clock;
    private final AtomicBoolean dispatching = new AtomicBoolean();
    private final AtomicBoolean dispatchRequested = new AtomicBoolean();
    private final Map<QueuedRequest, PendingRequest> waiting = new ConcurrentHashMap<>();

    PoolDispatcher(String pool, AdmissionQueue queue, Router router, PoolContext context, MonotonicClock clock) {
        this.pool = pool;
        this.queue = queue;
        this.router = router;
        this.context = context;
        this.clock = clock;
    }

    @Override
    public CompletionStage<ChosenBackend> choose(RequestContext request, Set<String> tried, AttemptState attemptState) {
        PendingRequest pending =
                new PendingRequest(request, tried, !tried.isEmpty(), attemptState, new CompletableFuture<>());
        if (pending.previouslySent()) {
            requeue(pending);
            return pending.result();
        }
        try {
            offer(pending);
        } catch (AgatehatchException e) {
            return CompletableFuture.failedFuture(e);
        }
        dispatchPending();
        return pending.result();
    }

    /** Rejects queued requests that timed out and dispatches others. Called every few milliseconds. */
    void tick() {
        queue.expire();
        dispatchPending();
    }

    int waitingRequests() {
        return queue.waitingRequests();
    }

    private void offer(PendingRequest pending) {
        RequestContext request = pending.request();
        QueuedRequest queued = register(pending);
        try {
            queue.offer(
                    queued, request.forModel() ? router.load(routeRequest(pending, Set.of())) : context.serviceLoad());
        } catch (AgatehatchException e) {
            waiting.remove(queued);
            throw e;
        }
    }

    /** Queues a request again that was admitted before, and dispatches it unless its deadline has passed. */
    private void requeue(PendingRequest pending) {
        queue.offerAdmitted(register(pending));
        queue.expire();
        dispatchPending();
    }

    private QueuedRequest register(PendingRequest pending) {
        RequestContext request = pending.request();
        AdmissionRequest admission = new AdmissionRequest(
                request.entry(),
                request.owner(),
                request.requestClass().priority(),
                request.expectedTokens(),
                request.bodyBytes(),
                queueDeadlineNanos(pending));
        QueuedRequest queued = new QueuedRequest(
                admission,
                queueDeadlineNanos(pending),
                () -> pending.attemptState().phase() == AttemptState.Phase.QUEUED,
                error -> pending.result().completeExceptionally(error));
        // Registered before it is queued, because another thread may poll it from the queue immediately.
        waiting.put(queued, pending);
        pending.result().whenComplete((chosen, failure) -> waiting.remove(queued));
        return queued;
    }

    /**
     * Returns when the request leaves the queue. A model request that can no longer meet its first-token deadline is
     * removed, which leaves capacity to others. A request that was already sent once stays until the deadline of the
     * whole response, because its caller may have received a part of it.
     */
    private static long queueDeadlineNanos(PendingRequest pending) {
        RequestContext request = pending.request();
        long deadlineNanos = request.deadlineMillis() * 1_000_000;
        return request.forModel() && !pending.previouslySent()
                ? Math.min(request.firstTokenDeadlineNanos(), deadlineNanos)
                : deadlineNanos;
    }

    /**
     * Dispatches on one thread at a time. A concurrent call makes the dispatching thread run another pass. Never throws:
     * an exception would end the attempt whose end triggered the pass, or stop the periodic ticks.
     */
    private void dispatchPending() {
        dispatchRequested.set(true);
        while (dispatchRequested.get() && dispatching.compareAndSet(false, true)) {
            try {
                dispatchRequested.set(false);
                dispatchPass();
            } catch (RuntimeException e) {
                log.error("dispatch of pool '{}' failed; the next tick tries again", pool, e);
            } finally {
                dispatching.set(false);
            }
        }
    }

    private void dispatchPass() {
        for (int i = 0; i < MAX_DISPATCHES_PER_PASS; i++) {
            Optional<QueueTicket> next = queue.poll(this::hasRoom, context.saturation());
            if (next.isEmpty()) {
                return;
            }
            PendingRequest pending = waiting.get(next.get().queued());
            if (pending == null) {
                queue.finished(next.get());
                continue;
            }
            dispatchOrFail(next.get(), pending);
        }
    }

    /** Dispatches a request, or fails it if that throws, for example because its entry left the catalogue. */
    private void dispatchOrFail(QueueTicket ticket, PendingRequest pending) {
        try {
            dispatch(ticket, pending);
        } catch (RuntimeException e) {
            queue.finished(ticket);
            pending.result().completeExceptionally(e);
        }
    }

    private boolean hasRoom(AdmissionRequest request) {
        return !context.isModelPool() || router.hasRoom(request.entry());
    }

    private void dispatch(QueueTicket ticket, PendingRequest pending) {
        RoutingResult route = route(pending);
        // A request that waits for a server tries many times a second, and only its first and last decision are of
        // interest.
        boolean waitsAgain = route.decision().isEmpty()
                && pending.previouslySent()
                && pending.tried().isEmpty();
        if (log.isInfoEnabled() && !waitsAgain) {
            log.info("request={} pool={} {}", pending.request().requestId(), pool, route.logLine());
        }
        if (route.decision().isEmpty() && pending.previouslySent()) {
            // An attempt failed at every candidate. Until the deadline of the response, a candidate may recover or a
            // new
            // replica become ready.
            queue.finished(ticket);
            context.scheduleRetry(() -> requeue(pending.withoutTriedServers()));
            return;
        }
        if (route.decision().isEmpty()) {
            queue.finished(ticket);
            pending.result().completeExceptionally(noBackendServer(pending.request()));
            return;
        }
        Candidate candidate = route.decision().get().candidate();
        BackendServer server = candidate.server();
        Verdict verdict = context.suspicion(pending.request(), server.name());
        if (verdict instanceof Verdict.Quarantined quarantined) {
            queue.finished(ticket);
            pending.result().completeExceptionally(quarantineError(quarantined));
            return;
        }
        boolean mayDispatch =
                !(verdict instanceof Verdict.Busy) && context.health().tryStart(server.name());
        if (!mayDispatch) {
            queue.finished(ticket);
            context.scheduleRetry(() -> requeue(pending));
            return;
        }
        Attempt attempt = new Attempt(ticket, pending.request(), candidate);
        if (!pending.result().complete(new ChosenBackend(server, attempt))) {
            attempt.onAttemptEnd(AttemptResult.CANCELLED);
        }
    }

    private RoutingResult route(PendingRequest pending) {
        RequestContext request = pending.request();
        RoutingRequest routingRequest = routingRequest(request);
        if (!request.forModel()) {
            RoutingResult first = router.routeService(routingRequest, pending.tried());
            return first.decision().isPresent() ? first : router.routeService(routingRequest, Set.of());
        }
        return router.route(routeRequest(pending, pending.tried()));
    }

    private static AttemptRoutingRequest routeRequest(PendingRequest pending, Set<String> tried) {
        RequestContext request = pending.request();
        return new AttemptRoutingRequest(routingRequest(request), request.promptBlocks(), request.promptBytes(), tried);
    }

    private static RoutingRequest routingRequest(RequestContext request) {
        return new RoutingRequest(
                request.entry(),
                request.adapter(),
                request.owner(),
                request.requestClass().priority(),
                request.promptTokens(),
                PromptBlocks.prefixHash(request.promptBlocks()),
                request.firstTokenDeadlineNanos());
    }

    private AgatehatchException noBackendServer(RequestContext request) {
        return new AgatehatchException(
                        ErrorCode.NO_BACKEND_SERVER,
                        "route",
                        "self",
                        Outcome.NOT_RUN,
                        "no backend server of pool '" + pool + "' can serve '" + request.entry()
                                + "' now; retry after the time in Retry-After")
                .withRetryAfterMillis(1_000);
    }

    private static AgatehatchException quarantineError(Verdict.Quarantined verdict) {
        return new AgatehatchException(
                        ErrorCode.REQUEST_QUARANTINED,
                        "route",
                        "self",
                        Outcome.NOT_RUN,
                        "backend servers crashed while they ran this request or others whose prompts begin like its own; change the"
                                + " request, or retry later")
                .withRetryAfterMillis(verdict.remainingMillis());
    }

    private record PendingRequest(
            RequestContext request,
            Set<String> tried,
            boolean previouslySent,
            AttemptState attemptState,
            CompletableFuture<ChosenBackend> result) {
        private PendingRequest withoutTriedServers() {
            return new PendingRequest(request, Set.of(), true, attemptState, result);
        }
    }

    /** Reports the progress of one attempt to the queue and the {@link PoolContext}. */
    private final class Attempt implements ChosenBackend.AttemptObserver {
        private final QueueTicket ticket;
        private final RequestContext request;
        private final BackendServer server;
        private final PoolContext.SentAttempt sentAttempt;
        private final long sentNanos = clock.nanos();
        private final AtomicBoolean firstFrameSeen = new AtomicBoolean();
        private final AtomicBoolean ended = new AtomicBoolean();

        private Attempt(QueueTicket ticket, RequestContext request, Candidate candidate) {
            this.ticket = ticket;
            this.request = request;
            this.server = candidate.server();
            this.sentAttempt = context.attemptStarted(request, candidate);
        }

        @Override
        public void onFirstFrame() {
            if (firstFrameSeen.compareAndSet(false, true)) {
                sentAttempt.onFirstFrame((clock.nanos() - sentNanos) / 1e6);
            }
        }

        @Override
        public void onAttemptEnd(AttemptResult result) {
            if (!ended.compareAndSet(false, true)) {
                return;
            }
            queue.finished(ticket);
            sentAttempt.onAttemptEnd(result, (clock.nanos() - sentNanos) / 1e6);
            log.info(
                    "attempt request={} server={} result={} millis={}",
                    request.requestId(),
                    server.name(),
                    result,
                    (clock.nanos() - sentNanos) / 1_000_000);
            dispatchPending();
        }
    }
}
