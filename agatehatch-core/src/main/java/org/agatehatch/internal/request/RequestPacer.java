package org.agatehatch.internal.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Grants permits for requests to servers that name a limit, evenly spaced and without bursts. One node grants the permits of a
 * server for all nodes. Not thread-safe.
 */
public final class RequestPacer {
    /** Fraction of a limit that is granted; the rest covers orders and reports, which need no permit. */
    static final double GRANTED_FRACTION = 0.9;

    /**
     * Lowest rate that is granted. Only an answer shows that a server no longer names a limit, so that a server with a limit of
     * 0 gets a request from time to time.
     */
    static final double MIN_PER_SECOND = 0.2;

    /**
     * Answer to a request for a permit.
     *
     * @param granted whether the request may be sent
     * @param delayMillis time after which it may be sent; if it was not granted, time after which a permit is free
     */
    public record Permit(boolean granted, long delayMillis) {}

    private final MonotonicClock clock;
    private final Map<String, Long> lastMillisByProcess = new HashMap<>();

    public RequestPacer(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Grants the next permit of a server's process unless it is free only after a time. */
    public Permit request(String process, double limitPerSecond, long maxDelayMillis) {
        long intervalMillis = (long) Math.ceil(1_000 / Math.max(MIN_PER_SECOND, GRANTED_FRACTION * limitPerSecond));
        long nowMillis = clock.millis();
        // The node that granted the server's permits until now may have granted one a moment ago.
        long lastMillis = lastMillisByProcess.computeIfAbsent(process, key -> nowMillis);
        long delayMillis = Math.max(0, lastMillis + intervalMillis - nowMillis);
        if (delayMillis > maxDelayMillis) {
            return new Permit(false, delayMillis);
        }
        lastMillisByProcess.put(process, nowMillis + delayMillis);
        return new Permit(true, delayMillis);
    }

    /** Forgets processes that are gone. */
    public void retain(Set<String> processes) {
        lastMillisByProcess.keySet().retainAll(processes);
    }
}
