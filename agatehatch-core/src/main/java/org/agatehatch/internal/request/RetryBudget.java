package org.agatehatch.internal.request;

/**
 * Token bucket that limits retries to a fraction of the requests, so that retries cannot multiply the load of a failing
 * pool. Thread safe.
 */
public final class RetryBudget {
    /** Each request adds a tenth of a retry, so retries are limited to 10% of requests. */
    private static final long TENTHS_PER_REQUEST = 1;

    private static final long TENTHS_PER_RETRY = 10;

    private final long maxTenths;
    private long tenths;

    /**
     * Creates a full bucket.
     *
     * @param maxRetriesSaved capacity of the bucket in retries; also the initial number of retries
     */
    public RetryBudget(int maxRetriesSaved) {
        this.maxTenths = maxRetriesSaved * TENTHS_PER_RETRY;
        this.tenths = maxTenths;
    }

    /** Counts a new request. Must not be called for retries. */
    public synchronized void countRequest() {
        tenths = Math.min(maxTenths, tenths + TENTHS_PER_REQUEST);
    }

    /** Takes one retry if one is available and returns whether it was. */
    public synchronized boolean tryTake() {
        if (tenths < TENTHS_PER_RETRY) {
            return false;
        }
        tenths -= TENTHS_PER_RETRY;
        return true;
    }
}
