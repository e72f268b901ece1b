package org.agatehatch.internal.request;

import org.agatehatch.api.fleet.ServerEntry;

/** Result of choosing a backend server. */
public sealed interface ServerChoice {
    /**
     * A server to send to.
     *
     * @param uncachedPromptTokens prompt tokens that it probably doesn't keep
     * @param predictedMillis predicted time to the first event
     * @param baselineMillis the part of it that known work and distance explain, without delays observed lately
     */
    record Chosen(
            ServerEntry server, int uncachedPromptTokens, double predictedMillis, double baselineMillis, String reason)
            implements ServerChoice {}

    /** No candidate holds the adapter, or the model if {@code adapter} is empty. */
    record NotResident(String model, String adapter) implements ServerChoice {}

    /** No server can take the request now. */
    record Unavailable(String reason, long retryAfterMillis) implements ServerChoice {}
}
