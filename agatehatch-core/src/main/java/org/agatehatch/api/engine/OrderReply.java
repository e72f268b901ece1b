package org.agatehatch.api.engine;

/**
 * An engine's reply to an order.
 *
 * @param status {@code ACCEPTED} if the engine is executing the order; its inventory shows the completion
 * @param runnerEpoch identifies the engine process
 */
public record OrderReply(Status status, String runnerEpoch, String detail) {
    /** Whether the engine accepted the order and, if not, why. */
    public enum Status {
        ACCEPTED,
        STALE_FENCING_NUMBER,
        NO_MEMORY,
        REFUSED
    }
}
