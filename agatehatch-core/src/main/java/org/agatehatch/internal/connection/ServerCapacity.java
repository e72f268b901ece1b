package org.agatehatch.internal.connection;

import java.util.Optional;

/**
 * What is known from answers about the speed of one server process. Logarithms of factors, since a server twice as fast and one
 * twice as slow are equally far from the usual one.
 */
public final class ServerCapacity {
    /** Answers after which a server's own value counts in full; before, the service's median has a part. */
    private static final double FULL_WEIGHT_ANSWERS = 4;

    /** Time without answers in which a value decays to the service's median, so that a recovered server is tried again. */
    private static final double DECAY_MILLIS = 10_000;

    /** Time over which the rate of the other nodes' work is averaged. */
    private static final double RATE_MILLIS = 2_000;

    /** Differences below this number of standard errors are chance. */
    private static final double CHANCE_ERRORS = 3;

    /** Smallest error assumed, since few answers may agree by chance. */
    private static final double MIN_ERROR = 0.1;

    private final MovingMedian firstEvent = new MovingMedian();
    private final MovingMedian output = new MovingMedian();
    private final LatencyByConcurrency latency;
    private double othersWork;
    private long othersWorkAtMillis;
    private double reportedLog;

    /**
     * Creates the capacity of a process that has not answered.
     *
     * @param slots requests that the server runs at once
     */
    public ServerCapacity(int slots) {
        latency = new LatencyByConcurrency(Math.max(1, slots));
    }

    /** Records the logarithm of the ratio of an actual to the expected time to the first event. */
    public void recordFirstEvent(double log, long nowMillis) {
        firstEvent.add(log, nowMillis);
    }

    /** Records the same for a runner's answer with a model, whose own factor is not the runner's. */
    public void recordFirstEvent(double log, ServerCapacity model, long nowMillis) {
        firstEvent.add(log, model.firstEvent, nowMillis);
    }

    /** Records the logarithm of the ratio of a runner's actual to its expected time for a generation's output. */
    public void recordOutput(double log, long nowMillis) {
        output.add(log, nowMillis);
    }

    /** Records the same for a runner's answer with a model, whose own factor is not the runner's. */
    public void recordOutput(double log, ServerCapacity model, long nowMillis) {
        output.add(log, model.output, nowMillis);
    }

    /** Records the logarithm of the latency of a server without generation, at a number of requests in flight. */
    public void recordLatency(double logMillis, int inFlight, long nowMillis) {
        firstEvent.add(logMillis - latency.expectedLog(inFlight), nowMillis);
        latency.add(inFlight, logMillis - firstEvent.median());
    }

    /** Returns the logarithm of the first event's factor, given that of the service's usual server. */
    public double firstEventLog(double usualLog, long nowMillis) {
        return weighted(firstEvent, usualLog, nowMillis);
    }

    /**
     * Returns the same as far as the difference from the usual server's exceeds what chance explains. Queues of other nodes'
     * requests that a node does not see yet look like a slow server; taken at face value, they made all nodes move between servers.
     */
    public double significantFirstEventLog(double usualLog, long nowMillis) {
        double difference = firstEventLog(usualLog, nowMillis) - usualLog;
        double chance = CHANCE_ERRORS * Math.max(firstEvent.error(), MIN_ERROR);
        double excess = Math.abs(difference) <= chance ? 0 : 1 - chance * chance / (difference * difference);
        return usualLog + difference * excess;
    }

    /** Returns the logarithm of the output's factor, given that of the service's usual server. */
    public double outputLog(double usualLog, long nowMillis) {
        return weighted(output, usualLog, nowMillis);
    }

    /** Returns the logarithm of how much longer an answer takes with this many requests in flight. */
    public double concurrencyLog(int inFlight) {
        return latency.expectedLog(inFlight);
    }

    /** Returns the largest number of requests in flight at which a server without generation still answers well. */
    public int usefulConcurrency() {
        return latency.limit();
    }

    /** Returns the median of the latest answers, or nothing before the first one or once it has decayed. */
    public Optional<Double> ownFirstEventLog(long nowMillis) {
        return own(firstEvent, nowMillis);
    }

    /** Returns the median of the latest outputs, or nothing before the first one or once it has decayed. */
    public Optional<Double> ownOutputLog(long nowMillis) {
        return own(output, nowMillis);
    }

    /** Returns the number of answers that the factor rests on. */
    public int answers() {
        return firstEvent.size();
    }

    /** Records work that other nodes had sent to the server. */
    public void recordOthersWork(double work, long nowMillis) {
        othersWork = decayedWork(nowMillis) + work;
        othersWorkAtMillis = nowMillis;
    }

    /** Returns the work that other nodes send to the server in a millisecond. */
    public double othersWorkPerMilli(long nowMillis) {
        return othersWork == 0 ? 0 : decayedWork(nowMillis) / RATE_MILLIS;
    }

    /** Returns whether the factor, relative to the usual server's, has changed by half since this was last true. */
    public boolean hasChangedByHalf(double relativeLog) {
        if (Math.abs(relativeLog - reportedLog) < Math.log(1.5)) {
            return false;
        }
        reportedLog = relativeLog;
        return true;
    }

    private double decayedWork(long nowMillis) {
        return othersWork * Math.exp((othersWorkAtMillis - nowMillis) / RATE_MILLIS);
    }

    private static Optional<Double> own(MovingMedian median, long nowMillis) {
        boolean known = median.size() > 0 && nowMillis - median.latestMillis() < DECAY_MILLIS;
        return known ? Optional.of(median.median()) : Optional.empty();
    }

    private static double weighted(MovingMedian own, double usualLog, long nowMillis) {
        if (own.size() == 0) {
            return usualLog;
        }
        double byAge = Math.max(0, 1 - (nowMillis - own.latestMillis()) / DECAY_MILLIS);
        double byAnswers = Math.min(1, own.size() / FULL_WEIGHT_ANSWERS);
        return usualLog + byAge * byAnswers * (own.median() - usualLog);
    }
}
