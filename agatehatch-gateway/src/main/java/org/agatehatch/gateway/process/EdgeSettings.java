package org.agatehatch.gateway.process;

import java.util.List;
import org.agatehatch.internal.process.NodeIdentity;

/**
 * Settings of a node.
 *
 * @param retryRatio sends beyond the first that are allowed per request of a service
 * @param retrySlack such sends allowed besides, by all nodes together, in one window
 * @param membershipTtlMillis time after which a silent node is dropped from the group
 * @param shutdownGraceMillis time between the request to stop and the kill
 * @param seedHosts hosts of nodes that may be asked for state before the group is known
 * @param runnersEnforceFencing whether runners refuse orders with a token below one that they have seen
 * @param loadWindowSeconds window in which loads from the weight store are limited
 * @param loadOvershootFactor factor by which the limit may be passed
 */
public record EdgeSettings(
        NodeIdentity self,
        double retryRatio,
        double retrySlack,
        long retryWindowMillis,
        long membershipTtlMillis,
        long shutdownGraceMillis,
        int peerPort,
        List<String> seedHosts,
        boolean runnersEnforceFencing,
        double loadWindowSeconds,
        double loadOvershootFactor) {
    public EdgeSettings {
        seedHosts = List.copyOf(seedHosts);
    }
}
