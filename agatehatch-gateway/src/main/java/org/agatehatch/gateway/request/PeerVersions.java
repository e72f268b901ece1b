package org.agatehatch.gateway.request;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** What nodes that read the store tell of the software versions of a service's servers. */
@FunctionalInterface
public interface PeerVersions {
    /**
     * Completes with the only version that a service has had for a span of time until this call or later; empty if no node can
     * tell.
     */
    CompletionStage<Optional<String>> find(String service, long spanMillis);
}
