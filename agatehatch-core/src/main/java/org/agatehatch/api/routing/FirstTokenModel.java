package org.agatehatch.api.routing;

import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/**
 * Predicts the time to the first token on a candidate: network round trip, plus queued and uncached prompt tokens
 * divided by the prefill rate, plus a time for each running request, plus the load of an adapter that is not resident.
 *
 * @param assumedPrefillTokensPerSecond prefill rate of a runner that has reported none; above 0
 * @param adapterLoadMillis time of one adapter load while the pool is below its limit of loads in flight
 * @param runningRequestMillis time that each request in the batch adds, since it takes part of each engine step
 * @param staleReportMillis age above which a load report is too old to estimate the current queue
 */
public record FirstTokenModel(
        double assumedPrefillTokensPerSecond,
        double adapterLoadMillis,
        double runningRequestMillis,
        long staleReportMillis) {
    /**
     * The platform specifies 5 to 10 ms for an adapter load. The other values are assumptions: the prefill rate applies
     * only until an engine reports its own, 0.2 ms only ranks candidates with empty queues, and 40 s is more than twice
     * the longest digest period.
     */
    public static final FirstTokenModel DEFAULT = new FirstTokenModel(8_000, 10, 0.2, 40_000);

    public FirstTokenModel {
        if (assumedPrefillTokensPerSecond <= 0) {
            throw new AgatehatchException(
                    ErrorCode.INVALID_SETTING,
                    "route",
                    "self",
                    Outcome.NOT_RUN,
                    "assumedPrefillTokensPerSecond is " + assumedPrefillTokensPerSecond
                            + "; predictions need a rate above 0");
        }
    }

    /** Returns whether the candidate's load report is recent enough to estimate its queue. */
    boolean hasFreshReport(Candidate candidate) {
        return candidate.reportAgeMillis() <= staleReportMillis;
    }

    /** Returns the predicted time from now to the first token, based on the candidate's {@code queuedTokens}. */
    public double predictMillis(RoutingRequest request, Candidate candidate) {
        return predictMillis(request, candidate, candidate.queuedTokens());
    }

    /** Returns the predicted time that the candidate needs to process its queue. */
    public double queueMillis(Candidate candidate) {
        return 1_000 * candidate.queuedTokens() / rate(candidate);
    }

    /** Returns the predicted time from now to the first token, based on the given number of queued tokens. */
    double predictMillis(RoutingRequest request, Candidate candidate, double queuedTokens) {
        double tokensPerMilli = rate(candidate) / 1_000;
        int uncachedTokens = candidate.uncachedTokens(request.promptTokens());
        double adapterMillis = candidate.adapterResident() ? 0 : adapterLoadMillis;
        return 2 * candidate.distanceMillis()
                + (queuedTokens + uncachedTokens) / tokensPerMilli
                + candidate.runningRequests() * runningRequestMillis
                + adapterMillis;
    }

    private double rate(Candidate candidate) {
        double reported = candidate.prefillTokensPerSecond();
        return reported > 0 ? reported : assumedPrefillTokensPerSecond;
    }
}
