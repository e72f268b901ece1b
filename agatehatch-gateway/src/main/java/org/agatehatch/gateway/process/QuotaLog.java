package org.agatehatch.gateway.process;

import org.agatehatch.gateway.metrics.GatewayMetrics;
import org.agatehatch.internal.request.QuotaClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts admissions within quotas, and logs the loss of the keeper. Runs on the traffic thread. */
final class QuotaLog implements QuotaClient.Listener {
    private static final Logger log = LoggerFactory.getLogger(QuotaLog.class);

    private final GatewayMetrics metrics;

    QuotaLog(GatewayMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void onAdmitted(String team, long tokens, boolean withoutKeeper) {
        metrics.quotaAdmitted(team, tokens, withoutKeeper);
    }

    @Override
    public void onRefused(String team, long tokens, long retryAfterMillis) {
        // Whoever refuses the request logs and counts it.
    }

    @Override
    public void onKeeperLost() {
        log.warn("event=quota_without_keeper; requests are admitted from this node's shares of the quotas");
    }

    @Override
    public void onKeeperBack(long epoch, long lostMillis, long admitted, long refused) {
        log.info(
                "event=quota_keeper_back epoch={} lost_ms={} admitted={} refused={}",
                epoch,
                lostMillis,
                admitted,
                refused);
    }
}
