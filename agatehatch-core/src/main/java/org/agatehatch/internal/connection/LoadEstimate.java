package org.agatehatch.internal.connection;

import java.util.Set;

/**
 * A runner's current load as estimated by this node.
 *
 * @param queuedTokens prompt tokens waiting in the engine's queue
 * @param runningRequests requests in the engine's batch
 * @param prefillTokensPerSecond prompt processing rate; 0 if not known
 * @param decodeTokensPerSecond output rate of one request; 0 if not known
 * @param adapterLoads adapter loads in progress at the time of the report
 * @param adapters resident adapters at the time of the report
 * @param reportAgeMillis age of the report; {@link Long#MAX_VALUE} if there is none
 */
public record LoadEstimate(
        double queuedTokens,
        double runningRequests,
        double prefillTokensPerSecond,
        double decodeTokensPerSecond,
        int adapterLoads,
        Set<String> adapters,
        long reportAgeMillis) {}
