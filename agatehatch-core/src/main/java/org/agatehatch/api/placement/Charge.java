package org.agatehatch.api.placement;

import java.util.List;

/**
 * Accelerator memory of a runner that is accounted to one replica of a model, or to a reservation for one.
 *
 * @param orderId id of the order that loads the model or reserves the memory
 * @param accelerators indexes of the accelerators on the runner
 * @param memoryMib memory on each of these accelerators
 */
public record Charge(
        String orderId,
        String model,
        String version,
        String runner,
        List<Integer> accelerators,
        long memoryMib,
        ChargeState state) {
    public Charge {
        accelerators = List.copyOf(accelerators);
    }
}
