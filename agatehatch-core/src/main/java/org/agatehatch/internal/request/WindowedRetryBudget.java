package org.agatehatch.internal.request;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Limits how many requests this node sends to a second backend server, so that all nodes together stay within a ratio of
 * the requests of a service plus a fixed slack. Each node takes its share without asking the others. Not safe for use by
 * several threads.
 */
public final class WindowedRetryBudget {
    /** Part of the allowed retries that nodes use; the rest covers nodes that differ on how many they are. */
    private static final double USED_PART = 0.7;

    private static final long BUCKET_MILLIS = 500;

    private final MonotonicClock clock;
    private final double ratio;
    private final double slack;
    private final int buckets;
    private final IntSupplier nodes;
    private final Map<String, Window> windows = new HashMap<>();

    /**
     * Creates an allowance without history.
     *
     * @param ratio retries allowed per request
     * @param slack retries allowed besides, by all nodes together, in one window
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

    /** Counts a caller's request for a service. */
    public void countRequest(String service) {
        window(service).addRequest();
    }

    /** Takes one retry and returns whether there was one. */
    public boolean tryTake(String service) {
        Window window = window(service);
        double allowed = USED_PART * (ratio * window.requests() + slack / Math.max(1, nodes.getAsInt()));
        if (window.retries() + 1 > allowed) {
            return false;
        }
        window.addRetry();
        return true;
    }

    private Window window(String service) {
        Window window = windows.computeIfAbsent(service, name -> new Window(buckets));
        window.advanceTo(clock.millis() / BUCKET_MILLIS);
        return window;
    }

    private static final class Window {
        private final int[] requests;
        private final int[] retries;
        private long newest = Long.MIN_VALUE;

        private Window(int buckets) {
            // One bucket more than the window, because the newest one is only partly over.
            this.requests = new int[buckets + 1];
            this.retries = new int[buckets + 1];
        }

        private void advanceTo(long bucket) {
            if (newest == Long.MIN_VALUE) {
                newest = bucket;
            }
            for (long passed = 0; newest < bucket && passed <= requests.length; passed++) {
                newest++;
                requests[index(newest)] = 0;
                retries[index(newest)] = 0;
            }
            newest = bucket;
        }

        private int index(long bucket) {
            return (int) Math.floorMod(bucket, (long) requests.length);
        }

        private void addRequest() {
            requests[index(newest)]++;
        }

        private void addRetry() {
            retries[index(newest)]++;
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
