package org.agatehatch.api.fleet;

import java.util.concurrent.CompletionStage;

/** Client for the residency API of runners: sends orders and reads reports. */
public interface ResidencyOrders {
    /** A runner's reply to an order. */
    enum Reply {
        /** The runner executes the order. */
        ACCEPTED,
        /** The runner is already in the requested state, or reached it at once. */
        HOLDS,
        /** Another order is in progress, or the runner's count of accepted orders differs from the expected one. */
        CONFLICT,
        /** The runner has seen a higher fencing token. */
        FENCED,
        /** The runner rejects the order as invalid. */
        INVALID,
        /** Another backend server listens at the runner's address. */
        OTHER_SERVER
    }

    /**
     * Sends an order. Fails if no reply arrives; the runner may still execute the order afterwards.
     *
     * @param expectedOrders the runner accepts the order only while its count of accepted orders equals this
     * @param holder name of the node that sends the order
     * @param fencingToken token of that node's placement lease; a runner may refuse one below the highest that it has seen
     */
    CompletionStage<Reply> order(
            ServerEntry runner, ResidencyOrder order, long expectedOrders, String holder, long fencingToken);

    /** Reads a runner's report; it lags some hundred milliseconds behind the runner's state. */
    CompletionStage<RunnerReport> report(ServerEntry runner);
}
