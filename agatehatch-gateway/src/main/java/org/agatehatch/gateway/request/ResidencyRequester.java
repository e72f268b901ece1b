package org.agatehatch.gateway.request;

import java.util.concurrent.CompletionStage;

/** Requests that a runner load a model or adapter that no candidate server holds. */
@FunctionalInterface
public interface ResidencyRequester {
    /**
     * Requests that a runner load an adapter, or a model if {@code adapter} is empty. Completes with the time in milliseconds
     * until a runner is expected to hold it, or a negative number if none is expected to. Never completes exceptionally.
     */
    CompletionStage<Long> requestResidency(String service, String model, String adapter);
}
