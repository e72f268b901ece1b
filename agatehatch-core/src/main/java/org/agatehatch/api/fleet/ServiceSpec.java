package org.agatehatch.api.fleet;

import java.util.Optional;

/**
 * A service of the configuration.
 *
 * @param maxConnections maximum number of connections that a backend server accepts from all clients together
 * @param engine present if the service's backend servers are runners
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine) {}
