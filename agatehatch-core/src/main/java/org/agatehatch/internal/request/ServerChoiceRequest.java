package org.agatehatch.internal.request;

import java.util.Optional;
import java.util.Set;
import org.agatehatch.api.fleet.GenerationRequest;
import org.agatehatch.api.fleet.RouteSpec;

/**
 * A request for which a backend server is needed.
 *
 * @param tried ids of servers that it was sent to before
 * @param remainingMillis time until the caller or the route gives up
 */
public record ServerChoiceRequest(
        RouteSpec route,
        String service,
        Optional<GenerationRequest> generation,
        Set<String> tried,
        long remainingMillis,
        int bodyBytes) {}
