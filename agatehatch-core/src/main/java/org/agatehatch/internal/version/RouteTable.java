package org.agatehatch.internal.version;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.agatehatch.api.fleet.FleetConfig;
import org.agatehatch.api.fleet.RouteSpec;

/** Routes of one configuration, matched by host and longest path prefix, and its teams. Immutable. */
public final class RouteTable {
    private final FleetConfig config;
    private final ApiKeyIndex apiKeys;
    private final TeamPriorities teamPriorities;
    private final Map<String, Map<String, RouteSpec>> routesByHost = new HashMap<>();

    /**
     * Creates the table of a configuration.
     *
     * @throws IllegalArgumentException if the configuration's teams are not valid; the message contains no key
     */
    public RouteTable(FleetConfig config) {
        this.config = config;
        this.apiKeys = new ApiKeyIndex(config.teams());
        this.teamPriorities = new TeamPriorities(config.teams());
        for (RouteSpec route : config.routes()) {
            routesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new HashMap<>())
                    .put(route.pathPrefix(), route);
        }
    }

    /** Returns the configuration that contains the routes. */
    public FleetConfig config() {
        return config;
    }

    /** Returns the API keys of the configuration's teams. */
    public ApiKeyIndex apiKeys() {
        return apiKeys;
    }

    /** Returns the priorities of the configuration's teams. */
    public TeamPriorities teamPriorities() {
        return teamPriorities;
    }

    /**
     * Returns the route of a request; empty if none matches.
     *
     * @param host value of the Host header, with or without a port
     * @param target request target: path and query as the client sent them
     */
    public Optional<RouteSpec> find(String host, String target) {
        Map<String, RouteSpec> routes = routesByHost.get(hostNameWithoutPort(host));
        if (routes == null) {
            return Optional.empty();
        }
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            RouteSpec route = routes.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String hostNameWithoutPort(String host) {
        int colon = host.indexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }
}
