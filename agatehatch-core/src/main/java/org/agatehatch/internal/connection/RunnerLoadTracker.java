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
 * Estimates the present load of one backend server from its last report, from what this node sent and finished since,
 * and from what other nodes probably sent. Reports and requests may come from any thread; no call takes a lock.
 */
public final class RunnerLoadTracker {
    /** Extrapolation of the others' arrivals ends here, since the rate behind it is then no longer known. */
    private static final double MAX_EXTRAPOLATION_SECONDS = 10;
    /** Weight of the newest interval in the rate of the others' arrivals. */
    private static final double RATE_SMOOTHING = 0.5;
    /** Late reports of dead engine processes arrive over the digest within seconds; more are not remembered. */
    private static final int MAX_PAST_EPOCHS = 4;

    private final MonotonicClock clock;
    private final double assumedTokensPerRequest;
    private final AtomicReference<State> state = new AtomicReference<>(State.initial());

    /**
     * Creates a tracker that knows nothing yet.
     *
     * @param assumedTokensPerRequest size of other nodes' requests, used until this node has sent some of its own
     */
    public RunnerLoadTracker(MonotonicClock clock, double assumedTokensPerRequest) {
        this.clock = clock;
        this.assumedTokensPerRequest = assumedTokensPerRequest;
    }

    /**
     * Notes that a request is being sent.
     *
     * @param tokens prompt tokens that the engine is expected to compute
     */
    public SentRequest recordSent(long tokens) {
        RequestCountHistory history = state.get().history;
        history.addSent(clock.nanos(), tokens);
        return new SentRequest(clock, history, tokens);
    }

    /**
     * Takes a report that was read just now. Reports that are older than the last one, or of an engine process that was
     * replaced, are ignored.
     *
     * @return whether the report was used
     */
    public boolean applyReport(LoadReport report) {
        return applyReport(report, 0);
    }

    /**
     * Takes a report that another node read.
     *
     * @param transitMillis time between that node's reading and this call
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

    /** Returns the corrected load. */
    public LoadEstimate estimate() {
        State now = state.get();
        Totals own = now.history.now();
        double ownInFlight = own.sentRequests() - own.finishedRequests();
        if (now.report == null) {
            double ownQueued = Math.max(0, own.sentTokens() - own.startedTokens());
            return new LoadEstimate(ownQueued, ownInFlight, 0, 0, 0, Set.of(), Long.MAX_VALUE);
        }
        long ageNanos = clock.nanos() - now.asOfNanos;
        double seconds = Math.min(MAX_EXTRAPOLATION_SECONDS, ageNanos / 1e9);
        Totals base = now.ownAtReport;
        double arrived = own.sentTokens() - base.sentTokens() + now.othersTokensPerSecond * seconds;
        double left = Math.max(own.startedTokens() - base.startedTokens(), now.drainTokensPerSecond * seconds);
        double queued = Math.max(0.0, (double) now.report.queuedTokens() + arrived - left);
        double ownChange = ownInFlight - (base.sentRequests() - base.finishedRequests());
        double running = Math.max(ownInFlight, now.report.runningRequests() + ownChange);
        return estimate(now.report, queued, Math.max(0, running), ageNanos);
    }

    /** Returns the last report without any correction, for baselines. */
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

    /** Returns how many requests of this node are in flight at the present engine process. */
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
        double seconds = (asOfNanos - before.asOfNanos) / 1e9;
        if (before.report == null || seconds <= 0) {
            return new State(
                    report, asOfNanos, own, 0, report.prefillTokensPerSecond(), before.history, before.pastEpochs);
        }
        double arrivals = (double) (report.arrivals() - before.report.arrivals());
        double others = Math.max(0, arrivals - (own.sentRequests() - before.ownAtReport.sentRequests()));
        double newest = others * tokensPerRequest(own) / seconds;
        double smoothed = before.othersTokensPerSecond + RATE_SMOOTHING * (newest - before.othersTokensPerSecond);
        double drain = drainTokensPerSecond(before, report, arrivals * tokensPerRequest(own), seconds);
        return new State(report, asOfNanos, own, smoothed, drain, before.history, before.pastEpochs);
    }

    private double tokensPerRequest(Totals own) {
        return own.sentRequests() < 1 ? assumedTokensPerRequest : own.sentTokens() / own.sentRequests();
    }

    /** A queue that was not empty shows how fast the engine works it off; an empty one shows only the arrivals. */
    private static double drainTokensPerSecond(State before, LoadReport report, double arrived, double seconds) {
        if (report.queuedTokens() == 0) {
            return report.prefillTokensPerSecond();
        }
        double drained = (double) (before.report.queuedTokens() - report.queuedTokens()) + arrived;
        return Math.max(0, Math.min(report.prefillTokensPerSecond(), drained / seconds));
    }

    /** One request of this node at one engine process. Each method takes effect once. */
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

        /** Notes the first token: the request has left the engine's queue. */
        public void markStarted() {
            if (step.compareAndSet(SENT, STARTED)) {
                history.addStarted(clock.nanos(), tokens);
            }
        }

        /** Notes the end of the request, whether it succeeded, failed or was cancelled. */
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

        /** A new process has an empty queue and none of this node's requests, so all counts start again. */
        private static State restarted(State before, LoadReport report, long asOfNanos) {
            List<String> past = new ArrayList<>(before.pastEpochs);
            past.add(before.report.runnerEpoch());
            List<String> kept = past.subList(Math.max(0, past.size() - MAX_PAST_EPOCHS), past.size());
            return new State(
                    report,
                    asOfNanos,
                    Totals.NONE,
                    0,
                    report.prefillTokensPerSecond(),
                    new RequestCountHistory(),
                    List.copyOf(kept));
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
