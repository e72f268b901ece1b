package org.agatehatch.internal.request;

/**
 * Checks the frames of a response and releases each index at most once and in order, across one attempt and its
 * resumptions. Not thread safe.
 */
public final class StreamAssembler {
    /** Result of the check of a frame. */
    public enum Verdict {
        /** Forward the frame; more frames follow. */
        RELEASE,
        /** Forward the frame; the response is complete. */
        RELEASE_LAST,
        /** Ignore the frame: it belongs to another attempt, is a duplicate, or arrived after the end. */
        DROP,
        /** Ignore the frame and abort the attempt: at least one earlier frame is missing. */
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

    /** Checks a frame. Only frames with verdict {@code RELEASE} or {@code RELEASE_LAST} may be forwarded. */
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

    /** Ends the current attempt. Later frames of it are dropped. */
    public void endAttempt() {
        attemptOpen = false;
    }

    /**
     * Continues with another attempt, which must start at {@link #nextIndex()}.
     *
     * @throws IllegalStateException if the response is already complete
     */
    public void resumeWith(AttemptId next) {
        if (complete) {
            throw new IllegalStateException(
                    "the response is already complete and cannot be resumed by attempt " + next);
        }
        attempt = next;
        attemptOpen = true;
    }

    /** Returns the index to resume from: the number of frames released so far. */
    public long nextIndex() {
        return nextIndex;
    }

    /** Returns whether the last frame was released. A response that ended without it is incomplete. */
    public boolean complete() {
        return complete;
    }

    /** Returns the number of dropped frames that belong to other or ended attempts. */
    public long foreignFrames() {
        return foreignFrames;
    }

    /** Returns the number of dropped frames whose index was already released. */
    public long repeatedFrames() {
        return repeatedFrames;
    }

    /** Returns the number of frames that arrived after a missing frame and aborted their attempt. */
    public long skippedFrames() {
        return skippedFrames;
    }
}
