package org.agatehatch.gateway.request;

import java.util.concurrent.CompletionStage;

/** Asks for a model or adapter that no candidate holds. */
@FunctionalInterface
public interface ResidencyRequester {
    /**
     * Asks that a runner load an adapter, or a model if {@code adapter} is empty. Completes, never as a failure, with the
     * time in milliseconds after which a runner should hold it; negative if none is about to.
     */
    CompletionStage<Long> requestResidency(String service, String model, String adapter);
}
