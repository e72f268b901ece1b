package org.agatehatch.internal.request;

import org.agatehatch.api.fleet.RouteSpec;

/**
 * Figures by which backend servers are compared.
 *
 * @param prefillTokensPerMilli prompt tokens that a runner reads in a millisecond beside its other work
 * @param firstEventMillis time for the tokens of the first event
 * @param crossDomainMillis one way between failure domains
 * @param crossingMillis handicap of a server in another failure domain, for the price of bytes between domains
 * @param crossingMillisPerKb the same for each kilobyte of the request's body
 * @param generationBatchMillis handicap for each of this node's requests in a runner's batch, which slows all its tokens
 * @param plainBatchMillis handicap for each of this node's requests at a plain server
 * @param failureMillis handicap of a server all of whose last answers were failures
 * @param homeTrust part of a shared prompt that its home is expected to keep before this node has sent it there
 * @param lateFactor times the target up to which a predicted first event is still accepted
 * @param lateSlackMillis added to that, for errors of the prediction
 * @param returnedPart part of a route's time below which what is left shows that the caller was refused before
 * @param returnedWaitPart part of what such a caller has left up to which a predicted first event is accepted
 * @param retryAfterMillis time after which a refused caller should come back if nothing better is known
 */
public record ChooserSettings(
        double prefillTokensPerMilli,
        double firstEventMillis,
        double crossDomainMillis,
        double crossingMillis,
        double crossingMillisPerKb,
        double generationBatchMillis,
        double plainBatchMillis,
        double failureMillis,
        double homeTrust,
        double lateFactor,
        double lateSlackMillis,
        double returnedPart,
        double returnedWaitPart,
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
    double longestWaitMillis(RouteSpec route, long leftMillis) {
        double firstWaitMillis = route.targetMillis() * lateFactor + lateSlackMillis;
        boolean returned = leftMillis < returnedPart * route.timeoutMillis();
        return returned ? Math.max(firstWaitMillis, returnedWaitPart * leftMillis) : firstWaitMillis;
    }

    double batchMillisPerRequest(boolean generation) {
        return generation ? generationBatchMillis : plainBatchMillis;
    }
}
