package org.agatehatch.gateway.process;

import java.util.concurrent.TimeUnit;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.process.TopicFollower;

/** How recent this node's views of the store are. Thread-safe. */
final class StoreViews {
    /**
     * Age of the last answer about the configuration up to which a key or a route that is not in it is unknown. Answers
     * arrive at least every 2 s while a source is in reach.
     */
    private static final long MAX_CONFIG_ANSWER_AGE_MILLIS = 3_000;

    private final TopicFollower config;
    private final TopicFollower servers;
    private final MonotonicClock clock;

    StoreViews(TopicFollower config, TopicFollower servers, MonotonicClock clock) {
        this.config = config;
        this.servers = servers;
        this.clock = clock;
    }

    /** Returns whether the store or a relay has answered recently what the configuration is. */
    boolean heardOfConfigRecently() {
        return config.wasAnsweredSince(clock.nanos() - TimeUnit.MILLISECONDS.toNanos(MAX_CONFIG_ANSWER_AGE_MILLIS));
    }

    /** Returns whether all servers are known that the store knew at a time. */
    boolean knowsServersAsOf(long nanos) {
        return servers.isCurrentAsOf(nanos);
    }
}
