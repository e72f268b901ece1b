package org.agatehatch.internal.request;

/**
 * Load of the runners that may serve a request, as the admission queue sees it.
 *
 * @param bestFirstTokenMillis predicted time to the first token at the best runner if the request were sent now
 * @param tokensPerSecond rate at which this node's queue is served; {@link #NO_QUEUE_DELAY} if
 *     the waiting requests do not delay this one
 */
public record PoolLoad(double bestFirstTokenMillis, double tokensPerSecond) {
    /**
     * No waiting request delays this one, or the rate is unknown. If a runner of the entry has capacity, the waiting
     * requests must be waiting for other runners; otherwise they would already have been dispatched.
     */
    public static final double NO_QUEUE_DELAY = 0;
}
