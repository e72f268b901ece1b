package org.agatehatch.internal.process;

import static org.agatehatch.internal.process.LogTailerTest.appendTo;
import static org.agatehatch.internal.version.TestRecords.importOf;
import static org.agatehatch.internal.version.TestRecords.ownerChange;
import static org.agatehatch.internal.version.TestRecords.sampleCatalogue;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.agatehatch.api.log.AppendLog;
import org.agatehatch.api.log.LogStreams;
import org.testng.annotations.Test;

/** Guards against a node that goes on reading at its old offset in a log that came back from an older copy. */
public final class RestoredLogTest {
    @Test
    public void a_log_that_came_back_from_a_copy_and_grew_past_the_position_is_not_read_on() {
        VirtualTime time = new VirtualTime();
        AppendLog store = VirtualLog.store(100);
        TestNode node = new TestNode("n1", time, store, 1).start();
        appendTo(store, importOf(sampleCatalogue()));
        appendTo(store, ownerChange("lost", 1, "lost"));
        time.advance(1_000);
        assertEquals(node.state.view().catalogue().version(), 2);

        AppendLog restored = VirtualLog.store(100);
        appendTo(restored, importOf(sampleCatalogue()));
        appendTo(restored, ownerChange("a", 1, "first"));
        appendTo(restored, ownerChange("b", 2, "second"));
        node.tailer.stop();
        LogTailer tailer = new LogTailer(
                LogStreams.CONTROL,
                new VirtualLog(time, restored),
                node.thread,
                new Random(1),
                LogTailer.Settings.DEFAULT,
                node.state);
        tailer.start();
        time.advance(30_000);

        assertTrue(tailer.consecutiveFailures() > 0, "the record at the last offset is another one");
        assertEquals(node.state.view().catalogue().version(), 2);
    }
}
