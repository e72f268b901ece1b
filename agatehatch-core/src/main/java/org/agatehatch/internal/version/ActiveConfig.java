package org.agatehatch.internal.version;

import org.agatehatch.api.fleet.FleetConfig;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The newest configuration that this process has received. An older version never replaces a newer one. Thread-safe.
 */
public final class ActiveConfig {
    private static final Logger log = LoggerFactory.getLogger(ActiveConfig.class);

    private volatile RouteTable routes = new RouteTable(FleetConfig.NONE);

    /**
     * Activates a configuration if its version is higher than the current one, and returns whether it did.
     *
     * @throws IllegalArgumentException if the configuration is not valid; the one in force stays
     */
    public synchronized boolean updateIfNewer(FleetConfig config) {
        FleetConfig current = routes.config();
        if (config.version() <= current.version()) {
            return false;
        }
        routes = new RouteTable(config);
        log.info(
                "event=config_in_force version={} previous={} routes={} services={}",
                config.version(),
                current.version(),
                config.routes().size(),
                config.services().size());
        if (!config.teams().isEmpty() || !current.teams().isEmpty()) {
            log.info(
                    "event=teams_in_force version={} teams={} keys={} with_quota={}",
                    config.version(),
                    config.teams().size(),
                    routes.apiKeys().size(),
                    config.teams().stream()
                            .filter(team -> team.quota().limited())
                            .count());
        }
        return true;
    }

    /** Returns the routes in force. */
    public RouteTable routes() {
        return routes;
    }

    /** Returns the configuration in force. */
    public FleetConfig config() {
        return routes.config();
    }
}
