package org.agatehatch.internal.process;

import java.util.Optional;
import org.agatehatch.api.engine.EngineInventory;
import org.agatehatch.api.engine.EngineInventory.ResidentModel;
import org.agatehatch.api.placement.ChargeState;
import org.agatehatch.internal.version.LedgerEntry;
import org.agatehatch.internal.version.record.StateRecord.SettledOutcome;

/** Decides what an inventory proves about an order. */
final class SettlementRules {
    private SettlementRules() {}

    /**
     * What an order is settled to.
     *
     * @param unansweredCopies copies that may still arrive
     */
    record Settlement(SettledOutcome outcome, int unansweredCopies) {}

    /**
     * Returns the copies of orders that may still reach a runner that ignores fencing numbers.
     *
     * @param lease fencing number of this holder's lease; a former holder may have sent one copy that is not counted
     */
    static int unansweredCopies(LedgerEntry entry, OrderState order, long lease, boolean checksFencing) {
        if (checksFencing) {
            return 0;
        }
        boolean pending = entry.charge().state() != ChargeState.READY;
        int formerHolder = pending && entry.leaseFencingNumber() != lease ? 1 : 0;
        return entry.unansweredCopies() + formerHolder + order.copiesUncounted;
    }

    /** Returns what the inventory proves, or empty if it proves nothing new. */
    static Optional<Settlement> settle(
            LedgerEntry entry, OrderState order, long lease, boolean checksFencing, RunnerView view) {
        EngineInventory inventory = view.inventory().orElse(null);
        if (inventory == null || entry.charge().state() == ChargeState.RESERVED) {
            return Optional.empty();
        }
        int copies = unansweredCopies(entry, order, lease, checksFencing);
        Optional<ResidentModel> resident = RunnerView.residentModel(inventory, entry.charge());
        if (resident.isPresent()) {
            boolean ready = resident.get().ready()
                    && !entry.unloading()
                    && (entry.charge().state() == ChargeState.LOADING
                            || entry.charge().state() == ChargeState.IN_DOUBT);
            // One of the copies has arrived, unless an answered copy explains the residency.
            int left = copies > 0 && !order.arrived ? copies - 1 : copies;
            return ready ? Optional.of(new Settlement(SettledOutcome.READY, left)) : Optional.empty();
        }
        boolean absent = checksFencing
                ? provesAbsentChecking(entry, inventory)
                : provesAbsentIgnoring(entry, order, lease, copies, view, inventory);
        return absent ? Optional.of(new Settlement(SettledOutcome.ABSENT, 0)) : Optional.empty();
    }

    private static boolean provesAbsentChecking(LedgerEntry entry, EngineInventory inventory) {
        if (inventory.highestFencingNumber() > entry.loadFencingNumber()) {
            return true;
        }
        // A reserved load may be ordered by any node that is cut off from the log, also after the engine's restart.
        return !entry.reserved() && entry.seenSequence() >= 0 && isNewEpoch(entry.runnerEpoch(), inventory);
    }

    private static boolean provesAbsentIgnoring(
            LedgerEntry entry, OrderState order, long lease, int copies, RunnerView view, EngineInventory inventory) {
        // A former holder may have sent a copy to the present process; its record of the epoch does not cover that one.
        boolean formerHolder = entry.charge().state() != ChargeState.READY && entry.leaseFencingNumber() != lease;
        boolean readAfterSend = order.lastSentMillis < view.inventoryRequestedMillis();
        if (formerHolder || !readAfterSend) {
            return false;
        }
        if (isNewEpoch(entry.runnerEpoch(), inventory) && isNewEpochSinceSend(order, inventory)) {
            return true;
        }
        if (entry.runnerEpoch().isEmpty() && order.copiesSent > 0 && isNewEpoch(order.epochAfterSend, inventory)) {
            return true;
        }
        if (copies > 0) {
            return false;
        }
        if (!entry.unloading() && order.isRefused()) {
            return true;
        }
        boolean mayVanish =
                entry.unloading() ? order.isAccepted() : entry.charge().state() == ChargeState.READY;
        boolean seen = entry.seenSequence() >= 0
                && entry.runnerEpoch().equals(inventory.runnerEpoch())
                && inventory.sequence() > entry.seenSequence();
        boolean seenLocally = order.seenSequence >= 0
                && order.seenEpoch.equals(inventory.runnerEpoch())
                && inventory.sequence() > order.seenSequence;
        return seen && mayVanish || seenLocally && (mayVanish || order.isAccepted());
    }

    private static boolean isNewEpochSinceSend(OrderState order, EngineInventory inventory) {
        return order.copiesSent == 0 || isNewEpoch(order.epochAfterSend, inventory);
    }

    private static boolean isNewEpoch(String former, EngineInventory inventory) {
        return !former.isEmpty() && !former.equals(inventory.runnerEpoch());
    }
}
