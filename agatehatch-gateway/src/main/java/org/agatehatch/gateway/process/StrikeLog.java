package org.agatehatch.gateway.process;

import org.agatehatch.gateway.metrics.GatewayMetrics;
import org.agatehatch.internal.process.PoisonRequestDetector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs and counts requests that were in flight at a server process that is known to have died. */
final class StrikeLog {
    private static final Logger log = LoggerFactory.getLogger(StrikeLog.class);

    private final GatewayMetrics metrics;

    StrikeLog(GatewayMetrics metrics) {
        this.metrics = metrics;
    }

    void onStrike(PoisonRequestDetector.Strike strike, int strikes, boolean own) {
        metrics.crashStrike(own);
        log.info(
                "event=crash_strike request_hash={} process={} strikes={} source={}",
                Long.toHexString(strike.fingerprint()),
                strike.process(),
                strikes,
                own ? "own" : "peer");
    }
}
