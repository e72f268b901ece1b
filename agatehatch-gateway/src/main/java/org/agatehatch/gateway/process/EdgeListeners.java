package org.agatehatch.gateway.process;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.gateway.connection.SimpleHttpServer;

/**
 * Where a node listens.
 *
 * @param callerAddress where requests arrive
 * @param readinessAddress where the platform asks whether the node is ready
 * @param isReadinessPath whether a path asks for that
 * @param directoryAddress where callers ask which nodes to connect to
 * @param directoryEndpoint answers them
 * @param metricsAddress where metrics are served
 */
public record EdgeListeners(
        Optional<PeerAddress> callerAddress,
        Optional<PeerAddress> readinessAddress,
        Predicate<String> isReadinessPath,
        Optional<PeerAddress> directoryAddress,
        Function<String, SimpleHttpServer.Response> directoryEndpoint,
        PeerAddress metricsAddress) {}
