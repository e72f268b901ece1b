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

/** Queues the requests of one pool and routes them when a backend server has room. */
final class PoolChooser implements BackendChooser {
    private static final Logger log = LoggerFactory.getLogger("org.agatehatch.decision.route");
    private static final int MAX_DISPATCHES_PER_PUMP = 256;

    private final String pool;
    private final AdmissionQueue queue;
    private final Router router;
    private final PoolState state;
    private final MonotonicClock clock;
    private final AtomicBoolean pumping = new AtomicBoolean();
    private final AtomicBoolean pumpAgain = new AtomicBoolean();
    private final Map<QueuedRequest, Waiting> waiting = new ConcurrentHashMap<>();

    PoolChooser(String pool, AdmissionQueue queue, Router router, PoolState state, MonotonicClock clock) {
        this.pool = pool;
        this.queue = queue;
        this.router = router;
        this.state = state;
        this.clock = clock;
    }

    @Override
    public CompletionStage<Chosen> choose(ChoiceRequest request, Set<String> tried, AttemptState attemptState) {
        Waiting wait = new Waiting(request, tried, !tried.isEmpty(), attemptState, new CompletableFuture<>());
        try {
            offer(wait);
        } catch (AgatehatchException e) {
            return CompletableFuture.failedFuture(e);
        }
        pump();
        return wait.result();
    }

    /** Refuses what waited too long and dispatches what has room. Called every few milliseconds. */
    void tick() {
        queue.expire();
        pump();
    }

    /** Returns the number of waiting requests. */
    int waitingRequests() {
        return queue.waitingRequests();
    }

    private void offer(Waiting wait) {
        ChoiceRequest request = wait.request();
        AdmissionRequest admission = new AdmissionRequest(
                request.entry(),
                request.owner(),
                request.requestClass().priority(),
                request.expectedTokens(),
                request.bodyBytes(),
                queueDeadlineNanos(wait));
        QueuedRequest queued = new QueuedRequest(
                admission,
                queueDeadlineNanos(wait),
                () -> wait.attemptState().phase() == AttemptState.Phase.QUEUED,
                error -> wait.result().completeExceptionally(error));
        // Known before it is in the queue: another thread may take it from there at once.
        waiting.put(queued, wait);
        wait.result().whenComplete((chosen, failure) -> waiting.remove(queued));
        try {
            queue.offer(queued, request.model() ? router.load(routeRequest(wait, Set.of())) : state.serviceLoad());
        } catch (AgatehatchException e) {
            waiting.remove(queued);
            throw e;
        }
    }

    /**
     * A model's request that can no longer be answered as promised leaves the queue; its work goes to others. A request
     * that was sent before goes on until its whole deadline, since its caller may have got a part of the answer.
     */
    private static long queueDeadlineNanos(Waiting wait) {
        ChoiceRequest request = wait.request();
        long deadlineNanos = request.deadlineMillis() * 1_000_000;
        return request.model() && !wait.repeated()
                ? Math.min(request.firstTokenDeadlineNanos(), deadlineNanos)
                : deadlineNanos;
    }

    /** Lets one thread at a time dispatch; a call meanwhile makes that thread look again. */
    private void pump() {
        pumpAgain.set(true);
        while (pumpAgain.get() && pumping.compareAndSet(false, true)) {
            try {
                pumpAgain.set(false);
                dispatchAll();
            } finally {
                pumping.set(false);
            }
        }
    }

    private void dispatchAll() {
        for (int i = 0; i < MAX_DISPATCHES_PER_PUMP; i++) {
            Optional<QueueTicket> next = queue.poll(this::hasRoom, state.saturation());
            if (next.isEmpty()) {
                return;
            }
            Waiting wait = waiting.get(next.get().queued());
            if (wait == null) {
                queue.finished(next.get());
                continue;
            }
            dispatch(next.get(), wait);
        }
    }

    private boolean hasRoom(AdmissionRequest request) {
        return !state.isModelPool() || router.hasRoom(request.entry());
    }

    private void dispatch(QueueTicket ticket, Waiting wait) {
        RoutingResult route = route(wait);
        if (log.isInfoEnabled()) {
            log.info("request={} pool={} {}", wait.request().requestId(), pool, route.logLine());
        }
        if (route.decision().isEmpty() && !wait.tried().isEmpty()) {
            // All that could take it failed it before; one of them, or a new replica, may take it a moment later.
            queue.finished(ticket);
            state.later(() -> offerAgain(wait.untried()));
            return;
        }
        if (route.decision().isEmpty()) {
            queue.finished(ticket);
            wait.result().completeExceptionally(noServer(wait.request()));
            return;
        }
        Candidate candidate = route.decision().get().candidate();
        BackendServer server = candidate.server();
        Verdict verdict = state.suspicion(wait.request().fingerprint(), server.name());
        if (verdict instanceof Verdict.Quarantined quarantined) {
            queue.finished(ticket);
            wait.result().completeExceptionally(quarantined(quarantined));
            return;
        }
        boolean mayStart = !(verdict instanceof Verdict.Busy) && state.health().tryStart(server.name());
        if (!mayStart) {
            queue.finished(ticket);
            state.later(() -> offerAgain(wait));
            return;
        }
        Attempt attempt = new Attempt(ticket, wait.request(), candidate);
        if (!wait.result().complete(new Chosen(server, attempt))) {
            attempt.finished(AttemptResult.CANCELLED);
        }
    }

    private void offerAgain(Waiting wait) {
        try {
            offer(wait);
            pump();
        } catch (AgatehatchException e) {
            wait.result().completeExceptionally(e);
        }
    }

    private RoutingResult route(Waiting wait) {
        ChoiceRequest request = wait.request();
        RoutingRequest routing = routing(request);
        if (!request.model()) {
            RoutingResult first = router.routeService(routing, wait.tried());
            return first.decision().isPresent() ? first : router.routeService(routing, Set.of());
        }
        return router.route(routeRequest(wait, wait.tried()));
    }

    private static AttemptRoutingRequest routeRequest(Waiting wait, Set<String> tried) {
        ChoiceRequest request = wait.request();
        return new AttemptRoutingRequest(routing(request), request.promptBlocks(), request.promptBytes(), tried);
    }

    private static RoutingRequest routing(ChoiceRequest request) {
        return new RoutingRequest(
                request.entry(),
                request.adapter(),
                request.owner(),
                request.requestClass().priority(),
                request.promptTokens(),
                PromptBlocks.prefixHash(request.promptBlocks()),
                request.firstTokenDeadlineNanos());
    }

    private AgatehatchException noServer(ChoiceRequest request) {
        return new AgatehatchException(
                        ErrorCode.NO_BACKEND_SERVER,
                        "route",
                        "self",
                        Outcome.NOT_RUN,
                        "no backend server of pool '" + pool + "' can take '" + request.entry()
                                + "' now; send it again after the time in Retry-After")
                .withRetryAfterMillis(1_000);
    }

    private static AgatehatchException quarantined(Verdict.Quarantined verdict) {
        return new AgatehatchException(
                        ErrorCode.REQUEST_QUARANTINED,
                        "route",
                        "self",
                        Outcome.NOT_RUN,
                        "backend servers died while they ran this request; change it, or send it again later")
                .withRetryAfterMillis(verdict.remainingMillis());
    }

    private record Waiting(
            ChoiceRequest request,
            Set<String> tried,
            boolean repeated,
            AttemptState attemptState,
            CompletableFuture<Chosen> result) {
        private Waiting untried() {
            return new Waiting(request, Set.of(), true, attemptState, result);
        }
    }

    /** Reports one attempt to the queue, the load estimate, the health, the suspicions and the usage. */
    private final class Attempt implements Chosen.AttemptObserver {
        private final QueueTicket ticket;
        private final ChoiceRequest request;
        private final BackendServer server;
        private final PoolState.Started started;
        private final long sentNanos = clock.nanos();
        private final AtomicBoolean answerBegan = new AtomicBoolean();
        private final AtomicBoolean ended = new AtomicBoolean();

        private Attempt(QueueTicket ticket, ChoiceRequest request, Candidate candidate) {
            this.ticket = ticket;
            this.request = request;
            this.server = candidate.server();
            this.started = state.start(request, candidate);
        }

        @Override
        public void started() {
            if (answerBegan.compareAndSet(false, true)) {
                started.answerBegan((clock.nanos() - sentNanos) / 1e6);
            }
        }

        @Override
        public void finished(AttemptResult result) {
            if (!ended.compareAndSet(false, true)) {
                return;
            }
            queue.finished(ticket);
            started.ended(result, (clock.nanos() - sentNanos) / 1e6);
            log.info(
                    "attempt request={} server={} result={} millis={}",
                    request.requestId(),
                    server.name(),
                    result,
                    (clock.nanos() - sentNanos) / 1_000_000);
            pump();
        }
    }
}
