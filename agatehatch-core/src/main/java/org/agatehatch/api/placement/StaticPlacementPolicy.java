package org.agatehatch.api.placement;

import java.util.List;
import org.agatehatch.api.catalogue.ModelEntry;

/**
 * A baseline for experiments. It loads each model's number of replicas from the catalogue wherever memory is free, and
 * never moves, replaces or unloads a replica.
 */
public final class StaticPlacementPolicy implements PlacementPolicy {
    private final PlacementSettings settings;

    public StaticPlacementPolicy(PlacementSettings settings) {
        this.settings = settings;
    }

    @Override
    public List<PlacementChange> plan(PlacementInput input) {
        PlanningState state = new PlanningState(input, settings);
        AllocationFinder finder = new AllocationFinder(state);
        for (ModelEntry model : state.models()) {
            int live = state.liveReplicas(model.name()).size();
            while (live < Math.max(1, model.replicas()) && state.mayLoad()) {
                var allocation = finder.findFree(model, Double.MAX_VALUE, runner -> true);
                if (allocation.isEmpty()) {
                    break;
                }
                state.load(model, allocation.get(), "static replicas=" + live);
                live++;
            }
        }
        return state.changes();
    }
}
