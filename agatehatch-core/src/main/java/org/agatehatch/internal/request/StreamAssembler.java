package org.agatehatch.internal.request;

/**
 * Checks the frames of an answer and releases each index once, in order, over one attempt and its resumptions. Not safe
 * for use by several threads.
 */
public final class StreamAssembler {
    /** What to do with a frame. */
    public enum Verdict {
        /** Pass the frame on; more will follow. */
        RELEASE,
        /** Pass the frame on; the answer is complete. */
        RELEASE_LAST,
        /** Ignore the frame: it is of another attempt, a repetition, or came after the end. */
        DROP,
        /** Ignore the frame and end the attempt: at least one frame before it is missing. */
        ABORT
    }

    private AttemptId attempt;
    private long nextIndex;
    private boolean attemptOpen = true;
    private boolean complete;
    private long foreignFrames;
    private long repeatedFrames;
    private long skippedFrames;

    public StreamAssembler(AttemptId attempt) {
        this.attempt = attempt;
    }

    /** Checks a frame. The caller passes on exactly the frames with a verdict of {@code RELEASE} or {@code RELEASE_LAST}. */
    public Verdict accept(StreamFrame frame) {
        if (!frame.attempt().equals(attempt) || !attemptOpen) {
            foreignFrames++;
            return Verdict.DROP;
        }
        if (frame.index() < nextIndex) {
            repeatedFrames++;
            return Verdict.DROP;
        }
        if (frame.index() > nextIndex) {
            skippedFrames++;
            attemptOpen = false;
            return Verdict.ABORT;
        }
        nextIndex++;
        if (!frame.last()) {
            return Verdict.RELEASE;
        }
        complete = true;
        attemptOpen = false;
        return Verdict.RELEASE_LAST;
    }

    /** Ends the current attempt. Its later frames are dropped. */
    public void endAttempt() {
        attemptOpen = false;
    }

    /** Goes on with another attempt, which is to start at {@link #nextIndex()}. */
    public void resumeWith(AttemptId next) {
        if (complete) {
            throw new IllegalStateException("the answer is complete; it cannot be resumed by attempt " + next);
        }
        attempt = next;
        attemptOpen = true;
    }

    /** Returns the index to resume from: the number of frames released so far. */
    public long nextIndex() {
        return nextIndex;
    }

    /** Returns whether the last frame was released. An answer that ended otherwise is cut. */
    public boolean complete() {
        return complete;
    }

    /** Returns the number of dropped frames of other or ended attempts. */
    public long foreignFrames() {
        return foreignFrames;
    }

    /** Returns the number of dropped frames whose index was released before. */
    public long repeatedFrames() {
        return repeatedFrames;
    }

    /** Returns the number of frames that came after a missing one. */
    public long skippedFrames() {
        return skippedFrames;
    }
}
