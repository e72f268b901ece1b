package org.agatehatch.internal.connection;

/**
 * Confidence, from 0 to 1, that this node's copy of a runner's cache content is correct. Immutable.
 *
 * @param slot number that identifies the runner in the index; a snapshot or a new engine process gets a new slot, which
 *     invalidates all earlier index entries of the runner at once
 * @param runnerEpoch identifies the engine process; empty if the runner has published no events
 * @param sequence sequence number of the last event; -1 if there was none
 * @param confidence confidence at the time of the last event
 */
record CacheConfidence(int slot, String runnerEpoch, long sequence, double confidence, long lastEventNanos) {
    /** Confidence in a block whose only evidence is that this node sent a prompt that contains it. */
    static final double OWN_SEND_CONFIDENCE = 0.5;

    private static final double DECAY_FACTOR = 0.5;

    static CacheConfidence unknown(int slot, long nowNanos) {
        return new CacheConfidence(slot, "", -1, OWN_SEND_CONFIDENCE, nowNanos);
    }

    boolean hasEvents() {
        return !runnerEpoch.isEmpty();
    }

    /** Returns the confidence now: each full {@code silenceNanos} without an event halves it. */
    double decayedAt(long nowNanos, long silenceNanos) {
        if (!hasEvents()) {
            return confidence;
        }
        double silentPeriods = (double) Math.floorDiv(Math.max(0, nowNanos - lastEventNanos), silenceNanos);
        return confidence * Math.pow(DECAY_FACTOR, silentPeriods);
    }

    /**
     * Returns the confidence after an event. A gap in the sequence numbers halves it. Confidence lost to gaps or to
     * silence is regained only by a snapshot or a new engine process.
     */
    CacheConfidence afterEvent(long newSequence, long nowNanos, long silenceNanos) {
        double factor = newSequence == sequence + 1 ? 1 : DECAY_FACTOR;
        return new CacheConfidence(
                slot, runnerEpoch, newSequence, decayedAt(nowNanos, silenceNanos) * factor, nowNanos);
    }
}
