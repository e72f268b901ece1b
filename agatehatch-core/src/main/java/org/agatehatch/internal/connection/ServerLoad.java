package org.agatehatch.internal.connection;

import org.agatehatch.api.time.MonotonicClock;

/** What this node has in flight at one backend server, and how long its last answers took to begin. */
public final class ServerLoad {
    /** Time in which an observed delay loses two thirds of its weight; queues in the engines change within seconds. */
    private static final double DELAY_DECAY_MILLIS = 1_500;

    /** Weight of the newest answer in the part of answers that are failures. */
    private static final double FAILURE_SMOOTHING = 0.15;

    /** Time in which a part of failures that was observed loses two thirds of its weight. */
    private static final double FAILURE_DECAY_MILLIS = 4_000;

    /** Weight of the newest delay. */
    private static final double DELAY_SMOOTHING = 0.3;

    private final MonotonicClock clock;
    private int inFlight;
    private long pendingPrefillTokens;
    private double excessDelayMillis;
    private long delayAtMillis;
    private double failureFraction;
    private long answeredAtMillis;

    public ServerLoad(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Notes that a request was sent. */
    public void recordSent(int promptTokensToRead) {
        inFlight++;
        pendingPrefillTokens += promptTokensToRead;
    }

    /** Notes that the answer to a request has begun, or that it ended without one. */
    public void recordPrefillEnd(int promptTokensToRead) {
        pendingPrefillTokens -= promptTokensToRead;
    }

    /** Notes by how much an answer began later than its prompt explains. */
    public void recordDelay(double millis) {
        double before = excessDelayMillis();
        excessDelayMillis = before + DELAY_SMOOTHING * (Math.max(0, millis) - before);
        delayAtMillis = clock.millis();
    }

    /** Notes an answer of the server's own, a failure or not. */
    public void recordAnswer(boolean failure) {
        failureFraction = failureFraction() + FAILURE_SMOOTHING * ((failure ? 1 : 0) - failureFraction());
        answeredAtMillis = clock.millis();
    }

    /** Returns the part of the last answers that were failures; it fades while nothing is observed. */
    public double failureFraction() {
        double ageMillis = (double) (clock.millis() - answeredAtMillis);
        return failureFraction * Math.exp(-ageMillis / FAILURE_DECAY_MILLIS);
    }

    /** Notes that a request ended. */
    public void recordEnd() {
        inFlight--;
    }

    /** Returns the number of this node's requests at the server. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns the prompt tokens of this node's requests whose answers have not begun. */
    public long pendingPrefillTokens() {
        return pendingPrefillTokens;
    }

    /** Returns the delay that was observed lately; it fades while nothing is observed. */
    public double excessDelayMillis() {
        double ageMillis = (double) (clock.millis() - delayAtMillis);
        return excessDelayMillis * Math.exp(-ageMillis / DELAY_DECAY_MILLIS);
    }
}
