package org.agatehatch.gateway.process;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.agatehatch.api.time.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Measures for how long the thread that handles requests was kept from its next task. Runs on that thread. */
final class EventLoopLag {
    static final long INTERVAL_MILLIS = 100;

    /** Below the shortest timeouts between nodes, which a thread that is late lets pass. */
    static final long LOGGED_MILLIS = 200;

    private static final Logger log = LoggerFactory.getLogger(EventLoopLag.class);

    private final MonotonicClock clock;
    private final LongConsumer lateMillis;
    private long lastNanos;

    EventLoopLag(MonotonicClock clock, LongConsumer lateMillis) {
        this.clock = clock;
        this.lateMillis = lateMillis;
        this.lastNanos = clock.nanos();
    }

    /** To be called {@link #INTERVAL_MILLIS} after its last call has ended. */
    void measure() {
        long nowNanos = clock.nanos();
        long late = Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - lastNanos) - INTERVAL_MILLIS);
        lastNanos = nowNanos;
        lateMillis.accept(late);
        if (late >= LOGGED_MILLIS) {
            log.info("event=event_loop_late late_ms={}", late);
        }
    }
}
