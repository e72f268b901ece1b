package org.agatehatch.gateway.request;

import java.util.HashMap;
import java.util.Map;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.gateway.metrics.GatewayMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts and logs requests that are rejected for their API key or their team's quota. As callers can send any number of them,
 * there is at most one line a second for each reason or team, with the number since the last one. Runs on the traffic thread.
 */
public final class TeamLog {
    /** Interval between two lines of a kind. */
    private static final long INTERVAL_MILLIS = 1_000;

    private static final Logger log = LoggerFactory.getLogger(TeamLog.class);

    private final MonotonicClock clock;
    private final GatewayMetrics metrics;
    private final Map<String, Pending> rejectionsByReason = new HashMap<>();
    private final Map<String, Pending> refusalsByTeam = new HashMap<>();

    public TeamLog(MonotonicClock clock, GatewayMetrics metrics) {
        this.clock = clock;
        this.metrics = metrics;
    }

    /** Records a request with a valid key. */
    void accepted(String team) {
        metrics.teamRequest(team);
    }

    /** Records a request that is rejected for its key. */
    void keyRejected(String reason, String route) {
        metrics.keyRejected(reason);
        int count = countForLine(rejectionsByReason, reason);
        if (count > 0) {
            log.info("event=key_rejected reason={} route={} count={}", reason, route, count);
        }
    }

    /** Records a request that is refused for its team's quota. */
    void quotaRefused(String team, String route, long retryAfterMillis) {
        metrics.quotaRefused(team);
        int count = countForLine(refusalsByTeam, team);
        if (count > 0) {
            log.info(
                    "event=quota_refused team={} route={} retry_after_ms={} count={}",
                    team,
                    route,
                    retryAfterMillis,
                    count);
        }
    }

    /** Returns the number of requests that a line reports; 0 if no line is due. */
    private int countForLine(Map<String, Pending> kinds, String kind) {
        Pending pending = kinds.computeIfAbsent(kind, name -> new Pending());
        pending.count++;
        long nowMillis = clock.millis();
        if (pending.logged && nowMillis - pending.loggedMillis < INTERVAL_MILLIS) {
            return 0;
        }
        int count = pending.count;
        pending.count = 0;
        pending.logged = true;
        pending.loggedMillis = nowMillis;
        return count;
    }

    private static final class Pending {
        private int count;
        private boolean logged;
        private long loggedMillis;
    }
}
