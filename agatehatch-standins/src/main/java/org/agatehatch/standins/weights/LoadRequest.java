package org.agatehatch.standins.weights;

/**
 * A load from the weight store.
 *
 * @param runner engine that loads
 */
public record LoadRequest(String runner, String model, String version, long memoryMib) {
    public LoadRequest {
        if (runner == null || model == null || version == null || memoryMib < 0) {
            throw new IllegalArgumentException(
                    "a load needs runner, model, version and memory_mib >= 0, but has runner " + runner + ", model "
                            + model + ", version " + version + ", memory_mib " + memoryMib);
        }
    }
}
