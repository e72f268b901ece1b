package org.agatehatch.internal.connection;

import org.agatehatch.api.time.MonotonicClock;

/** This node's requests in flight at one backend server, and the recent delays and failures of its answers. */
public final class ServerLoad {
    /** Time in which an observed delay decays to about one third; queues in the engines change within seconds. */
    private static final double DELAY_DECAY_MILLIS = 1_500;

    /** Weight of the newest answer in the moving average of the failure fraction. */
    private static final double FAILURE_SMOOTHING = 0.15;

    /** Time in which the failure fraction decays to about one third. */
    private static final double FAILURE_DECAY_MILLIS = 4_000;

    /** Weight of the newest delay in the moving average. */
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

    /** Records that a request was sent. */
    public void recordSent(int promptTokensToRead) {
        inFlight++;
        pendingPrefillTokens += promptTokensToRead;
    }

    /** Records that the answer to a request has begun, or that the request ended without an answer. */
    public void recordPrefillEnd(int promptTokensToRead) {
        pendingPrefillTokens -= promptTokensToRead;
    }

    /** Records by how much an answer began later than its prompt length explains. */
    public void recordDelay(double millis) {
        double before = excessDelayMillis();
        excessDelayMillis = before + DELAY_SMOOTHING * (Math.max(0, millis) - before);
        delayAtMillis = clock.millis();
    }

    /** Records an answer that the server itself gave, and whether it was a failure. */
    public void recordAnswer(boolean failure) {
        failureFraction = failureFraction() + FAILURE_SMOOTHING * ((failure ? 1 : 0) - failureFraction());
        answeredAtMillis = clock.millis();
    }

    /** Returns the fraction of recent answers that were failures, 0 to 1; it decays while no answers arrive. */
    public double failureFraction() {
        double ageMillis = (double) (clock.millis() - answeredAtMillis);
        return failureFraction * Math.exp(-ageMillis / FAILURE_DECAY_MILLIS);
    }

    /** Records that a request ended. */
    public void recordEnd() {
        inFlight--;
    }

    /** Returns the number of this node's requests in flight at the server. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns the prompt tokens of this node's requests whose answers have not begun. */
    public long pendingPrefillTokens() {
        return pendingPrefillTokens;
    }

    /** Returns the recent excess delay; it decays while no answers arrive. */
    public double excessDelayMillis() {
        double ageMillis = (double) (clock.millis() - delayAtMillis);
        return excessDelayMillis * Math.exp(-ageMillis / DELAY_DECAY_MILLIS);
    }
}
