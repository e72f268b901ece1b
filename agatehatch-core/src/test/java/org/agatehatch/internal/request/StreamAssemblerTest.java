package org.agatehatch.internal.request;

import static org.agatehatch.internal.request.StreamAssembler.Verdict.ABORT;
import static org.agatehatch.internal.request.StreamAssembler.Verdict.DROP;
import static org.agatehatch.internal.request.StreamAssembler.Verdict.RELEASE;
import static org.agatehatch.internal.request.StreamAssembler.Verdict.RELEASE_LAST;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import org.testng.annotations.Test;

/** Guards against responses with missing or duplicate frames, or with frames of other attempts. */
public class StreamAssemblerTest {
    private static final AttemptId FIRST = new AttemptId(1, 1);
    private static final AttemptId SECOND = new AttemptId(2, 2);

    private final StreamAssembler assembler = new StreamAssembler(FIRST);

    private static StreamFrame frame(AttemptId attempt, long index, boolean last) {
        return new StreamFrame(attempt, index, new byte[0], last);
    }

    @Test
    public void foreign_and_repeated_frames_are_dropped_and_counted() {
        StreamAssembler fresh = new StreamAssembler(FIRST);
        assertEquals(fresh.accept(frame(FIRST, 0, false)), RELEASE);
        assertEquals(fresh.accept(frame(SECOND, 1, false)), DROP);
        assertEquals(fresh.accept(frame(FIRST, 0, false)), DROP);
        assertEquals(fresh.accept(frame(FIRST, 1, true)), RELEASE_LAST);
        assertEquals(fresh.accept(frame(FIRST, 2, false)), DROP);
        assertTrue(fresh.complete());
        assertEquals(fresh.foreignFrames(), 2);
        assertEquals(fresh.repeatedFrames(), 1);
    }

    @Test
    public void a_skipped_index_aborts_the_attempt_and_leaves_the_response_incomplete() {
        StreamAssembler fresh = new StreamAssembler(FIRST);
        assertEquals(fresh.accept(frame(FIRST, 0, false)), RELEASE);
        assertEquals(fresh.accept(frame(FIRST, 2, true)), ABORT);
        assertEquals(fresh.accept(frame(FIRST, 1, false)), DROP);
        assertFalse(fresh.complete());
        assertEquals(fresh.nextIndex(), 1);
        assertEquals(fresh.skippedFrames(), 1);
    }

    @Test
    public void a_resumed_response_releases_each_index_once() {
        assertEquals(assembler.accept(frame(FIRST, 0, false)), RELEASE);
        assembler.endAttempt();
        assembler.resumeWith(SECOND);
        assertEquals(assembler.nextIndex(), 1);
        assertEquals(assembler.accept(frame(SECOND, 0, false)), DROP);
        assertEquals(assembler.accept(frame(FIRST, 1, false)), DROP);
        assertEquals(assembler.accept(frame(SECOND, 1, true)), RELEASE_LAST);
        expectThrows(IllegalStateException.class, () -> assembler.resumeWith(FIRST));
    }
}
