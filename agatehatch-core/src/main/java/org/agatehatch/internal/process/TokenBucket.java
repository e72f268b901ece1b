package org.agatehatch.internal.process;

import org.agatehatch.api.time.MonotonicClock;

/** A token bucket that limits the append rate; it holds the tokens of one second, at least one. Not thread-safe. */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final double tokensPerSecond;
    private final double capacity;
    private final MonotonicClock clock;
    private double tokens;
    private long refilledAtNanos;

    TokenBucket(double perSecond, MonotonicClock clock) {
        if (!(perSecond > 0)) {
            throw new IllegalArgumentException("perSecond is " + perSecond + "; it must be above 0");
        }
        this.tokensPerSecond = perSecond;
        this.capacity = Math.max(1, perSecond);
        this.clock = clock;
        this.tokens = capacity;
        this.refilledAtNanos = clock.nanos();
    }

    boolean tryAcquire() {
        refill();
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Returns the time until the next token is available; at least 1. */
    long millisUntilNextToken() {
        refill();
        return Math.max(1, (long) Math.ceil((1 - tokens) / tokensPerSecond * MILLIS_PER_SECOND));
    }

    private void refill() {
        long nowNanos = clock.nanos();
        tokens = Math.min(capacity, tokens + (nowNanos - refilledAtNanos) / NANOS_PER_SECOND * tokensPerSecond);
        refilledAtNanos = nowNanos;
    }
}
