package org.agatehatch.internal.process;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.ModelEntry;
import org.agatehatch.api.engine.EngineInventory;
import org.agatehatch.api.engine.EngineOrder;
import org.agatehatch.api.engine.OrderKind;
import org.agatehatch.api.engine.OrderReply;
import org.agatehatch.api.placement.Charge;
import org.agatehatch.api.placement.ChargeState;
import org.agatehatch.internal.version.LedgerEntry;
import org.agatehatch.internal.version.PlacementLedger;
import org.agatehatch.internal.version.record.StateRecord.IntentKind;
import org.agatehatch.internal.version.record.StateRecord.SettledOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drives each charge of the ledger to a settled outcome: sends its order to the runner, resends it where that is safe,
 * and appends the settlement that the runner's inventory proves. Confined to the control thread.
 */
final class OrderReconciler {
    private static final Logger log = LoggerFactory.getLogger(OrderReconciler.class);

    private final PlacementContext context;
    private final IntentWriter writer;
    private final LoadPacer pacer;
    private final Queue<Runnable> events;
    private final Map<String, OrderState> statesByOrderId = new HashMap<>();
    private long leaseFencingNumber;

    OrderReconciler(PlacementContext context, IntentWriter writer, LoadPacer pacer, Queue<Runnable> events) {
        this.context = context;
        this.writer = writer;
        this.pacer = pacer;
        this.events = events;
    }

    void onLeaseAcquired(long fencingNumber) {
        leaseFencingNumber = fencingNumber;
        statesByOrderId.clear();
    }

    /** Removes the state of orders that are no longer in the ledger. */
    void removeSettled(PlacementLedger ledger) {
        statesByOrderId.keySet().removeIf(orderId -> ledger.entry(orderId).isEmpty());
    }

    void reconcile(LedgerEntry entry, RunnerView view, long nowMillis) {
        OrderState order = statesByOrderId.get(entry.charge().orderId());
        if (order == null || order.fencingNumber != entry.fencingNumber()) {
            order = OrderState.forNextIntent(order, entry.fencingNumber(), nowMillis);
            statesByOrderId.put(entry.charge().orderId(), order);
        }
        order.observe(entry, view);
        expireReplyWait(order, nowMillis);
        if (writer.isPending(entry.charge().orderId())) {
            return;
        }
        boolean checksFencing = view.server().checksFencing();
        Optional<SettlementRules.Settlement> settlement =
                SettlementRules.settle(entry, order, leaseFencingNumber, checksFencing, view);
        if (settlement.isPresent()) {
            settle(entry, order, view, settlement.get(), nowMillis);
            return;
        }
        switch (entry.charge().state()) {
            case RESERVED -> recordLoadedReservation(entry, view);
            case READY -> markVanishedInDoubt(entry, order, view);
            case LOADING, UNLOADING, IN_DOUBT -> advance(entry, order, view, nowMillis);
        }
    }

    private void settle(
            LedgerEntry entry,
            OrderState order,
            RunnerView view,
            SettlementRules.Settlement settlement,
            long nowMillis) {
        int copies = settlement.unansweredCopies();
        boolean ready = settlement.outcome() == SettledOutcome.READY;
        if (ready && isAdopted(entry)) {
            if (!isAdoptionAcceptable(entry, view)) {
                writer.appendIntent(IntentKind.UNLOAD, entry.charge(), "adopted_not_wanted");
                return;
            }
            // The order that loaded the model is unknown, so another copy of it may still be in flight.
            copies = view.server().checksFencing() ? 0 : Math.max(1, copies);
        }
        if (ready) {
            pacer.loadSucceeded(entry.charge());
        } else if (!entry.unloading() && entry.charge().state() != ChargeState.READY) {
            pacer.loadFailed(entry.charge(), nowMillis);
        }
        appendSettlement(entry, order, view, settlement.outcome(), copies);
    }

    private void appendSettlement(
            LedgerEntry entry, OrderState order, RunnerView view, SettledOutcome outcome, int unansweredCopies) {
        EngineInventory inventory = view.inventory().orElseThrow();
        log.info(
                "placement settle pool={} order={} model={} runner={} outcome={} epoch={} sequence={} copies={}",
                context.pool(),
                entry.charge().orderId(),
                entry.charge().model(),
                entry.charge().runner(),
                outcome,
                inventory.runnerEpoch(),
                inventory.sequence(),
                unansweredCopies);
        int generation = order.generation;
        writer.appendSettlement(
                entry.charge(), outcome, inventory, unansweredCopies, () -> order.onCopiesRecorded(generation));
    }

    private void recordLoadedReservation(LedgerEntry entry, RunnerView view) {
        boolean resident = view.inventory()
                .flatMap(inventory -> RunnerView.residentModel(inventory, entry.charge()))
                .isPresent();
        if (resident) {
            writer.appendIntent(IntentKind.LOAD, entry.charge(), "reserved_load_found");
        }
    }

    /** Settles a ready replica as IN_DOUBT if a newer inventory no longer lists it, which takes it out of service. */
    private void markVanishedInDoubt(LedgerEntry entry, OrderState order, RunnerView view) {
        EngineInventory inventory = view.inventory().orElse(null);
        if (inventory == null
                || RunnerView.residentModel(inventory, entry.charge()).isPresent()) {
            return;
        }
        boolean newer =
                !entry.runnerEpoch().equals(inventory.runnerEpoch()) || inventory.sequence() > entry.seenSequence();
        if (newer) {
            appendSettlement(entry, order, view, SettledOutcome.IN_DOUBT, entry.unansweredCopies());
        }
    }

    private void advance(LedgerEntry entry, OrderState order, RunnerView view, long nowMillis) {
        EngineInventory inventory = view.inventory().orElse(null);
        if (inventory == null) {
            return;
        }
        if (view.server().checksFencing()) {
            advanceWithFencing(entry, order, view, inventory, nowMillis);
        } else {
            advanceWithoutFencing(entry, order, view, inventory, nowMillis);
        }
    }

    private void advanceWithFencing(
            LedgerEntry entry, OrderState order, RunnerView view, EngineInventory inventory, long nowMillis) {
        boolean resident = RunnerView.residentModel(inventory, entry.charge()).isPresent();
        if (entry.unloading()) {
            boolean overtaken = inventory.highestFencingNumber() > entry.fencingNumber() && resident
                    || order.reply == OrderReply.Status.STALE_FENCING_NUMBER;
            if (overtaken) {
                writer.appendIntent(releaseKind(entry), entry.charge(), "unload_overtaken");
                return;
            }
            boolean unloadInFlight = order.isAccepted()
                    && nowMillis - order.acceptedMillis < context.times().loadTimeoutMillis();
            if (!unloadInFlight) {
                sendIfDue(entry, order, view, OrderKind.UNLOAD, nowMillis);
            }
            return;
        }
        boolean loadTimedOut = order.isAccepted()
                && nowMillis - order.acceptedMillis >= context.times().loadTimeoutMillis();
        if (order.isRefused() || loadTimedOut && !isReady(inventory, entry.charge())) {
            pacer.loadFailed(entry.charge(), nowMillis);
            writer.appendIntent(
                    IntentKind.UNLOAD, entry.charge(), loadTimedOut ? "load_timed_out" : "load_refused_" + order.reply);
            return;
        }
        if (entry.charge().state() == ChargeState.IN_DOUBT) {
            if (!resident) {
                writer.appendIntent(IntentKind.UNLOAD, entry.charge(), "result_unknown");
            }
            return;
        }
        if (!order.isAccepted() && !resident) {
            sendIfDue(entry, order, view, OrderKind.LOAD, nowMillis);
        }
    }

    private void advanceWithoutFencing(
            LedgerEntry entry, OrderState order, RunnerView view, EngineInventory inventory, long nowMillis) {
        boolean readAfterSend = order.lastSentMillis < view.inventoryRequestedMillis();
        boolean resident = RunnerView.residentModel(inventory, entry.charge()).isPresent();
        int copies = SettlementRules.unansweredCopies(entry, order, leaseFencingNumber, false);
        boolean hasUnrecordedCopies = !order.awaitingReply && copies > entry.unansweredCopies();
        boolean intentOfFormerHolder = entry.leaseFencingNumber() != leaseFencingNumber;
        boolean becomesInDoubt = entry.charge().state() != ChargeState.IN_DOUBT
                && copies > 0
                && entry.unloading()
                && !resident
                && !order.awaitingReply;
        boolean adopted = isAdopted(entry);
        if (adopted && resident) {
            return;
        }
        if (readAfterSend && (hasUnrecordedCopies || intentOfFormerHolder || becomesInDoubt || adopted)) {
            appendSettlement(entry, order, view, SettledOutcome.IN_DOUBT, adopted ? Math.max(1, copies) : copies);
            return;
        }
        if (intentOfFormerHolder || hasUnrecordedCopies || order.awaitingReply || order.isAccepted()) {
            return;
        }
        // A resident model needs no load, and an absent one needs no unload.
        boolean needed = entry.unloading() ? resident : !resident && !order.isRefused() && matchesCatalogue(entry);
        boolean firstCopy = order.copiesSent == 0 && entry.charge().state() != ChargeState.IN_DOUBT;
        if (needed && (firstCopy || entry.unansweredCopies() < context.times().maxCopies())) {
            sendIfDue(entry, order, view, entry.unloading() ? OrderKind.UNLOAD : OrderKind.LOAD, nowMillis);
        }
    }

    private void sendIfDue(LedgerEntry entry, OrderState order, RunnerView view, OrderKind kind, long nowMillis) {
        if (view.isBusy(nowMillis) || order.awaitingReply || nowMillis < order.nextSendMillis) {
            return;
        }
        Charge charge = entry.charge();
        EngineOrder message = new EngineOrder(
                charge.orderId(),
                entry.fencingNumber(),
                kind,
                charge.model(),
                charge.version(),
                charge.accelerators(),
                charge.memoryMib(),
                "");
        if (!isLeaseHeld()) {
            return;
        }
        order.onSent(nowMillis);
        view.setBusyUntil(nowMillis + context.times().replyTimeoutMillis());
        view.pollSoon();
        order.nextSendMillis = nowMillis
                + context.times().replyTimeoutMillis()
                + context.times().backoffMillis(order.copiesSent - 1, context.random());
        int generation = order.generation;
        context.engines()
                .send(view.server(), message)
                .whenComplete((reply, failure) -> events.add(() -> {
                    if (failure == null) {
                        order.onReply(generation, reply, context.clock().millis());
                        view.setIdle();
                        view.pollSoon();
                    }
                }));
    }

    boolean isLeaseHeld() {
        OptionalLong held = context.lease().heldFencingNumber();
        return held.isPresent() && held.getAsLong() == leaseFencingNumber;
    }

    private void expireReplyWait(OrderState order, long nowMillis) {
        if (order.awaitingReply
                && nowMillis - order.lastSentMillis >= context.times().replyTimeoutMillis()) {
            order.awaitingReply = false;
        }
    }

    /**
     * A charge in doubt without a runner epoch was adopted; any other one in doubt has a settlement that names the
     * epoch.
     */
    private static boolean isAdopted(LedgerEntry entry) {
        return entry.charge().state() == ChargeState.IN_DOUBT
                && entry.runnerEpoch().isEmpty();
    }

    private static IntentKind releaseKind(LedgerEntry entry) {
        return entry.charge().state() == ChargeState.RESERVED ? IntentKind.CANCEL_RESERVE : IntentKind.UNLOAD;
    }

    private boolean isAdoptionAcceptable(LedgerEntry entry, RunnerView view) {
        if (!matchesCatalogue(entry)) {
            return false;
        }
        PlacementLedger ledger = context.ledger().get();
        for (int accelerator : entry.charge().accelerators()) {
            if (ledger.usedMib(view.server().name(), accelerator)
                    > view.server().acceleratorMemoryMib()) {
                return false;
            }
        }
        return true;
    }

    private boolean matchesCatalogue(LedgerEntry entry) {
        Catalogue catalogue = context.catalogue().get();
        ModelEntry model = catalogue.models().get(entry.charge().model());
        return model != null
                && model.version().equals(entry.charge().version())
                && model.memoryMib() == entry.charge().memoryMib();
    }

    private static boolean isReady(EngineInventory inventory, Charge charge) {
        return RunnerView.residentModel(inventory, charge)
                .map(EngineInventory.ResidentModel::ready)
                .orElse(false);
    }
}
