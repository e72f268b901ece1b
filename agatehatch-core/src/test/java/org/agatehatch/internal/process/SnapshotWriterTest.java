package org.agatehatch.internal.process;

import static org.agatehatch.internal.version.TestRecords.importOf;
import static org.agatehatch.internal.version.TestRecords.sampleCatalogue;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Set;
import org.agatehatch.api.log.AppendLog;
import org.agatehatch.api.log.LogStreams;
import org.agatehatch.internal.version.SnapshotCodec;
import org.testng.annotations.Test;

/** Guards against missing snapshots when the log drops records, and against snapshots that fill up the log. */
public final class SnapshotWriterTest {
    private static final long RETENTION_MILLIS = 3_600_000;

    private final VirtualTime time = new VirtualTime();
    private final AppendLog store = VirtualLog.store(100_000);
    private final TestNode node = new TestNode("n1", time, store, 1).start();
    private final SnapshotWriter writer = new SnapshotWriter(
            node.snapshots,
            node.state,
            node.keeper,
            node.thread,
            Runnable::run,
            node.thread,
            () -> "s" + time.millis(),
            SnapshotWriter.Settings.forRetention(RETENTION_MILLIS));

    @Test
    public void the_lease_holder_writes_after_many_records_or_a_third_of_the_retention_time() {
        LogTailerTest.appendTo(store, importOf(sampleCatalogue()));
        runSeconds(RETENTION_MILLIS / 1_000);
        assertEquals(storedSnapshots(), 0, "without the lease");

        node.wantedLeases = Set.of(LogStreams.SNAPSHOTS);
        runSeconds(10);
        assertEquals(storedSnapshots(), 1);
        runSeconds(RETENTION_MILLIS / 3_000 - 20);
        assertEquals(storedSnapshots(), 1, "within a third of the retention with few records");
        runSeconds(60);
        assertEquals(storedSnapshots(), 2);

        for (int i = 0; i < 1_000; i++) {
            store.append(LogStreams.CONTROL, new byte[1]);
        }
        runSeconds(200);
        assertEquals(storedSnapshots(), 2, "not more often than every 5 minutes");
        runSeconds(120);
        assertEquals(storedSnapshots(), 3);
        byte[] newest =
                new SnapshotStore(store).newest().toCompletableFuture().join().orElseThrow();
        assertTrue(SnapshotCodec.decode(newest).throughOffset() > 1_000);
    }

    private void runSeconds(long seconds) {
        for (long second = 0; second < seconds; second++) {
            node.thread.execute(writer::tick);
            time.advance(1_000);
        }
    }

    private long storedSnapshots() {
        return store.read(LogStreams.SNAPSHOTS, 0, 100, Duration.ZERO)
                .toCompletableFuture()
                .join()
                .endOffset();
    }
}
