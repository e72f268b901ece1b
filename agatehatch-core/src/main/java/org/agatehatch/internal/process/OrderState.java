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
    int copiesUncounted;
    /** Grows when the ledger has counted the copies; answers to copies of an older generation change nothing. */
    int generation;

    boolean arrived;
    boolean awaitingReply;
    long lastSentMillis = Long.MIN_VALUE;
    long nextSendMillis;
    long acceptedMillis;
    OrderReply.Status reply;
    String epochAfterSend = "";
    String seenEpoch = "";
    long seenSequence = -1;

    private OrderState(long fencingNumber, long nowMillis) {
        this.fencingNumber = fencingNumber;
        this.nextSendMillis = nowMillis;
    }

    /** Returns the state for a new intent of the same charge; copies sent for the former intent may still arrive. */
    static OrderState after(OrderState former, long fencingNumber, long nowMillis) {
        OrderState state = new OrderState(fencingNumber, nowMillis);
        if (former != null) {
            state.copiesUncounted = former.copiesUncounted;
            state.lastSentMillis = former.lastSentMillis;
            state.seenEpoch = former.seenEpoch;
            state.seenSequence = former.seenSequence;
        }
        return state;
    }

    boolean isAccepted() {
        return reply == OrderReply.Status.ACCEPTED;
    }

    boolean isRefused() {
        return reply != null && reply != OrderReply.Status.ACCEPTED;
    }

    void sent(long nowMillis) {
        copiesSent++;
        copiesUncounted++;
        awaitingReply = true;
        lastSentMillis = nowMillis;
        epochAfterSend = "";
    }

    void answered(int sentGeneration, OrderReply answer, long nowMillis) {
        if (sentGeneration == generation && copiesUncounted > 0) {
            copiesUncounted--;
        }
        arrived = true;
        awaitingReply = false;
        // The engine treats copies as one order, so a refusal after an acceptance concerns the copy only.
        if (!isAccepted()) {
            reply = answer.status();
            acceptedMillis = nowMillis;
        }
    }

    /** Notes that the ledger has counted the copies. A late answer about an earlier settlement changes nothing. */
    void counted(int settledGeneration) {
        if (settledGeneration == generation) {
            copiesUncounted = 0;
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
        Optional<ResidentModel> resident = RunnerView.residentModel(inventory.get(), entry.charge());
        if (resident.isPresent()) {
            seenEpoch = inventory.get().runnerEpoch();
            seenSequence = inventory.get().sequence();
        }
    }
}
