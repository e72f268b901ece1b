package org.agatehatch.gateway.process;

import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.gateway.metrics.GatewayMetrics;
import org.agatehatch.internal.request.ServerAvailability;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs and counts the backend servers that say that they leave, or that they are too busy. */
final class AvailabilityLog implements ServerAvailability.Listener {
    private static final Logger log = LoggerFactory.getLogger(AvailabilityLog.class);

    private final GatewayMetrics metrics;

    AvailabilityLog(GatewayMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void onLeaving(ServerEntry server) {
        metrics.serverLeaving();
        log.info("event=server_leaving process={} address={}", server.processKey(), server.address());
    }

    @Override
    public void onClosed(ServerEntry server, long durationMillis) {
        metrics.serverClosed();
        log.info("event=server_closed process={} for_ms={}", server.processKey(), durationMillis);
    }
}
