package org.agatehatch.gateway.process;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.gateway.connection.CallerMemory;
import org.agatehatch.gateway.metrics.GatewayMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs and counts what is refused to callers because memory or descriptors are used up. */
final class CallerMemoryLog implements CallerMemory.Listener {
    private static final Logger log = LoggerFactory.getLogger(CallerMemoryLog.class);

    /** The state may change many times a second under a flood. */
    private static final long LINE_INTERVAL_MILLIS = 10_000;

    private final GatewayMetrics metrics;
    private final MonotonicClock clock;
    private OptionalLong pausedNanos = OptionalLong.empty();
    private final Map<CallerMemory.State, Long> loggedNanos = new EnumMap<>(CallerMemory.State.class);

    CallerMemoryLog(GatewayMetrics metrics, MonotonicClock clock) {
        this.metrics = metrics;
        this.clock = clock;
    }

    @Override
    public void onRefusal(CallerMemory.Reason reason) {
        metrics.callerRefused(reason.name().toLowerCase(Locale.ROOT));
    }

    @Override
    public void onAcceptPaused(int connections, int maxConnections) {
        metrics.callerAcceptPaused();
        if (pausedNanos.isPresent() && isRecent(pausedNanos.getAsLong())) {
            return;
        }
        pausedNanos = OptionalLong.of(clock.nanos());
        log.info("event=caller_accept_paused connections={} max_connections={}", connections, maxConnections);
    }

    private boolean isRecent(long nanos) {
        return clock.nanos() - nanos < TimeUnit.MILLISECONDS.toNanos(LINE_INTERVAL_MILLIS);
    }

    @Override
    public void onState(CallerMemory.State state, long usedBytes, int connections) {
        metrics.callerMemory(usedBytes, connections);
        Long last = loggedNanos.get(state);
        if (last != null && isRecent(last)) {
            return;
        }
        loggedNanos.put(state, clock.nanos());
        log.info(
                "event=caller_memory state={} used_bytes={} connections={}",
                state.name().toLowerCase(Locale.ROOT),
                usedBytes,
                connections);
    }
}
