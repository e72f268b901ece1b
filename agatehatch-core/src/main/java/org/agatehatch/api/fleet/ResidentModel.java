package org.agatehatch.api.fleet;

import java.util.Set;

/** A model that a runner has loaded, with the model's adapters that it has loaded. */
public record ResidentModel(String name, long version, Set<String> adapters) {
    public ResidentModel {
        adapters = Set.copyOf(adapters);
    }
}
