package org.agatehatch.api.fleet;

import java.util.Map;

/**
 * The inference engine of a service's runners.
 *
 * @param slots maximum number of requests in one batch
 * @param kvCacheTokens capacity of the KV cache, in prompt and generated tokens
 * @param weightsMb memory for weights and adapters
 * @param adapterSlots maximum number of adapters that a runner holds
 * @param loadsPerSecond rate of loads that the weight store allows over all runners
 * @param models the models that the runners can hold, by name
 */
public record EngineSpec(
        int slots,
        long kvCacheTokens,
        double weightsMb,
        int adapterSlots,
        double loadsPerSecond,
        Map<String, ModelSpec> models) {
    public EngineSpec {
        models = Map.copyOf(models);
    }
}
