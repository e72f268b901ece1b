package org.agatehatch.gateway.process;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.gateway.connection.SimpleHttpServer;

/**
 * Addresses on which a node listens, and what it serves there.
 *
 * @param callerAddress address for callers' requests
 * @param readinessAddress address for the platform's readiness checks
 * @param isReadinessPath whether a path is a readiness check
 * @param directoryAddress address at which callers look up the nodes to connect to
 * @param directoryEndpoint returns the response for a path of the directory
 * @param metricsAddress address at which metrics are served
 */
public record EdgeListeners(
        Optional<PeerAddress> callerAddress,
        Optional<PeerAddress> readinessAddress,
        Predicate<String> isReadinessPath,
        Optional<PeerAddress> directoryAddress,
        Function<String, SimpleHttpServer.Response> directoryEndpoint,
        PeerAddress metricsAddress) {}
