package org.agatehatch.internal.request;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Limits the retries of this node per service over a sliding window, so that the retries of all nodes together stay
 * within a ratio of the requests of the service plus a fixed slack. Each node uses its share without coordination. Not
 * thread safe.
 */
public final class WindowedRetryBudget {
    /** Fraction of the allowed retries that is used; the rest covers nodes that disagree on the number of nodes. */
    private static final double USED_FRACTION = 0.7;

    private static final long BUCKET_MILLIS = 500;

    private final MonotonicClock clock;
    private final double ratio;
    private final double slack;
    private final int buckets;
    private final IntSupplier nodes;
    private final Map<String, Window> windows = new HashMap<>();

    /**
     * Creates a budget with empty windows.
     *
     * @param ratio retries allowed per request
     * @param slack additional retries allowed per window, for all nodes together
     * @param windowMillis length of the window
     * @param nodes number of nodes that share the slack
     */
    public WindowedRetryBudget(MonotonicClock clock, double ratio, double slack, long windowMillis, IntSupplier nodes) {
        this.clock = clock;
        this.ratio = ratio;
        this.slack = slack;
        this.buckets = (int) Math.max(1, windowMillis / BUCKET_MILLIS);
        this.nodes = nodes;
    }

    /** Counts a request of a caller for a service. */
    public void countRequest(String service) {
        window(service).addRequest();
    }

    /** Takes one retry if the budget allows it and returns whether it did. */
    public boolean tryTake(String service) {
        if (!isAvailable(service)) {
            return false;
        }
        window(service).addRetry();
        return true;
    }

    /** Returns whether the budget allows one more retry. */
    public boolean isAvailable(String service) {
        Window window = window(service);
        double allowed = USED_FRACTION * (ratio * window.requests() + slack / Math.max(1, nodes.getAsInt()));
        return window.retries() + 1 <= allowed;
    }

    private Window window(String service) {
        Window window = windows.computeIfAbsent(service, name -> new Window(buckets));
        window.advanceTo(clock.millis() / BUCKET_MILLIS);
        return window;
    }

    private static final class Window {
        private final int[] requests;
        private final int[] retries;
        private long newestBucket = Long.MIN_VALUE;

        private Window(int buckets) {
            // One extra bucket, because the newest bucket covers only a part of its interval.
            this.requests = new int[buckets + 1];
            this.retries = new int[buckets + 1];
        }

        private void advanceTo(long bucket) {
            if (newestBucket == Long.MIN_VALUE) {
                newestBucket = bucket;
            }
            for (long advanced = 0; newestBucket < bucket && advanced <= requests.length; advanced++) {
                newestBucket++;
                requests[index(newestBucket)] = 0;
                retries[index(newestBucket)] = 0;
            }
            newestBucket = bucket;
        }

        private int index(long bucket) {
            return (int) Math.floorMod(bucket, (long) requests.length);
        }

        private void addRequest() {
            requests[index(newestBucket)]++;
        }

        private void addRetry() {
            retries[index(newestBucket)]++;
        }

        private int requests() {
            int sum = 0;
            for (int count : requests) {
                sum += count;
            }
            return sum;
        }

        private int retries() {
            int sum = 0;
            for (int count : retries) {
                sum += count;
            }
            return sum;
        }
    }
}
