package org.agatehatch.api.fleet;

/** An order to a runner to load or unload a model or one of the model's adapters. The adapter is empty for a model. */
public record ResidencyOrder(Action action, String model, String adapter) {
    /** What the runner does with the model or adapter. */
    public enum Action {
        LOAD,
        UNLOAD
    }

    /** Returns whether the order is for an adapter, not for a model's weights. */
    public boolean forAdapter() {
        return !adapter.isEmpty();
    }

    @Override
    public String toString() {
        return action + " " + (forAdapter() ? model + '/' + adapter : model);
    }
}
