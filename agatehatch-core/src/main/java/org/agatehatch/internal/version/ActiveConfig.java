package org.agatehatch.internal.version;

import org.agatehatch.api.fleet.FleetConfig;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The newest configuration that this process has seen. It never goes back to an older version. */
public final class ActiveConfig {
    private static final Logger log = LoggerFactory.getLogger(ActiveConfig.class);

    private volatile RouteTable routes = new RouteTable(FleetConfig.NONE);

    /** Puts a configuration in force if it is newer than the present one, and returns whether it was. */
    public synchronized boolean updateIfNewer(FleetConfig config) {
        FleetConfig present = routes.config();
        if (config.version() <= present.version()) {
            return false;
        }
        routes = new RouteTable(config);
        log.info(
                "event=config_in_force version={} previous={} routes={} services={}",
                config.version(),
                present.version(),
                config.routes().size(),
                config.services().size());
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
