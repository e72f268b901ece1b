package org.agatehatch.internal.process;

import static org.agatehatch.internal.version.TestRecords.importOf;
import static org.agatehatch.internal.version.TestRecords.ownerChange;
import static org.agatehatch.internal.version.TestRecords.sampleCatalogue;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.agatehatch.api.log.AppendLog;
import org.agatehatch.api.log.LogStreams;
import org.agatehatch.internal.version.SnapshotCodec;
import org.agatehatch.internal.version.record.RecordBatchCodec;
import org.agatehatch.internal.version.record.StateRecord;
import org.testng.annotations.Test;

/**
 * Guards against records that are missed, applied twice or applied out of order when the log fails or drops records.
 */
public final class LogTailerTest {
    private final VirtualTime time = new VirtualTime();

    @Test
    public void reading_resumes_after_an_outage_with_growing_backoff() {
        AppendLog store = VirtualLog.store(1_000);
        TestNode node = new TestNode("n1", time, store, 1).start();
        appendTo(store, importOf(sampleCatalogue()));
        time.advance(1_000);
        assertEquals(node.state.view().catalogue().version(), 1);

        node.log.setDown(true);
        appendTo(store, ownerChange("a", 1, "first"));
        time.advance(60_000);
        assertEquals(node.state.view().catalogue().version(), 1);
        int failures = node.tailer.consecutiveFailures();
        assertTrue(failures > 5 && failures < 30, "failed reads in a minute: " + failures);

        node.log.setDown(false);
        time.advance(6_000);
        assertEquals(node.state.view().catalogue().version(), 2);
        assertEquals(node.tailer.consecutiveFailures(), 0);
    }

    @Test
    public void a_malformed_batch_is_skipped_and_reading_continues() {
        AppendLog store = VirtualLog.store(1_000);
        TestNode node = new TestNode("n1", time, store, 1).start();
        store.append(LogStreams.CONTROL, new byte[] {(byte) 0xc1});
        appendTo(store, importOf(sampleCatalogue()));
        time.advance(1_000);

        assertEquals(node.state.view().catalogue().version(), 1);
        assertEquals(node.state.malformedBatches(), 1);
        assertTrue(node.gate.isOpen());
    }

    @Test
    public void a_node_that_missed_dropped_records_resumes_from_the_snapshot_and_never_reverts() {
        AppendLog store = VirtualLog.store(5);
        TestNode connected = new TestNode("n1", time, store, 1).start();
        TestNode disconnected = new TestNode("n2", time, store, 1).start();
        appendTo(store, importOf(sampleCatalogue()));
        time.advance(1_000);
        disconnected.log.setDown(true);
        for (int version = 1; version <= 20; version++) {
            appendTo(store, ownerChange("c" + version, version, "owner-" + version));
            time.advance(500);
            if (version == 18) {
                writeSnapshot(connected);
                time.advance(100);
            }
        }
        disconnected.log.setDown(false);
        time.advance(20_000);

        assertEquals(disconnected.state.view().catalogue().version(), 21);
        assertEquals(
                SnapshotCodec.contentHash(disconnected.state.state()),
                SnapshotCodec.contentHash(connected.state.state()));
        assertEquals(
                disconnected.versions, disconnected.versions.stream().sorted().toList());
    }

    @Test
    public void a_gap_that_no_snapshot_covers_is_reported_and_keeps_the_old_state() {
        AppendLog store = VirtualLog.store(2);
        appendTo(store, importOf(sampleCatalogue()));
        for (int i = 1; i <= 5; i++) {
            appendTo(store, ownerChange("c" + i, i, "owner-" + i));
        }
        TestNode node = new TestNode("n1", time, store, 1).start();
        time.advance(60_000);

        assertFalse(node.gate.isOpen());
        assertTrue(node.gate.reason().contains("oldest kept record 4, need 0"), node.gate.reason());
        assertEquals(node.state.view().catalogue().version(), 0);
    }

    @Test
    public void an_older_snapshot_or_a_replaced_log_does_not_revert_the_state() {
        AppendLog store = VirtualLog.store(100);
        TestNode node = new TestNode("n1", time, store, 1).start();
        appendTo(store, importOf(sampleCatalogue()));
        time.advance(1_000);
        byte[] olderSnapshot = SnapshotCodec.encode(node.state.state());
        appendTo(store, ownerChange("a", 1, "first"));
        time.advance(1_000);

        assertFalse(node.state.install(olderSnapshot));
        assertEquals(node.state.view().catalogue().version(), 2);

        AppendLog emptyStore = VirtualLog.store(100);
        LogTailer tailer = new LogTailer(
                LogStreams.CONTROL,
                new VirtualLog(time, emptyStore),
                node.thread,
                new Random(1),
                LogTailer.Settings.DEFAULT,
                node.state);
        node.tailer.stop();
        tailer.start();
        time.advance(30_000);
        assertTrue(tailer.consecutiveFailures() > 1);
        assertEquals(node.state.view().catalogue().version(), 2);
    }

    @Test
    public void a_snapshot_in_several_parts_is_read_back_and_an_incomplete_one_is_ignored() {
        AppendLog store = VirtualLog.store(1_000);
        SnapshotStore snapshots = new SnapshotStore(store);
        byte[] complete = new byte[700_000];
        new Random(3).nextBytes(complete);
        snapshots.write("s1", 10, complete).toCompletableFuture().join();
        AppendLog partial = VirtualLog.store(1_000);
        new SnapshotStore(partial)
                .write("s2", 20, complete)
                .toCompletableFuture()
                .join();
        partial.read(LogStreams.SNAPSHOTS, 0, 2, Duration.ZERO)
                .thenAccept(batch ->
                        batch.records().forEach(record -> store.append(LogStreams.SNAPSHOTS, record.payload())));

        assertEquals(snapshots.newest().toCompletableFuture().join().orElseThrow(), complete);
    }

    /** Guards against a node that is far behind and repeats the same read, whose answer never arrives in time. */
    @Test
    public void a_node_that_is_far_behind_catches_up_over_a_slow_connection() {
        AppendLog store = VirtualLog.store(1_000);
        appendTo(store, importOf(sampleCatalogue()));
        for (int version = 1; version <= 300; version++) {
            appendTo(store, ownerChange("c" + version, version, "owner-" + version));
        }
        TestNode node = new TestNode("n1", time, store, 1);
        node.log.setReadRate(recordBytes(store, 40) / 3);
        node.start();

        time.advance(120_000);

        assertEquals(node.state.view().catalogue().version(), 301);
        assertTrue(node.gate.isOpen(), node.gate.reason());
    }

    /** Guards against a snapshot that is larger than what the connection carries within the time-out of one read. */
    @Test
    public void a_snapshot_in_many_parts_is_read_over_a_slow_connection() {
        AppendLog store = VirtualLog.store(1_000);
        byte[] complete = new byte[3_000_000];
        new Random(3).nextBytes(complete);
        new SnapshotStore(store).write("s1", 10, complete).toCompletableFuture().join();
        VirtualLog slow = new VirtualLog(time, store);
        slow.setReadRate(150_000);

        CompletableFuture<Optional<byte[]>> read =
                new SnapshotStore(slow).newest().toCompletableFuture();
        time.advance(60_000);

        assertTrue(read.isDone(), "the snapshot was not read within a minute");
        assertEquals(read.join().orElseThrow(), complete);
    }

    /** Guards against loads of a snapshot that pile up, each slowed by the others, when one takes longer than its time-out. */
    @Test
    public void a_snapshot_that_loads_slowly_is_not_loaded_several_times_at_once() {
        AppendLog store = VirtualLog.store(2);
        appendTo(store, importOf(sampleCatalogue()));
        for (int i = 1; i <= 5; i++) {
            appendTo(store, ownerChange("c" + i, i, "owner-" + i));
        }
        TestNode node = new TestNode("n1", time, store, 1);
        List<CompletableFuture<Optional<byte[]>>> loads = new ArrayList<>();
        ControlState state = new ControlState(node.thread, node.gate, () -> {
            loads.add(new CompletableFuture<>());
            return loads.get(loads.size() - 1);
        });
        LogTailer tailer = new LogTailer(
                LogStreams.CONTROL, node.log, node.thread, new Random(1), LogTailer.Settings.DEFAULT, state);
        tailer.start();

        time.advance(100_000);
        assertEquals(loads.size(), 1);

        loads.get(0).complete(Optional.empty());
        time.advance(100_000);
        assertEquals(loads.size(), 2, "a load that ended without a snapshot is followed by another one");
    }

    private static long recordBytes(AppendLog store, int records) {
        return store.read(LogStreams.CONTROL, 0, records, Duration.ZERO).toCompletableFuture().join().records().stream()
                .mapToLong(record -> record.payload().length)
                .sum();
    }

    static void appendTo(AppendLog store, StateRecord record) {
        store.append(LogStreams.CONTROL, RecordBatchCodec.encode(List.of(record)));
    }

    private static void writeSnapshot(TestNode node) {
        node.snapshots.write("s", node.state.state().throughOffset(), SnapshotCodec.encode(node.state.state()));
    }
}
