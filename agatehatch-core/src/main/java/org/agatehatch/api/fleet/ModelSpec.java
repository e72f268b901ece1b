package org.agatehatch.api.fleet;

/**
 * A model that the runners of a service can hold.
 *
 * @param adapters number of its adapters, named {@code a1}, {@code a2} and so on
 * @param adapterMb memory for one adapter
 * @param loadSeconds time to load the weights from the weight store
 * @param diskSeconds time to load the weights from the runner's disk
 * @param memorySeconds time to load the weights from the runner's host memory
 */
public record ModelSpec(
        String name,
        double weightsMb,
        int adapters,
        double adapterMb,
        double loadSeconds,
        double diskSeconds,
        double memorySeconds) {}
