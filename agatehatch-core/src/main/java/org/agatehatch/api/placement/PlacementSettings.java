package org.agatehatch.api.placement;

import java.util.function.ToDoubleFunction;
import org.agatehatch.api.catalogue.ModelEntry;

/**
 * Parameters of the placement policies.
 *
 * @param replicaTokensPerSecond output rate that one replica of a model sustains within its latency targets
 * @param headroomFraction spare capacity above demand, as a fraction of demand, for example 0.3
 * @param paybackSeconds time within which the gain of a change must exceed its cost
 * @param cooldownMillis minimum time since the last change of a model before a demand-driven eviction for it or of it
 * @param roundMillis time between two planning rounds
 * @param maxChangesPerRound maximum number of changes that one round proposes; limits appends to the log
 */
public record PlacementSettings(
        ToDoubleFunction<ModelEntry> replicaTokensPerSecond,
        double headroomFraction,
        double paybackSeconds,
        long cooldownMillis,
        long roundMillis,
        int maxChangesPerRound) {
    /** Returns the default settings (section 9 of the design), with the same replica rate for all models. */
    public static PlacementSettings withReplicaRate(double tokensPerSecond) {
        return new PlacementSettings(model -> tokensPerSecond, 0.3, 600, 60_000, 5_000, 32);
    }
}
