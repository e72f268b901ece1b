package org.agatehatch.internal.process;

import java.util.concurrent.atomic.AtomicReference;
import org.agatehatch.api.time.MonotonicClock;

/** An exponentially decaying average rate per second. Thread-safe and lock-free. */
public final class DecayingRate {
    private final MonotonicClock clock;
    private final double timeConstantSeconds;
    private final AtomicReference<Sum> sum;

    /**
     * Creates a rate of 0.
     *
     * @param timeConstantSeconds time in which the weight of an amount falls to 1/e
     */
    public DecayingRate(MonotonicClock clock, double timeConstantSeconds) {
        this.clock = clock;
        this.timeConstantSeconds = timeConstantSeconds;
        this.sum = new AtomicReference<>(new Sum(0, clock.nanos()));
    }

    /** Adds an amount at the present time. */
    public void add(double amount) {
        while (true) {
            Sum before = sum.get();
            long nowNanos = Math.max(clock.nanos(), before.atNanos);
            if (sum.compareAndSet(before, new Sum(decayed(before, nowNanos) + amount, nowNanos))) {
                return;
            }
        }
    }

    /** Returns the average rate per second at the present time. */
    public double perSecond() {
        Sum now = sum.get();
        return decayed(now, Math.max(clock.nanos(), now.atNanos)) / timeConstantSeconds;
    }

    private double decayed(Sum before, long nowNanos) {
        double seconds = (nowNanos - before.atNanos) / 1e9;
        return before.value * Math.exp(-seconds / timeConstantSeconds);
    }

    private record Sum(double value, long atNanos) {}
}
