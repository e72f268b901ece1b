package org.agatehatch.api.placement;

import java.util.function.ToDoubleFunction;
import org.agatehatch.api.catalogue.ModelEntry;

/**
 * Figures that the default placement policy weighs changes with.
 *
 * @param replicaTokensPerSecond rate that one replica of a model serves within its promises
 * @param headroomFraction spare rate wanted above demand, for example 0.3
 * @param paybackSeconds time over which a change must pay for itself
 * @param cooldownMillis shortest time between two demand-driven changes of one model
 * @param roundMillis time between two planning rounds
 * @param maxChangesPerRound most changes that one round proposes; bounds appends to the log
 */
public record PlacementSettings(
        ToDoubleFunction<ModelEntry> replicaTokensPerSecond,
        double headroomFraction,
        double paybackSeconds,
        long cooldownMillis,
        long roundMillis,
        int maxChangesPerRound) {
    /** Returns the settings of design section 9 for replicas of one rate. */
    public static PlacementSettings withReplicaRate(double tokensPerSecond) {
        return new PlacementSettings(model -> tokensPerSecond, 0.3, 600, 60_000, 5_000, 32);
    }
}
