package org.agatehatch.internal.request;

import org.agatehatch.api.fleet.ServerEntry;

/** Result of choosing a backend server. */
public sealed interface ServerChoice {
    /**
     * The chosen server.
     *
     * @param uncachedPromptTokens prompt tokens that the server probably does not have cached
     * @param loadTokens tokens of a model of the usual speed that a runner reads in the same time
     * @param predictedMillis predicted time to the first event
     * @param baselineMillis predicted time to the first event from queued work, the server's learned speed and network
     *     distance alone, without the delay observed at recent responses
     * @param expectation what is compared with the answer to learn the server's speed
     */
    record Chosen(
            ServerEntry server,
            int uncachedPromptTokens,
            int loadTokens,
            double predictedMillis,
            double baselineMillis,
            CapacityExpectation expectation,
            String reason)
            implements ServerChoice {}

    /** No server holds the adapter, or the model if {@code adapter} is empty. */
    record NotResident(String model, String adapter) implements ServerChoice {}

    /**
     * The servers that could take the request have asked this node to send nothing for a time.
     *
     * @param opensInMillis time until the first of them takes requests again
     * @param places number of requests that they can be expected to take from this node then
     */
    record Closed(long opensInMillis, int places) implements ServerChoice {}

    /**
     * No server can take the request now.
     *
     * @param reason reason for the log line; may carry {@code key=value} fields
     */
    record Unavailable(String reason, long retryAfterMillis) implements ServerChoice {}
}
