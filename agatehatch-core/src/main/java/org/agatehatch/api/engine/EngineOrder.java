package org.agatehatch.api.engine;

import java.util.List;

/**
 * An order to an engine. Engines treat a repeated {@code kind} and {@code orderId} as the same order; an unload carries
 * the id of the order that loaded the model.
 *
 * @param fencingNumber fencing token: log offset of the placement intent that this order executes
 * @param accelerators indexes of the accelerators that the model occupies
 * @param memoryMib memory on each of these accelerators
 * @param role new role for {@link OrderKind#SET_ROLE}: {@code both}, {@code prompt} or {@code answer}; else empty
 */
public record EngineOrder(
        String orderId,
        long fencingNumber,
        OrderKind kind,
        String model,
        String version,
        List<Integer> accelerators,
        long memoryMib,
        String role) {
    public EngineOrder {
        accelerators = List.copyOf(accelerators);
    }
}
