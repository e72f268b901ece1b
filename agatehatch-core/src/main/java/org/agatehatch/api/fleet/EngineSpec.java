package org.agatehatch.api.fleet;

import java.util.Map;

/**
 * The model engine that a service's runners have.
 *
 * @param slots requests in one batch
 * @param kvCacheTokens memory for prompts and generated tokens
 * @param weightsMb memory for weights and adapters
 * @param adapterSlots adapters that a runner can hold
 * @param loadsPerSecond loads that the weight store allows over all runners
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
