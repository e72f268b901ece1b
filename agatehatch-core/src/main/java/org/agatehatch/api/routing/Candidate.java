package org.agatehatch.api.routing;

import org.agatehatch.api.catalogue.BackendServer;

/**
 * A backend server to which an attempt can be routed, with the metrics that a routing policy may use. All metrics are
 * estimates of this node.
 *
 * @param distanceMillis one-way network latency from this node
 * @param queuedTokens tokens waiting, from the load report plus the requests sent since then
 * @param runningRequests requests in the batch, from the load report plus the requests sent since then
 * @param prefillTokensPerSecond rate at which prompts are computed; 0 if unknown
 * @param cachedPromptTokens leading prompt tokens that are likely in the server's prefix cache
 * @param adapterResident whether the adapter is resident on the server, or the request needs none
 * @param adapterLoadAllowed whether this node may start an adapter load on the server now
 * @param reportAgeMillis age of the load report; {@link Long#MAX_VALUE} if there is none
 */
public record Candidate(
        BackendServer server,
        double distanceMillis,
        double queuedTokens,
        double runningRequests,
        double prefillTokensPerSecond,
        int cachedPromptTokens,
        boolean adapterResident,
        boolean adapterLoadAllowed,
        long reportAgeMillis) {
    /** Returns the estimated number of prompt tokens that are not in the server's prefix cache. */
    public int uncachedTokens(int promptTokens) {
        return Math.max(0, promptTokens - cachedPromptTokens);
    }
}
