package org.agatehatch.api.routing;

import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/**
 * Predicts the time to the first token at a candidate: distance + queued work / rate + uncached prompt tokens / prefill
 * rate + adapter load if the adapter is not resident.
 *
 * @param assumedPrefillTokensPerSecond prompt rate of a runner that has reported none
 * @param adapterLoadMillis time that one adapter load takes below the pool's limit of loads in flight
 * @param runningRequestMillis what one request in the batch adds, since it takes a part of each engine step
 * @param staleReportMillis age beyond which a report says nothing about the present queue
 */
public record FirstTokenModel(
        double assumedPrefillTokensPerSecond,
        double adapterLoadMillis,
        double runningRequestMillis,
        long staleReportMillis) {
    /**
     * The platform states 5 to 10 ms for an adapter load. The other figures are assumptions: engines report their prompt
     * rate, 0.2 ms only decides between empty queues, and 40 s is more than twice the longest digest period.
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
                            + ", so no wait can be predicted; give a rate above 0");
        }
    }

    /** Returns whether the candidate's report is young enough to tell its queue. */
    boolean hasFreshReport(Candidate candidate) {
        return candidate.reportAgeMillis() <= staleReportMillis;
    }

    /** Returns the predicted time from now to the first token, with the candidate's own figure for its queue. */
    public double predictMillis(RoutingRequest request, Candidate candidate) {
        return predictMillis(request, candidate, candidate.queuedTokens());
    }

    /** Returns the predicted time in which the candidate works off its queue. */
    public double queueMillis(Candidate candidate) {
        return 1_000 * candidate.queuedTokens() / rate(candidate);
    }

    /** Returns the predicted time from now to the first token, with another estimate of the queue. */
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
