package org.agatehatch.gateway.process;

import java.util.Locale;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.gateway.metrics.GatewayMetrics;
import org.agatehatch.internal.request.CapacityEstimates;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs and counts what is learned of the speed of backend servers. Runs on the traffic thread. */
final class CapacityLog implements CapacityEstimates.Listener {
    private static final Logger log = LoggerFactory.getLogger(CapacityLog.class);

    /** Lines per second; when all servers change at once, the first ones tell enough. */
    private static final int MAX_LINES = 5;

    private static final long PERIOD_MILLIS = 1_000;

    private final GatewayMetrics metrics;
    private final MonotonicClock clock;
    private long periodStartMillis;
    private int lines;

    CapacityLog(GatewayMetrics metrics, MonotonicClock clock) {
        this.metrics = metrics;
        this.clock = clock;
    }

    @Override
    public void onFactor(ServerEntry server, double factor, int answers, int usefulConcurrency, String reason) {
        metrics.capacityChanged(server.service());
        long nowMillis = clock.millis();
        if (nowMillis - periodStartMillis >= PERIOD_MILLIS) {
            periodStartMillis = nowMillis;
            lines = 0;
        }
        if (lines++ < MAX_LINES) {
            log.info(
                    "event=server_capacity service={} process={} factor={} samples={} useful_concurrency={} reason={}",
                    server.service(),
                    server.processKey(),
                    String.format(Locale.ROOT, "%.2f", factor),
                    answers,
                    usefulConcurrency,
                    reason);
        }
    }

    @Override
    public void onService(String service, double usualFactor, double slowestFactor, int answeringServers) {
        metrics.serviceCapacity(service, usualFactor, slowestFactor, answeringServers);
    }
}
