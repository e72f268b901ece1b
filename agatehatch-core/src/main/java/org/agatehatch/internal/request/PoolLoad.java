package org.agatehatch.internal.request;

/**
 * What the queue needs to know of the runners that may serve a request.
 *
 * @param bestFirstTokenMillis predicted first token at the best runner, if the request were sent now
 * @param tokensPerSecond rate at which this node's queue is served; {@link #NOTHING_AHEAD} if the
 *     requests that wait do not delay this one
 */
public record PoolLoad(double bestFirstTokenMillis, double tokensPerSecond) {
    /**
     * No waiting request delays this one, or the rate is not known. When a runner of the entry has room, those that wait
     * are for other runners, since they would have been sent already.
     */
    public static final double NO_QUEUE_DELAY = 0;
}
