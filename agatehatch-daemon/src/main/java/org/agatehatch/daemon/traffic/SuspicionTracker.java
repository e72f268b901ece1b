package org.agatehatch.daemon.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.process.CrashEvidence;
import org.agatehatch.internal.process.CrashReport;
import org.agatehatch.internal.process.CrashingPartDetector;
import org.agatehatch.internal.process.PoisonRequestTable;
import org.agatehatch.internal.request.AttemptId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Attributes crashes of backend servers to requests and to prefixes of their prompts. Thread-safe. */
public final class SuspicionTracker {
    private static final Logger log = LoggerFactory.getLogger(SuspicionTracker.class);

    private record RunningAttempt(List<String> prefixes, BackendServer server, Optional<Long> begunMillis) {}

    private final MonotonicClock clock;
    private final PoisonRequestTable table = new PoisonRequestTable();
    private final CrashingPartDetector prefixes;
    private final Map<AttemptId, RunningAttempt> runningAttempts = new HashMap<>();

    /**
     * Creates a tracker without suspects.
     *
     * @param trialOwner whether this node, of all nodes, tries requests with a quarantined prefix
     */
    public SuspicionTracker(MonotonicClock clock, Predicate<String> trialOwner) {
        this.clock = clock;
        this.prefixes = new CrashingPartDetector(clock, trialOwner, new QuarantineLog());
    }

    /** Returns whether a request may be sent to a backend server. */
    public synchronized PoisonRequestTable.Verdict check(RequestContext request, String backendServer) {
        if (prefixes.blockingPart(prefixesOf(request.promptBlocks())).isPresent()) {
            return new PoisonRequestTable.Verdict.Quarantined(CrashingPartDetector.FIRST_TRIAL_MILLIS);
        }
        return table.check(request.fingerprint(), backendServer, clock.millis());
    }

    /** Records that an attempt is in flight. */
    public synchronized void started(AttemptId attempt, RequestContext request, BackendServer server) {
        table.started(attempt, request.fingerprint(), server.name());
        runningAttempts.put(attempt, new RunningAttempt(prefixesOf(request.promptBlocks()), server, Optional.empty()));
    }

    /** Records that the answer of an attempt has begun. */
    public synchronized void begun(AttemptId attempt) {
        runningAttempts.computeIfPresent(
                attempt,
                (id, running) -> new RunningAttempt(running.prefixes(), running.server(), Optional.of(clock.millis())));
    }

    /** Records that an attempt ended without a crash of its backend server. */
    public synchronized void finished(AttemptId attempt, boolean answered) {
        table.finished(attempt, answered);
        RunningAttempt ended = runningAttempts.remove(attempt);
        if (ended != null && (answered || survived(ended))) {
            prefixes.answerSurvived(ended.prefixes(), ended.begunMillis().orElseGet(clock::millis));
        }
    }

    /** Records a crash of a backend server's process and returns the resulting strikes. */
    public synchronized List<CrashReport> crashed(String backendServer, String runnerEpoch) {
        String process = backendServer + '@' + runnerEpoch;
        for (RunningAttempt running : runningAttempts.values()) {
            if (running.server().name().equals(backendServer) && !survived(running)) {
                prefixes.connectionBroken(
                        running.prefixes(), process, running.server().address());
            }
        }
        runningAttempts.values().removeIf(running -> running.server().name().equals(backendServer));
        prefixes.processDied(process);
        return table.crashed(backendServer, runnerEpoch, clock.millis());
    }

    /** Merges a strike from the log. */
    public synchronized void merge(CrashReport report) {
        table.merge(report, clock.millis());
    }

    /** Merges a strike from another node's digest. */
    public synchronized void merge(CrashReport report, long ageMillis) {
        table.merge(new PoisonRequestTable.AgedCrashReport(report, ageMillis, false), clock.millis());
    }

    /** Merges another node's evidence of crashes. */
    public synchronized void merge(CrashEvidence evidence) {
        prefixes.merge(evidence);
    }

    /** Returns the evidence of crashes that has become known within a time; empty if there is none. */
    public synchronized Optional<CrashEvidence> recentEvidence(long maxAgeMillis) {
        CrashEvidence recent = prefixes.recentEvidence(maxAgeMillis);
        return recent.crashes().isEmpty() ? Optional.empty() : Optional.of(recent);
    }

    private boolean survived(RunningAttempt running) {
        return running.begunMillis()
                .map(begunMillis -> clock.millis() - begunMillis >= CrashingPartDetector.SURVIVAL_MILLIS)
                .orElse(false);
    }

    /**
     * Returns identifiers of prefixes of a prompt, each about half as long again as the one before, so that long prompts have few
     * of them. The hash of a block identifies the prompt up to the end of the block.
     */
    private static List<String> prefixesOf(long[] promptBlocks) {
        List<String> identifiers = new ArrayList<>();
        for (int blocks = 1; blocks <= promptBlocks.length; blocks += Math.max(1, blocks / 2)) {
            identifiers.add(Long.toHexString(promptBlocks[blocks - 1]));
        }
        return identifiers;
    }

    private static final class QuarantineLog implements CrashingPartDetector.Listener {
        @Override
        public void onQuarantine(String part, Set<String> processes) {
            log.warn("prompt prefix quarantined: last_block={} crashed={}", part, processes);
        }

        @Override
        public void onRelease(String part) {
            log.info("prompt prefix released: last_block={}", part);
        }
    }
}
