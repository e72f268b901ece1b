package org.agatehatch.internal.request;

import org.agatehatch.api.fleet.RouteSpec;

/**
 * Figures by which backend servers are compared.
 *
 * @param prefillTokensPerMilli prompt tokens that a runner reads in a millisecond beside its other work
 * @param firstEventMillis time for the tokens of the first event
 * @param crossDomainOneWayMillis one way between failure domains
 * @param crossDomainPenaltyMillis handicap of a server in another failure domain, for the price of bytes between domains
 * @param crossDomainPenaltyMillisPerKb the same for each kilobyte of the request's body
 * @param generationInFlightPenaltyMillis handicap for each of this node's requests in a runner's batch, which slows all its tokens
 * @param plainInFlightPenaltyMillis handicap for each of this node's requests at a plain server
 * @param failurePenaltyMillis handicap of a server all of whose last answers were failures
 * @param homeCachedFraction part of a shared prompt that its home is expected to keep before this node has sent it there
 * @param targetFactor times the target up to which a predicted first event is still accepted
 * @param targetSlackMillis added to that, for errors of the prediction
 * @param resubmittedTimeFraction part of a route's time below which what is left shows that the caller was refused before
 * @param resubmittedWaitFraction part of what such a caller has left up to which a predicted first event is accepted
 * @param retryAfterMillis time after which a refused caller should come back if nothing better is known
 */
public record ChooserSettings(
        double prefillTokensPerMilli,
        double firstEventMillis,
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
        long retryAfterMillis) {
    /**
     * The users' sheets state 38.7 tokens a millisecond for prompts alone, steps of 5.47 ms and more with four tokens to an
     * event, and 0.5 to 1.4 ms between domains.
     */
    public static final ChooserSettings DEFAULT =
            new ChooserSettings(28, 30, 1.4, 5, 2.5, 2, 15, 400, 0.7, 1.5, 400, 0.9, 0.5, 800);

    /**
     * A request that begins much later than its target is worth little, and delays those behind it; its caller does better
     * to come back. One who has come back does not come again, so that a late answer is all it can get.
     */
    double maxFirstEventMillis(RouteSpec route, long leftMillis) {
        double firstWaitMillis = route.targetMillis() * targetFactor + targetSlackMillis;
        boolean returned = leftMillis < resubmittedTimeFraction * route.timeoutMillis();
        return returned ? Math.max(firstWaitMillis, resubmittedWaitFraction * leftMillis) : firstWaitMillis;
    }

    double inFlightPenaltyMillis(boolean generation) {
        return generation ? generationInFlightPenaltyMillis : plainInFlightPenaltyMillis;
    }
}
