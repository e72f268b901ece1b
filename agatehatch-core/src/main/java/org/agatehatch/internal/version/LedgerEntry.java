package org.agatehatch.internal.version;

import org.agatehatch.api.placement.Charge;
import org.agatehatch.api.placement.ChargeState;

/**
 * A charge in the placement ledger, with the data needed to settle its orders.
 *
 * @param loadFencingNumber log offset of the LOAD, RESERVE or ADOPT intent; orders with a lower or equal number may
 *     still make the model resident
 * @param fencingNumber log offset of the newest intent for this charge; its order carries this number
 * @param leaseFencingNumber lease fencing number of the holder that recorded the newest intent or settlement;
 *     if it belongs to another holder, that holder may have sent an order that is not counted yet
 * @param unloading whether an UNLOAD or CANCEL_RESERVE was accepted; only ABSENT ends such a charge
 * @param reserved whether the charge began as a reservation, so that any node may have ordered its load
 * @param runnerEpoch engine process observed by the last settlement; empty if there was none
 * @param seenSequence inventory sequence in which the model was last seen ready; -1 if never
 * @param unansweredCopies copies of orders for this charge that may still arrive
 */
public record LedgerEntry(
        Charge charge,
        String pool,
        long loadFencingNumber,
        long fencingNumber,
        long leaseFencingNumber,
        boolean unloading,
        boolean reserved,
        String runnerEpoch,
        long seenSequence,
        int unansweredCopies) {

    LedgerEntry withState(ChargeState state) {
        Charge changed = new Charge(
                charge.orderId(),
                charge.model(),
                charge.version(),
                charge.runner(),
                charge.accelerators(),
                charge.memoryMib(),
                state);
        return new LedgerEntry(
                changed,
                pool,
                loadFencingNumber,
                fencingNumber,
                leaseFencingNumber,
                unloading,
                reserved,
                runnerEpoch,
                seenSequence,
                unansweredCopies);
    }

    LedgerEntry startUnload(long offset, long lease) {
        LedgerEntry next = withState(ChargeState.UNLOADING);
        return new LedgerEntry(
                next.charge,
                pool,
                loadFencingNumber,
                offset,
                lease,
                true,
                reserved,
                runnerEpoch,
                seenSequence,
                unansweredCopies);
    }

    LedgerEntry settled(ChargeState state, long lease, String epoch, long sequence, int copies) {
        LedgerEntry next = withState(state);
        return new LedgerEntry(
                next.charge,
                pool,
                loadFencingNumber,
                fencingNumber,
                lease,
                unloading,
                reserved,
                epoch,
                sequence,
                copies);
    }
}
