package org.agatehatch.api.engine;

import java.util.concurrent.CompletionStage;
import org.agatehatch.api.catalogue.BackendServer;

/**
 * Sends orders to engines and reads their inventory. If the stage of an order fails, it is unknown whether the engine
 * executed the order.
 */
public interface EngineOrders {
    /** Sends the order once, without retries. */
    CompletionStage<OrderReply> send(BackendServer runner, EngineOrder order);

    /** Reads the runner's inventory of resident models. */
    CompletionStage<EngineInventory> inventory(BackendServer runner);
}
