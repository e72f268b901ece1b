package org.agatehatch.daemon.traffic;

import java.util.List;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.process.CrashReport;
import org.agatehatch.internal.process.PoisonRequestTable;
import org.agatehatch.internal.request.AttemptId;

/** Thread-safe wrapper of the node's {@link PoisonRequestTable}. */
public final class SuspicionTracker {
    private final MonotonicClock clock;
    private final PoisonRequestTable table = new PoisonRequestTable();

    public SuspicionTracker(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns whether a request may be sent to a backend server. */
    public synchronized PoisonRequestTable.Verdict check(long fingerprint, String backendServer) {
        return table.check(fingerprint, backendServer, clock.millis());
    }

    /** Records that an attempt is in flight. */
    public synchronized void started(AttemptId attempt, long fingerprint, String backendServer) {
        table.started(attempt, fingerprint, backendServer);
    }

    /** Records that an attempt ended without a crash of its backend server. */
    public synchronized void finished(AttemptId attempt, boolean answered) {
        table.finished(attempt, answered);
    }

    /** Records a crash of a backend server's process and returns the resulting strikes. */
    public synchronized List<CrashReport> crashed(String backendServer, String runnerEpoch) {
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
}
