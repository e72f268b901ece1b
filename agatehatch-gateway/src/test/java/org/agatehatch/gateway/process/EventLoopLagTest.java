package org.agatehatch.gateway.process;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public final class EventLoopLagTest {
    private long nowMillis;

    // Guards against a thread that stands still unseen, and against a delay that is counted again by later
    // measurements.
    @Test
    public void only_the_time_beyond_the_interval_is_lag() {
        List<Long> late = new ArrayList<>();
        EventLoopLag lag = new EventLoopLag(() -> TimeUnit.MILLISECONDS.toNanos(nowMillis), late::add);
        for (long pause : new long[] {100, 1_600, 100, 99, 130}) {
            nowMillis += pause;
            lag.measure();
        }
        assertEquals(late, List.of(0L, 1_500L, 0L, 0L, 30L));
    }
}
