package org.agatehatch.internal.connection;

/**
 * How far a runner's cache events are believed, 0 to 1. Immutable.
 *
 * @param slot number that stands for the runner in the index; a snapshot or a new process gets a new one, so that
 *     everything known before is forgotten at once
 * @param runnerEpoch engine process; empty if the runner has published nothing
 */
record CacheConfidence(int slot, String runnerEpoch, long sequence, double confidence, long lastEventNanos) {
    /** Belief in a block for which the only evidence is that this node sent a prompt with it. */
    static final double OWN_SEND_CONFIDENCE = 0.5;

    private static final double DECAY_FACTOR = 0.5;

    static CacheConfidence unknown(int slot, long nowNanos) {
        return new CacheConfidence(slot, "", -1, OWN_SEND_CONFIDENCE, nowNanos);
    }

    boolean hasEvents() {
        return !runnerEpoch.isEmpty();
    }

    /** Returns the belief now: each full period without an event halves it. */
    double decayedAt(long nowNanos, long silenceNanos) {
        if (!hasEvents()) {
            return confidence;
        }
        double silentPeriods = (double) Math.floorDiv(Math.max(0, nowNanos - lastEventNanos), silenceNanos);
        return confidence * Math.pow(DECAY_FACTOR, silentPeriods);
    }

    /** Returns the belief after an event; what silence took away stays away until a snapshot. */
    CacheConfidence afterEvent(long newSequence, long nowNanos, long silenceNanos) {
        double factor = newSequence == sequence + 1 ? 1 : DECAY_FACTOR;
        return new CacheConfidence(slot, runnerEpoch, newSequence, decayedAt(nowNanos, silenceNanos) * factor, nowNanos);
    }
}
