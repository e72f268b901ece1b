package org.agatehatch.daemon.wiring;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.ForkJoinPool;
import java.util.stream.Collectors;
import org.agatehatch.api.catalogue.PoolKind;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.log.LogStreams;
import org.agatehatch.internal.process.AppendPurpose;
import org.agatehatch.internal.process.AppendResult;
import org.agatehatch.internal.process.BatchAppender;
import org.agatehatch.internal.process.ControlState;
import org.agatehatch.internal.process.LeaseManager;
import org.agatehatch.internal.process.LogTailer;
import org.agatehatch.internal.process.ReadinessGate;
import org.agatehatch.internal.process.RecordSink;
import org.agatehatch.internal.process.SnapshotStore;
import org.agatehatch.internal.process.SnapshotWriter;
import org.agatehatch.internal.version.LeaseTable;
import org.agatehatch.internal.version.RoutingView;
import org.agatehatch.internal.version.record.StateRecord;

/** Maintains this node's copy of the replicated state and appends records, leases and snapshots to the log. */
final class StateReplicator {
    private static final long SINGLE_PEER_WAIT_MILLIS = 10_000;
    private static final long LEASE_APPEND_TIMEOUT_MILLIS = 5_000;
    private static final long PLACEMENT_APPEND_TIMEOUT_MILLIS = 10_000;
    /** Consecutive failed reads after which the log counts as unavailable; with the backoff this takes some seconds. */
    private static final int LOG_UNAVAILABLE_FAILURES = 4;
    /** Assumed log retention; a log with a shorter retention would drop records between two snapshots. */
    private static final long ASSUMED_RETENTION_MILLIS = 3_600_000;

    private final NodeContext context;
    private final ReadinessGate gate;
    private final ControlState state;
    private final LogTailer tailer;
    private final BatchAppender appender;
    private final LeaseManager leases;
    private final SnapshotWriter snapshots;
    private boolean stopping;

    StateReplicator(NodeContext context) {
        this.context = context;
        this.gate = new ReadinessGate(context.clock(), SINGLE_PEER_WAIT_MILLIS);
        SnapshotStore store = new SnapshotStore(context.log());
        this.state = new ControlState(context.control(), gate, store::newest);
        this.appender = new BatchAppender(
                context.log(),
                context.control(),
                context.clock(),
                context.random(),
                BatchAppender.Settings.DEFAULT,
                AppendPurpose::defaultAppendsPerSecond,
                state);
        this.leases = new LeaseManager(
                context.settings().nodeName(),
                context.incarnation(),
                LeaseManager.Timings.DEFAULT,
                context.clock(),
                context::randomId);
        state.addListener(leases);
        Executor worker = ForkJoinPool.commonPool();
        this.snapshots = new SnapshotWriter(
                store,
                state,
                leases,
                context.clock(),
                worker,
                context.control(),
                context::randomId,
                SnapshotWriter.Settings.forRetention(ASSUMED_RETENTION_MILLIS));
        this.tailer = new LogTailer(
                LogStreams.CONTROL,
                context.log(),
                context.control(),
                context.random(),
                LogTailer.Settings.DEFAULT,
                state);
    }

    /** Loads the newest snapshot, then tails the log. If the load fails, the state comes from the log or from peers. */
    void start() {
        state.loadSnapshot().whenComplete((ignored, failure) -> tailer.start());
    }

    /** Renews and takes leases and writes snapshots when due; called on the control thread. */
    void tick(Collection<String> liveNodes) {
        if (!gate.isOpen()) {
            return;
        }
        if (!stopping) {
            leases.tick(state.state().leases(), wantedLeases(), liveNodes).forEach(this::appendLease);
        }
        snapshots.tick();
    }

    /** Releases all leases and takes no new ones; called on the control thread. */
    void releaseLeases() {
        stopping = true;
        leases.releaseAll(state.state().leases()).forEach(this::appendLease);
    }

    void stop() {
        tailer.stop();
    }

    ControlState state() {
        return state;
    }

    RoutingView view() {
        return state.view();
    }

    ReadinessGate gate() {
        return gate;
    }

    LeaseManager leases() {
        return leases;
    }

    boolean isLogUnavailable() {
        return tailer.consecutiveFailures() >= LOG_UNAVAILABLE_FAILURES;
    }

    BatchAppender.Counters counters(AppendPurpose purpose) {
        return appender.counters(purpose);
    }

    /** Appends a configuration record or a strike and returns how it was decided. */
    CompletionStage<AppendResult> append(AppendPurpose purpose, StateRecord record, long timeoutMillis) {
        return appender.append(purpose, record, timeoutMillis);
    }

    /** Returns the sink with which placement appends its records. */
    RecordSink placementSink() {
        return record -> appender.append(AppendPurpose.PLACEMENT, record, PLACEMENT_APPEND_TIMEOUT_MILLIS)
                .thenApply(StateReplicator::requireDecided);
    }

    private static RecordSink.AppliedRecord requireDecided(AppendResult result) {
        if (result.status() != AppendResult.Status.DECIDED) {
            throw new AgatehatchException(
                    ErrorCode.LOG_UNAVAILABLE,
                    "append intent",
                    "log",
                    result.status() == AppendResult.Status.NOT_SENT ? Outcome.NOT_RUN : Outcome.UNKNOWN,
                    "the record was not read back in time; its outcome is settled when the log answers again");
        }
        return new RecordSink.AppliedRecord(result.acceptance().orElseThrow(), result.offset());
    }

    private Set<String> wantedLeases() {
        Set<String> wanted = view().catalogue().pools().values().stream()
                .filter(pool -> pool.kind() == PoolKind.MODEL)
                .map(pool -> LeaseTable.poolLeaseName(pool.name()))
                .collect(Collectors.toCollection(TreeSet::new));
        wanted.add(LogStreams.SNAPSHOTS);
        wanted.add(LogStreams.ACCOUNTS);
        return wanted;
    }

    private void appendLease(StateRecord record) {
        appender.append(AppendPurpose.LEASES, record, LEASE_APPEND_TIMEOUT_MILLIS);
    }
}
