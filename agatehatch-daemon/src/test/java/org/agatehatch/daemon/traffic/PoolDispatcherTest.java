package org.agatehatch.daemon.traffic;

import static org.testng.Assert.assertEquals;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.RequestClass;
import org.agatehatch.api.catalogue.ServiceEntry;
import org.agatehatch.api.routing.AdmissionPolicy;
import org.agatehatch.api.routing.Candidate;
import org.agatehatch.api.routing.FirstTokenModel;
import org.agatehatch.api.routing.LeastLoadRoutingPolicy;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.connection.BackendServerHealth;
import org.agatehatch.internal.connection.EjectionPolicy;
import org.agatehatch.internal.process.OwnerShares;
import org.agatehatch.internal.process.OwnerUsage;
import org.agatehatch.internal.process.PoisonRequestTable;
import org.agatehatch.internal.request.AdmissionLimits;
import org.agatehatch.internal.request.AdmissionQueue;
import org.agatehatch.internal.request.AttemptState;
import org.agatehatch.internal.request.HoldbackPolicy;
import org.agatehatch.internal.request.PoolLoad;
import org.agatehatch.internal.request.Router;
import org.agatehatch.internal.request.RouterInputs;
import org.agatehatch.internal.version.RoutingView;
import org.slf4j.LoggerFactory;
import org.testng.annotations.Test;

public class PoolDispatcherTest {
    private static final MonotonicClock CLOCK = MonotonicClock.system();
    private static final BackendServerHealth HEALTH = new BackendServerHealth(EjectionPolicy.DEFAULT, CLOCK, () -> 0.5);

    /**
     * Guards against requests that never complete: another thread polled the request from the queue before the dispatcher
     * registered it, and dropped it. The pool has no server, so each request ends as soon as it is dispatched.
     */
    @Test(timeOut = 60_000)
    public void every_request_gets_an_answer_while_other_threads_dispatch() throws Exception {
        ((Logger) LoggerFactory.getLogger("org.agatehatch.decision.route")).setLevel(Level.WARN);
        PoolDispatcher dispatcher = newDispatcher();
        AtomicBoolean stopped = new AtomicBoolean();
        ExecutorService threads = Executors.newFixedThreadPool(3);
        List<Future<?>> tickers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            tickers.add(threads.submit(() -> {
                while (!stopped.get()) {
                    dispatcher.tick();
                }
            }));
        }
        int unanswered = 0;
        for (int i = 0; i < 50_000; i++) {
            CompletableFuture<ChosenBackend> answer =
                    dispatcher.choose(request(), Set.of(), new AttemptState()).toCompletableFuture();
            long deadlineNanos = System.nanoTime() + 2_000_000_000L;
            while (!answer.isDone() && System.nanoTime() < deadlineNanos) {
                Thread.onSpinWait();
            }
            if (!answer.isDone()) {
                unanswered++;
                break;
            }
        }
        stopped.set(true);
        for (Future<?> ticker : tickers) {
            ticker.get();
        }
        threads.shutdown();

        assertEquals(unanswered, 0);
    }

    private static PoolDispatcher newDispatcher() {
        Catalogue catalogue = new Catalogue(
                1,
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of("orders", new ServiceEntry("orders", "city-tools", "order", "order-desk", Set.of(), 1_000)));
        RoutingView view = new RoutingView(catalogue, Map.of(), Map.of(), Map.of(), Set.of());
        // Service routing uses no prefixes and, without candidates, no loads.
        RouterInputs inputs = new RouterInputs(
                () -> view,
                name -> null,
                tracker -> null,
                null,
                null,
                pool -> HEALTH,
                pool -> null,
                server -> 0,
                () -> 1);
        Router router = new Router(inputs, new LeastLoadRoutingPolicy(), FirstTokenModel.DEFAULT, bound -> 0, 200);
        AdmissionQueue queue = new AdmissionQueue(
                "order-desk",
                AdmissionLimits.DEFAULT,
                AdmissionPolicy.deadlineAware(),
                HoldbackPolicy.none(),
                new OwnerShares(() -> catalogue, new OwnerUsage(CLOCK, 10, 30_000)),
                CLOCK);
        return new PoolDispatcher("order-desk", queue, router, new ServicePoolContext(), CLOCK);
    }

    private static RequestContext request() {
        return new RequestContext(
                "req-1",
                false,
                "orders",
                "order-desk",
                Optional.empty(),
                Optional.empty(),
                "city-tools",
                new RequestClass("order", 90, 10_000, 10_000, 10_000),
                new long[0],
                0,
                0,
                1,
                10,
                CLOCK.nanos(),
                CLOCK.millis() + 30_000,
                1);
    }

    /** A pool of plain services without backend servers. */
    private static final class ServicePoolContext implements PoolContext {
        @Override
        public boolean isModelPool() {
            return false;
        }

        @Override
        public double saturation() {
            return 0;
        }

        @Override
        public PoolLoad serviceLoad() {
            return new PoolLoad(0, 0);
        }

        @Override
        public BackendServerHealth health() {
            return HEALTH;
        }

        @Override
        public PoisonRequestTable.Verdict suspicion(RequestContext request, String backendServer) {
            return new PoisonRequestTable.Verdict.Allowed();
        }

        @Override
        public SentAttempt attemptStarted(RequestContext request, Candidate candidate) {
            throw new AssertionError("there is no backend server");
        }

        @Override
        public void scheduleRetry(Runnable task) {
            throw new AssertionError("there is no backend server");
        }
    }
}
