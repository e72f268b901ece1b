package org.agatehatch.gateway.process;

import java.util.List;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.gateway.connection.CallerMemory;
import org.agatehatch.internal.process.NodeIdentity;
import org.agatehatch.internal.request.QuotaClient;

/**
 * Settings of a node.
 *
 * @param retryRatio retries allowed per request of a service
 * @param retrySlack further retries allowed per window, shared by all nodes
 * @param retryWindowMillis length of the window over which retries are limited
 * @param membershipTtlMillis time after its last renewal at which a node is removed from the group
 * @param shutdownGraceMillis time between the request to stop and the kill by the platform
 * @param seedHosts hosts of nodes that are asked for state before the group is known
 * @param runnersEnforceFencing whether runners refuse orders whose fencing token is below one that they have seen
 * @param loadWindowSeconds length of the window over which loads from the weight store are limited
 * @param loadOvershootFactor factor by which that limit may be exceeded
 * @param quotaBounds what may be admitted beyond the teams' quotas
 * @param callerLimits limits of the memory and number of callers' connections
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
        double loadOvershootFactor,
        QuotaClient.Bounds quotaBounds,
        CallerMemory.Settings callerLimits) {
    public EdgeSettings {
        seedHosts = List.copyOf(seedHosts);
    }

    /** Creates settings with the default limits of callers, which follow from the process's heap and descriptors. */
    public EdgeSettings(
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
            double loadOvershootFactor,
            QuotaClient.Bounds quotaBounds) {
        this(
                self,
                retryRatio,
                retrySlack,
                retryWindowMillis,
                membershipTtlMillis,
                shutdownGraceMillis,
                peerPort,
                seedHosts,
                runnersEnforceFencing,
                loadWindowSeconds,
                loadOvershootFactor,
                quotaBounds,
                CallerMemory.Settings.ofProcess());
    }

    /** Returns the addresses for traffic between nodes of the seed hosts other than this one. */
    List<String> otherSeedAddresses() {
        return seedHosts.stream()
                .filter(host -> !host.equals(self.host()))
                .map(host -> new PeerAddress(host, peerPort).toString())
                .toList();
    }
}
