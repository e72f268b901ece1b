package org.agatehatch.daemon.wiring;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.engine.LoadReport;
import org.agatehatch.daemon.traffic.CrashCheck;
import org.agatehatch.daemon.traffic.SuspicionTracker;
import org.agatehatch.internal.process.AppendPurpose;
import org.agatehatch.internal.process.CrashReport;
import org.agatehatch.internal.process.digest.DigestKind;
import org.agatehatch.internal.process.digest.DigestPayloads;
import org.agatehatch.internal.process.digest.RunnerLoad;
import org.agatehatch.internal.version.record.StateRecord.Strike;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Detects whether a backend server has crashed, and publishes strikes through the digest and the log. */
final class CrashDetector implements CrashCheck {
    private static final Logger log = LoggerFactory.getLogger(CrashDetector.class);
    /** Longest wait for the append of a strike; after it the caller is answered all the same. */
    private static final Duration STRIKE_APPEND_TIMEOUT = Duration.ofMillis(1_500);
    /** Crashes of one plain service within the same interval count as one, because services report no process epoch. */
    private static final long CRASH_DEDUPLICATION_MILLIS = 5_000;

    private final NodeContext context;
    private final SuspicionTracker suspicions;
    private final RunnerLoadPoller polling;
    private final PeerNetwork peers;
    private final StateReplicator replicated;

    CrashDetector(
            NodeContext context,
            SuspicionTracker suspicions,
            RunnerLoadPoller polling,
            PeerNetwork peers,
            StateReplicator replicated) {
        this.context = context;
        this.suspicions = suspicions;
        this.polling = polling;
        this.peers = peers;
        this.replicated = replicated;
    }

    @Override
    public CompletionStage<Void> detect(BackendServer server, String runnerEpoch, long sentAtMillis) {
        String before = runnerEpoch.isEmpty() ? polling.lastEpoch(server.name()) : RunnerLoad.epochText(runnerEpoch);
        return context.engines()
                .load(server)
                .handle((report, failure) -> {
                    boolean serverCrashed = failure != null
                            ? isConnectionRefused(failure)
                            : wasReplacedInFlight(before, report, sentAtMillis);
                    return serverCrashed ? record(server, before) : CompletableFuture.<Void>completedFuture(null);
                })
                .thenCompose(stage -> stage);
    }

    private CompletionStage<Void> record(BackendServer server, String epoch) {
        String crash = epoch.isEmpty() ? "t" + context.wallClock().epochMillis() / CRASH_DEDUPLICATION_MILLIS : epoch;
        List<CrashReport> reports = suspicions.crashed(server.name(), crash);
        log.warn("backend server died: server={} epoch={} strikes={}", server.name(), crash, reports.size());
        List<CompletableFuture<?>> appended = new ArrayList<>();
        for (CrashReport report : reports) {
            context.control()
                    .execute(() -> peers.publish(
                            DigestKind.STRIKE,
                            report.fingerprint() ^ server.name().hashCode(),
                            DigestPayloads.encode(report)));
            Strike strike = new Strike(context.randomId(), report.fingerprint(), server.name(), crash);
            appended.add(replicated
                    .append(AppendPurpose.STRIKES, strike, STRIKE_APPEND_TIMEOUT.toMillis())
                    .toCompletableFuture());
        }
        return CompletableFuture.allOf(appended.toArray(CompletableFuture[]::new))
                .orTimeout(STRIKE_APPEND_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .exceptionally(ignored -> null);
    }

    /**
     * Returns whether the process was replaced while the request was in flight. A request that was sent after the
     * current process had started was not in flight at the previous process: it was sent on a pooled connection that
     * the crash had already broken.
     */
    private boolean wasReplacedInFlight(String before, LoadReport report, long sentAtMillis) {
        long sentAgoMillis = context.clock().millis() - sentAtMillis;
        return !report.runnerEpoch().equals(before) && report.uptimeMillis() <= sentAgoMillis;
    }

    /** Returns whether the connection was refused, because the process is gone. A timeout does not imply a crash. */
    private static boolean isConnectionRefused(Throwable failure) {
        Throwable cause = failure;
        while (cause != null) {
            if (String.valueOf(cause.getMessage()).contains("Connection refused")
                    || String.valueOf(cause.getMessage()).contains("Tcp command [Connect")) {
                return true;
            }
            cause = cause.getCause();
        }
        return false;
    }
}
