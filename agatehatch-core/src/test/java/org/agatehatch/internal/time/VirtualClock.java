package org.agatehatch.internal.time;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.agatehatch.api.time.MonotonicClock;

/** A monotonic clock that advances only when a test calls {@link #advanceMillis}. */
public final class VirtualClock implements MonotonicClock {
    private final AtomicLong nowNanos = new AtomicLong(TimeUnit.HOURS.toNanos(1));

    @Override
    public long nanos() {
        return nowNanos.get();
    }

    public void advanceMillis(long millis) {
        nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }
}
