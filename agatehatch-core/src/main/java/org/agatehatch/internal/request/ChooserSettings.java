package org.agatehatch.internal.request;

import org.agatehatch.api.fleet.RouteSpec;

/**
 * Parameters of the cost estimate by which {@link ServerChooser} compares backend servers.
 *
 * @param prefillTokensPerMilli prompt tokens that a runner prefills per millisecond while it also decodes
 * @param firstEventMillis time to decode the tokens of the first event
 * @param generationMillis usual time for which a generation takes one of a runner's slots
 * @param crossDomainOneWayMillis one-way network latency between failure domains
 * @param crossDomainPenaltyMillis fixed penalty of a server in another failure domain, for the cost of traffic
 *     between domains
 * @param crossDomainPenaltyMillisPerKb additional penalty per kilobyte of the request body
 * @param generationInFlightPenaltyMillis penalty per request in flight at a runner, since a larger batch slows every
 *     token
 * @param plainInFlightPenaltyMillis penalty per request in flight at a server without generation
 * @param failurePenaltyMillis penalty of a server whose recent responses were all failures, scaled by its failure rate
 * @param homeCachedFraction fraction of a shared prompt that its home server is assumed to have cached, even if this
 *     node has not sent it there
 * @param targetFactor multiple of the route's target latency up to which a predicted first event is accepted
 * @param targetSlackMillis margin added to that limit for prediction errors
 * @param resubmittedTimeFraction a request with less than this fraction of the route's timeout remaining is taken as
 *     resubmitted after a refusal
 * @param resubmittedWaitFraction fraction of the remaining time up to which a predicted first event of a resubmitted
 *     request is accepted
 * @param retryAfterMillis retry-after time of a refusal, plus any predicted excess over the limit
 * @param learnedRunnerSpeeds whether runners are chosen by their learned speed, and requests to them spread by what other nodes
 *     probably sent; servers without generation always are
 */
public record ChooserSettings(
        double prefillTokensPerMilli,
        double firstEventMillis,
        double generationMillis,
        double crossDomainOneWayMillis,
        double crossDomainPenaltyMillis,
        double crossDomainPenaltyMillisPerKb,
        double generationInFlightPenaltyMillis,
        double plainInFlightPenaltyMillis,
        double failurePenaltyMillis,
        double homeCachedFraction,
        double targetFactor,
        double targetSlackMillis,
        double resubmittedTimeFraction,
        double resubmittedWaitFraction,
        long retryAfterMillis,
        boolean learnedRunnerSpeeds) {
    /**
     * Based on the users' data sheets: 38.7 tokens per millisecond for prefill without other work, decode steps of at
     * least 5.47 ms with four tokens per event, and 0.5 to 1.4 ms between failure domains.
     */
    public static final ChooserSettings DEFAULT =
            new ChooserSettings(28, 30, 1_000, 1.4, 5, 2.5, 2, 15, 400, 0.7, 1.5, 400, 0.9, 0.5, 800, false);

    /** Returns these settings with runners chosen by their learned speed. */
    public ChooserSettings withLearnedRunnerSpeeds() {
        return new ChooserSettings(
                prefillTokensPerMilli,
                firstEventMillis,
                generationMillis,
                crossDomainOneWayMillis,
                crossDomainPenaltyMillis,
                crossDomainPenaltyMillisPerKb,
                generationInFlightPenaltyMillis,
                plainInFlightPenaltyMillis,
                failurePenaltyMillis,
                homeCachedFraction,
                targetFactor,
                targetSlackMillis,
                resubmittedTimeFraction,
                resubmittedWaitFraction,
                retryAfterMillis,
                true);
    }

    /**
     * Returns the longest acceptable time to the first event. A response that starts much later than its target is of
     * little use and delays the requests behind it, so the request is refused and the caller retries later. A request
     * that was already resubmitted gets a higher limit, because callers do not resubmit twice and a late response is
     * better than none.
     */
    double maxFirstEventMillis(RouteSpec route, long leftMillis) {
        double limitMillis = route.targetMillis() * targetFactor + targetSlackMillis;
        boolean resubmitted = leftMillis < resubmittedTimeFraction * route.timeoutMillis();
        return resubmitted ? Math.max(limitMillis, resubmittedWaitFraction * leftMillis) : limitMillis;
    }

    double inFlightPenaltyMillis(boolean generation) {
        return generation ? generationInFlightPenaltyMillis : plainInFlightPenaltyMillis;
    }
}
