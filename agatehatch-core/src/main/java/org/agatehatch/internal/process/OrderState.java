package org.agatehatch.internal.process;

import java.util.Optional;
import org.agatehatch.api.engine.EngineInventory;
import org.agatehatch.api.engine.EngineInventory.ResidentModel;
import org.agatehatch.api.engine.OrderReply;
import org.agatehatch.internal.version.LedgerEntry;

/**
 * In-memory progress of the lease holder with one intent. It is lost when the lease moves; the ledger holds what must
 * survive.
 */
final class OrderState {
    final long fencingNumber;
    int copiesSent;
    /** Unanswered copies of the order that no settlement in the ledger includes yet. */
    int unrecordedCopies;
    /**
     * Incremented when a settlement with the unanswered copies is accepted. A reply to a copy of an older generation no
     * longer reduces {@link #unrecordedCopies}.
     */
    int generation;

    boolean replyReceived;
    boolean awaitingReply;
    long lastSentMillis = Long.MIN_VALUE;
    long nextSendMillis;
    long acceptedMillis;
    OrderReply.Status reply;
    String epochAfterSend = "";
    String lastResidentEpoch = "";
    long lastResidentSequence = -1;

    private OrderState(long fencingNumber, long nowMillis) {
        this.fencingNumber = fencingNumber;
        this.nextSendMillis = nowMillis;
    }

    /**
     * Returns the state for a new intent of the same charge. It keeps the unrecorded copies of the former intent,
     * which may still arrive.
     */
    static OrderState forNextIntent(OrderState former, long fencingNumber, long nowMillis) {
        OrderState state = new OrderState(fencingNumber, nowMillis);
        if (former != null) {
            state.unrecordedCopies = former.unrecordedCopies;
            state.lastSentMillis = former.lastSentMillis;
            state.lastResidentEpoch = former.lastResidentEpoch;
            state.lastResidentSequence = former.lastResidentSequence;
        }
        return state;
    }

    boolean isAccepted() {
        return reply == OrderReply.Status.ACCEPTED;
    }

    boolean isRefused() {
        return reply != null && reply != OrderReply.Status.ACCEPTED;
    }

    void onSent(long nowMillis) {
        copiesSent++;
        unrecordedCopies++;
        awaitingReply = true;
        lastSentMillis = nowMillis;
        epochAfterSend = "";
    }

    void onReply(int sentGeneration, OrderReply answer, long nowMillis) {
        if (sentGeneration == generation && unrecordedCopies > 0) {
            unrecordedCopies--;
        }
        replyReceived = true;
        awaitingReply = false;
        // The engine treats copies as one order, so a refusal after an acceptance applies only to the copy.
        if (!isAccepted()) {
            reply = answer.status();
            acceptedMillis = nowMillis;
        }
    }

    /**
     * Resets the unrecorded copies after an accepted settlement. Has no effect for a settlement of an older generation.
     */
    void onCopiesRecorded(int settledGeneration) {
        if (settledGeneration == generation) {
            unrecordedCopies = 0;
            generation++;
        }
    }

    /**
     * Records the first epoch that was read after the latest send, and the epoch and sequence of the latest inventory
     * in which the model is resident.
     */
    void observe(LedgerEntry entry, RunnerView view) {
        Optional<EngineInventory> inventory = view.inventory();
        if (inventory.isEmpty()) {
            return;
        }
        if (copiesSent > 0 && epochAfterSend.isEmpty() && view.inventoryRequestedMillis() > lastSentMillis) {
            epochAfterSend = inventory.get().runnerEpoch();
        }
        Optional<ResidentModel> resident = RunnerView.residentModel(inventory.get(), entry.charge());
        if (resident.isPresent()) {
            lastResidentEpoch = inventory.get().runnerEpoch();
            lastResidentSequence = inventory.get().sequence();
        }
    }
}
