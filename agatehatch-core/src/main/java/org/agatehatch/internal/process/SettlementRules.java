package org.agatehatch.internal.process;

import java.util.Optional;
import org.agatehatch.api.engine.EngineInventory;
import org.agatehatch.api.engine.EngineInventory.ResidentModel;
import org.agatehatch.api.placement.ChargeState;
import org.agatehatch.internal.version.LedgerEntry;
import org.agatehatch.internal.version.record.StateRecord.SettledOutcome;

/** Decides which outcome of an order a runner's inventory proves. */
final class SettlementRules {
    private SettlementRules() {}

    /**
     * The proven outcome of an order.
     *
     * @param unansweredCopies copies of the order that may still reach the runner
     */
    record Settlement(SettledOutcome outcome, int unansweredCopies) {}

    /**
     * Returns the number of copies of the order that may still reach a runner that ignores fencing numbers; 0 for a
     * runner that checks them.
     *
     * @param leaseFencingNumber fencing number of this holder's lease; a former holder may have sent one copy that the
     *     ledger does not include
     */
    static int unansweredCopies(LedgerEntry entry, OrderState order, long leaseFencingNumber, boolean checksFencing) {
        if (checksFencing) {
            return 0;
        }
        boolean pending = entry.charge().state() != ChargeState.READY;
        int formerHolder = pending && entry.leaseFencingNumber() != leaseFencingNumber ? 1 : 0;
        return entry.unansweredCopies() + formerHolder + order.unrecordedCopies;
    }

    /** Returns the settlement that the inventory proves, or empty if it proves nothing new. */
    static Optional<Settlement> settle(
            LedgerEntry entry, OrderState order, long leaseFencingNumber, boolean checksFencing, RunnerView view) {
        EngineInventory inventory = view.inventory().orElse(null);
        if (inventory == null || entry.charge().state() == ChargeState.RESERVED) {
            return Optional.empty();
        }
        int copies = unansweredCopies(entry, order, leaseFencingNumber, checksFencing);
        Optional<ResidentModel> resident = RunnerView.residentModel(inventory, entry.charge());
        if (resident.isPresent()) {
            boolean ready = resident.get().ready()
                    && !entry.unloading()
                    && (entry.charge().state() == ChargeState.LOADING
                            || entry.charge().state() == ChargeState.IN_DOUBT);
            // One unanswered copy must have arrived, unless an answered copy already explains the residency.
            int left = copies > 0 && !order.replyReceived ? copies - 1 : copies;
            return ready ? Optional.of(new Settlement(SettledOutcome.READY, left)) : Optional.empty();
        }
        boolean absent = checksFencing
                ? provesAbsentWithFencing(entry, inventory)
                : provesAbsentWithoutFencing(entry, order, leaseFencingNumber, copies, view, inventory);
        return absent ? Optional.of(new Settlement(SettledOutcome.ABSENT, 0)) : Optional.empty();
    }

    private static boolean provesAbsentWithFencing(LedgerEntry entry, EngineInventory inventory) {
        if (inventory.highestFencingNumber() > entry.loadFencingNumber()) {
            return true;
        }
        // A new epoch proves nothing for a reserved load: any node cut off from the log may order it after the restart.
        return !entry.reserved() && entry.seenSequence() >= 0 && isNewEpoch(entry.runnerEpoch(), inventory);
    }

    private static boolean provesAbsentWithoutFencing(
            LedgerEntry entry,
            OrderState order,
            long leaseFencingNumber,
            int copies,
            RunnerView view,
            EngineInventory inventory) {
        // A former holder may have sent a copy to the current engine process, which its recorded epoch does not cover.
        boolean formerHolder =
                entry.charge().state() != ChargeState.READY && entry.leaseFencingNumber() != leaseFencingNumber;
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
        boolean seenLocally = order.lastResidentSequence >= 0
                && order.lastResidentEpoch.equals(inventory.runnerEpoch())
                && inventory.sequence() > order.lastResidentSequence;
        return seen && mayVanish || seenLocally && (mayVanish || order.isAccepted());
    }

    private static boolean isNewEpochSinceSend(OrderState order, EngineInventory inventory) {
        return order.copiesSent == 0 || isNewEpoch(order.epochAfterSend, inventory);
    }

    private static boolean isNewEpoch(String former, EngineInventory inventory) {
        return !former.isEmpty() && !former.equals(inventory.runnerEpoch());
    }
}
