package org.agatehatch.internal.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.agatehatch.api.engine.LoadReport;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.connection.RequestCountHistory.Totals;

/**
 * Estimates the current load of one backend server from its last load report, the requests that this node sent and
 * finished since, and the extrapolated arrivals from other nodes. Thread-safe and lock-free.
 */
public final class RunnerLoadTracker {
    /** Report age beyond which the load is not extrapolated further, since the rates are then no longer known. */
    private static final double MAX_EXTRAPOLATION_SECONDS = 10;
    /** Weight of the newest interval in the moving average of the arrival rate from other nodes. */
    private static final double RATE_SMOOTHING = 0.5;
    /** Number of past epochs kept. Late reports of dead engine processes arrive through the digest within seconds. */
    private static final int MAX_PAST_EPOCHS = 4;

    private final MonotonicClock clock;
    private final double assumedTokensPerRequest;
    private final AtomicReference<State> state = new AtomicReference<>(State.initial());

    /**
     * Creates a tracker without a report.
     *
     * @param assumedTokensPerRequest prompt tokens per request of other nodes, assumed until this node has sent
     *     requests of its own
     */
    public RunnerLoadTracker(MonotonicClock clock, double assumedTokensPerRequest) {
        this.clock = clock;
        this.assumedTokensPerRequest = assumedTokensPerRequest;
    }

    /**
     * Records that this node is sending a request.
     *
     * @param tokens prompt tokens that the engine is expected to compute
     */
    public SentRequest recordSent(long tokens) {
        RequestCountHistory history = state.get().history;
        history.addSent(clock.nanos(), tokens);
        return new SentRequest(clock, history, tokens);
    }

    /**
     * Applies a report that this node received just now. Reports that are older than the last one, or that come from a
     * replaced engine process, are ignored.
     *
     * @return whether the report was used
     */
    public boolean applyReport(LoadReport report) {
        return applyReport(report, 0);
    }

    /**
     * Applies a report that another node received.
     *
     * @param transitMillis time between the receipt by that node and this call
     * @return whether the report was used
     */
    public boolean applyReport(LoadReport report, long transitMillis) {
        long nowNanos = clock.nanos();
        long asOfNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(report.ageMillis() + transitMillis);
        while (true) {
            State before = state.get();
            if (before.supersedes(report)) {
                return false;
            }
            if (state.compareAndSet(before, next(before, report, asOfNanos, nowNanos))) {
                return true;
            }
        }
    }

    /** Returns the last report, corrected by what happened since. */
    public LoadEstimate estimate() {
        State now = state.get();
        Totals own = now.history.now();
        double ownInFlight = own.sentRequests() - own.finishedRequests();
        if (now.report == null) {
            double ownQueued = Math.max(0, own.sentTokens() - own.startedTokens());
            return new LoadEstimate(ownQueued, ownInFlight, 0, 0, 0, Set.of(), Long.MAX_VALUE);
        }
        long ageNanos = clock.nanos() - now.asOfNanos;
        double elapsedSeconds = Math.min(MAX_EXTRAPOLATION_SECONDS, ageNanos / 1e9);
        Totals base = now.ownAtReport;
        double arrived = own.sentTokens() - base.sentTokens() + now.othersTokensPerSecond * elapsedSeconds;
        double processedTokens =
                Math.max(own.startedTokens() - base.startedTokens(), now.drainTokensPerSecond * elapsedSeconds);
        double queued = Math.max(0.0, (double) now.report.queuedTokens() + arrived - processedTokens);
        double ownChange = ownInFlight - (base.sentRequests() - base.finishedRequests());
        double running = Math.max(ownInFlight, now.report.runningRequests() + ownChange);
        return estimate(now.report, queued, Math.max(0, running), ageNanos);
    }

    /** Returns the load of the last report without correction, for baseline routing policies. */
    public LoadEstimate reportedLoad() {
        State now = state.get();
        if (now.report == null) {
            return new LoadEstimate(0, 0, 0, 0, 0, Set.of(), Long.MAX_VALUE);
        }
        return estimate(
                now.report,
                (double) now.report.queuedTokens(),
                now.report.runningRequests(),
                clock.nanos() - now.asOfNanos);
    }

    /** Returns the number of requests of this node in flight at the current engine process. */
    public long ownInFlight() {
        Totals own = state.get().history.now();
        return (long) (own.sentRequests() - own.finishedRequests());
    }

    private static LoadEstimate estimate(LoadReport report, double queued, double running, long ageNanos) {
        return new LoadEstimate(
                queued,
                running,
                report.prefillTokensPerSecond(),
                report.decodeTokensPerSecond(),
                report.adapterLoads(),
                report.adapters(),
                TimeUnit.NANOSECONDS.toMillis(Math.max(0, ageNanos)));
    }

    private State next(State before, LoadReport report, long asOfNanos, long nowNanos) {
        boolean sameProcess =
                before.report == null || before.report.runnerEpoch().equals(report.runnerEpoch());
        if (!sameProcess) {
            return State.restarted(before, report, asOfNanos);
        }
        Totals own = before.history.at(asOfNanos, nowNanos);
        double elapsedSeconds = (asOfNanos - before.asOfNanos) / 1e9;
        if (before.report == null || elapsedSeconds <= 0) {
            return new State(
                    report, asOfNanos, own, 0, report.prefillTokensPerSecond(), before.history, before.pastEpochs);
        }
        double arrivals = (double) (report.arrivals() - before.report.arrivals());
        double othersArrivals = Math.max(0, arrivals - (own.sentRequests() - before.ownAtReport.sentRequests()));
        double newestRate = othersArrivals * tokensPerRequest(own) / elapsedSeconds;
        double smoothedRate =
                before.othersTokensPerSecond + RATE_SMOOTHING * (newestRate - before.othersTokensPerSecond);
        double drainRate = drainTokensPerSecond(before, report, arrivals * tokensPerRequest(own), elapsedSeconds);
        return new State(report, asOfNanos, own, smoothedRate, drainRate, before.history, before.pastEpochs);
    }

    private double tokensPerRequest(Totals own) {
        return own.sentRequests() < 1 ? assumedTokensPerRequest : own.sentTokens() / own.sentRequests();
    }

    /**
     * Returns the rate at which the engine drains its queue. Only a queue that is not empty shows this rate; an empty
     * one shows just the arrival rate, so the reported prefill rate is used.
     */
    private static double drainTokensPerSecond(State before, LoadReport report, double arrived, double elapsedSeconds) {
        if (report.queuedTokens() == 0) {
            return report.prefillTokensPerSecond();
        }
        double drained = (double) (before.report.queuedTokens() - report.queuedTokens()) + arrived;
        return Math.max(0, Math.min(report.prefillTokensPerSecond(), drained / elapsedSeconds));
    }

    /** One request of this node at one engine process. Repeated calls of a method have no effect. */
    public static final class SentRequest {
        private static final int SENT = 0;
        private static final int STARTED = 1;
        private static final int FINISHED = 2;

        private final MonotonicClock clock;
        private final RequestCountHistory history;
        private final long tokens;
        private final AtomicInteger step = new AtomicInteger(SENT);

        private SentRequest(MonotonicClock clock, RequestCountHistory history, long tokens) {
            this.clock = clock;
            this.history = history;
            this.tokens = tokens;
        }

        /** Records the first token, which shows that the request has left the engine's queue. */
        public void markStarted() {
            if (step.compareAndSet(SENT, STARTED)) {
                history.addStarted(clock.nanos(), tokens);
            }
        }

        /** Records the end of the request, whether it succeeded, failed or was cancelled. */
        public void markFinished() {
            int before = step.getAndSet(FINISHED);
            if (before == SENT) {
                history.addStarted(clock.nanos(), tokens);
            }
            if (before != FINISHED) {
                history.addFinished(clock.nanos());
            }
        }
    }

    private record State(
            LoadReport report,
            long asOfNanos,
            Totals ownAtReport,
            double othersTokensPerSecond,
            double drainTokensPerSecond,
            RequestCountHistory history,
            List<String> pastEpochs) {
        private static State initial() {
            return new State(null, 0, Totals.NONE, 0, 0, new RequestCountHistory(), List.of());
        }

        /** Resets all counts: a new engine process has an empty queue and none of this node's requests. */
        private static State restarted(State before, LoadReport report, long asOfNanos) {
            List<String> epochs = new ArrayList<>(before.pastEpochs);
            epochs.add(before.report.runnerEpoch());
            List<String> recentEpochs = epochs.subList(Math.max(0, epochs.size() - MAX_PAST_EPOCHS), epochs.size());
            return new State(
                    report,
                    asOfNanos,
                    Totals.NONE,
                    0,
                    report.prefillTokensPerSecond(),
                    new RequestCountHistory(),
                    List.copyOf(recentEpochs));
        }

        private boolean supersedes(LoadReport candidate) {
            if (report == null) {
                return false;
            }
            return report.runnerEpoch().equals(candidate.runnerEpoch())
                    ? candidate.sequence() <= report.sequence()
                    : pastEpochs.contains(candidate.runnerEpoch());
        }
    }
}
