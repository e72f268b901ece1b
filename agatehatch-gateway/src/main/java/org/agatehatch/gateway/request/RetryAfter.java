package org.agatehatch.gateway.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import java.util.random.RandomGenerator;

/** The time after which a caller is asked to send a refused request again. */
final class RetryAfter {
    /** Maximum random addition to a value, as a fraction of it. */
    private static final double JITTER = 0.8;

    /** Callers honour a value only up to a third of their remaining time. */
    private static final int REMAINING_DIVISOR = 3;

    private RetryAfter() {}

    /** Adds jitter, so that callers refused together do not retry together. */
    static long withJitter(long millis, RandomGenerator random) {
        return (long) (millis * (1 + random.nextDouble() * JITTER));
    }

    /** Caps a value so that a retry can be served. */
    static long capped(long millis, long remainingMillis) {
        return Math.min(millis, Math.max(0, remainingMillis / REMAINING_DIVISOR));
    }

    /**
     * Returns the time to wait after a refusal. That of a quota is exact: the quota keeper has counted who else waits.
     *
     * @param remainingMillis time that the caller has left; the largest number if it is not known
     */
    static long ofRefusal(HttpResponseStatus status, long millis, long remainingMillis, RandomGenerator random) {
        return status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
                ? millis
                : capped(withJitter(millis, random), remainingMillis);
    }

    static void write(HttpHeaders headers, long millis) {
        headers.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", Math.max(0, millis) / 1_000.0));
    }
}
