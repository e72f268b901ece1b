package org.agatehatch.api.engine;

import java.util.List;

/**
 * The models that an engine reports as resident.
 *
 * @param runnerEpoch identifies the engine process
 * @param sequence increases with each change of the inventory within one epoch
 * @param highestFencingNumber highest fencing number that the engine has accepted; -1 if none or if it does not
 *     check fencing
 * @param role {@code both}, {@code prompt} or {@code answer}
 * @param leaving whether the engine refuses new requests because it is shutting down
 */
public record EngineInventory(
        String runnerEpoch,
        long sequence,
        long highestFencingNumber,
        String role,
        boolean leaving,
        List<ResidentModel> models) {
    public EngineInventory {
        models = List.copyOf(models);
    }

    /**
     * One model on an engine.
     *
     * @param orderId id of the order that loaded the model
     * @param ready false while the model is loading or unloading
     */
    public record ResidentModel(
            String model, String version, String orderId, List<Integer> accelerators, long memoryMib, boolean ready) {
        public ResidentModel {
            accelerators = List.copyOf(accelerators);
        }
    }
}
