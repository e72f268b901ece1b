package org.agatehatch.internal.process;

import java.util.Optional;
import org.agatehatch.api.engine.EngineInventory;
import org.agatehatch.api.engine.EngineInventory.ResidentModel;
import org.agatehatch.api.engine.OrderReply;
import org.agatehatch.internal.version.LedgerEntry;

/** What this holder did to carry out one intent. It is lost with the holder; the ledger has what must last. */
final class OrderState {
    final long fencingNumber;
    int copiesSent;
    /** Copies without an answer that no settlement in the ledger counts yet. */
    int unrecordedCopies;
    /** Grows when the ledger has counted the copies; answers to copies of an older generation change nothing. */
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

    /** Returns the state for a new intent of the same charge; copies sent for the former intent may still arrive. */
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
        // The engine treats copies as one order, so a refusal after an acceptance concerns the copy only.
        if (!isAccepted()) {
            reply = answer.status();
            acceptedMillis = nowMillis;
        }
    }

    /** Notes that the ledger has counted the copies. A late answer about an earlier settlement changes nothing. */
    void onCopiesRecorded(int settledGeneration) {
        if (settledGeneration == generation) {
            unrecordedCopies = 0;
            generation++;
        }
    }

    /** Notes what an inventory shows of the order. */
    void observe(LedgerEntry entry, RunnerView view) {
        Optional<EngineInventory> inventory = view.inventory();
        if (inventory.isEmpty()) {
            return;
        }
        if (copiesSent > 0 && epochAfterSend.isEmpty() && view.inventoryRequestedMillis() > lastSentMillis) {
            epochAfterSend = inventory.get().runnerEpoch();
        }
        Optional<ResidentModel> resident = RunnerView.resident(inventory.get(), entry.charge());
        if (resident.isPresent()) {
            lastResidentEpoch = inventory.get().runnerEpoch();
            lastResidentSequence = inventory.get().sequence();
        }
    }
}
