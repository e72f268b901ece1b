package org.agatehatch.api.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

/** Guards against offsets that change with retention, and reads that miss a record appended while they wait. */
public final class InMemoryAppendLogTest {
    @Test
    public void offsets_keep_increasing_when_old_records_are_dropped() {
        InMemoryAppendLog log = new InMemoryAppendLog(2);
        for (int i = 0; i < 5; i++) {
            log.append("s", new byte[] {(byte) i});
        }

        LogBatch batch =
                log.read("s", 0, 10, Duration.ZERO).toCompletableFuture().join();

        assertEquals(batch.oldestOffset(), 3);
        assertEquals(batch.endOffset(), 5);
        assertEquals(batch.records().stream().map(LogRecord::offset).toList(), List.of(3L, 4L));
    }

    @Test
    public void a_waiting_read_completes_on_the_next_append() {
        InMemoryAppendLog log = new InMemoryAppendLog();
        CompletableFuture<LogBatch> read =
                log.read("s", 0, 10, Duration.ofMinutes(5)).toCompletableFuture();
        assertFalse(read.isDone());

        log.append("s", new byte[1]);

        assertTrue(read.isDone());
        assertEquals(read.join().records().size(), 1);
    }

    @Test
    public void a_waiting_read_completes_empty_after_its_wait() {
        InMemoryAppendLog log = new InMemoryAppendLog();

        LogBatch batch =
                log.read("s", 0, 10, Duration.ofMillis(1)).toCompletableFuture().join();

        assertEquals(batch.records().size(), 0);
    }
}
