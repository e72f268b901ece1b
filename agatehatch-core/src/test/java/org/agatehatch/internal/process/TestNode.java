package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.agatehatch.api.log.AppendLog;
import org.agatehatch.api.log.LogStreams;
import org.agatehatch.internal.version.record.StateRecord;

/** The control components of one node, wired as in the daemon, on a simulated log. */
final class TestNode {
    private static final long TICK_MILLIS = 200;
    private static final long LEASE_APPEND_TIMEOUT_MILLIS = 4_000;

    final String name;
    final VirtualTime.Node thread;
    final VirtualLog log;
    final ReadinessGate gate;
    final ControlState state;
    final LogTailer tailer;
    final BatchAppender appender;
    final LeaseManager keeper;
    final SnapshotStore snapshots;
    final List<Long> versions = new ArrayList<>();
    Set<String> wantedLeases = Set.of();
    List<String> liveNodes;

    private int nextId;

    TestNode(String name, VirtualTime time, AppendLog store, double clockRate) {
        this.name = name;
        this.liveNodes = List.of(name);
        thread = time.node(clockRate);
        log = new VirtualLog(time, store);
        gate = new ReadinessGate(thread, 10_000);
        snapshots = new SnapshotStore(log);
        state = new ControlState(thread, gate, snapshots::newest);
        Random random = new Random(7);
        tailer = new LogTailer(LogStreams.CONTROL, log, thread, random, LogTailer.Settings.DEFAULT, state);
        appender = new BatchAppender(
                log,
                thread,
                thread,
                random,
                BatchAppender.Settings.DEFAULT,
                AppendPurpose::defaultAppendsPerSecond,
                state);
        keeper = new LeaseManager(name, name + "-1", LeaseManager.Timings.DEFAULT, thread, () -> name + "-" + nextId++);
        state.addListener(keeper);
        state.addListener((offset, record, acceptance) ->
                versions.add(state.state().catalogue().version()));
    }

    TestNode start() {
        tailer.start();
        thread.schedule(TICK_MILLIS, this::tick);
        return this;
    }

    CompletableFuture<AppendResult> append(StateRecord record, long timeoutMillis) {
        return appender.append(AppendPurpose.CONFIGURATION, record, timeoutMillis)
                .toCompletableFuture();
    }

    void sendLeaseRecords(List<StateRecord> records) {
        records.forEach(record -> appender.append(AppendPurpose.LEASES, record, LEASE_APPEND_TIMEOUT_MILLIS));
    }

    private void tick() {
        sendLeaseRecords(keeper.tick(state.state().leases(), wantedLeases, liveNodes));
        thread.schedule(TICK_MILLIS, this::tick);
    }
}
