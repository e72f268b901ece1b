package org.agatehatch.standins.weights;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** Loads the weights of a model into an engine. */
@FunctionalInterface
public interface WeightLoader {
    /** Completes when the weights are there; fails if the store failed. */
    CompletionStage<Void> load(LoadRequest request);

    /** Returns a loader that is done at once, for tests of an engine alone. */
    static WeightLoader immediate() {
        return request -> CompletableFuture.completedFuture(null);
    }
}
