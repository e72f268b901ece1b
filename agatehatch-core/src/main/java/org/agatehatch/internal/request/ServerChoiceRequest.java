package org.agatehatch.internal.request;

import java.util.Optional;
import java.util.Set;
import org.agatehatch.api.fleet.GenerationRequest;
import org.agatehatch.api.fleet.RouteSpec;

/**
 * A request for which {@link ServerChooser} chooses a backend server.
 *
 * @param softwareVersion version of the servers' software that a stream must go on at; empty if any will do
 * @param tried ids of the servers of earlier attempts
 * @param remainingMillis time until the deadline of the caller or of the route
 * @param patienceMillis time until the caller gives up if nothing of the answer has arrived
 */
public record ServerChoiceRequest(
        RouteSpec route,
        String service,
        Optional<GenerationRequest> generation,
        Optional<String> softwareVersion,
        Set<String> tried,
        long remainingMillis,
        long patienceMillis,
        int bodyBytes) {}
