package org.agatehatch.api.fleet;

import java.util.List;
import java.util.Map;

/**
 * One version of the operator's configuration.
 *
 * @param teams empty if requests need no API key
 */
public record FleetConfig(
        long version,
        List<RouteSpec> routes,
        Map<String, ServiceSpec> services,
        ClientLimits limits,
        List<TeamSpec> teams) {
    /** The placeholder that is in use until the first configuration is received. */
    public static final FleetConfig NONE = new FleetConfig(-1, List.of(), Map.of(), ClientLimits.INITIAL);

    public FleetConfig {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
        teams = List.copyOf(teams);
    }

    /** Creates a configuration without teams. */
    public FleetConfig(long version, List<RouteSpec> routes, Map<String, ServiceSpec> services, ClientLimits limits) {
        this(version, routes, services, limits, List.of());
    }

    /** Returns whether this is a configuration from the store, not {@link #NONE}. */
    public boolean known() {
        return version >= 0;
    }
}
