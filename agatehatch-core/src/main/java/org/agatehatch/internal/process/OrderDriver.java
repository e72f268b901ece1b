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

/** Carries each charge of the ledger to an end: sends its order, repeats it where that is safe, and settles it. */
final class OrderDriver {
    private static final Logger log = LoggerFactory.getLogger(OrderDriver.class);

    private final PlacementContext context;
    private final IntentWriter writer;
    private final LoadPacer pacer;
    private final Queue<Runnable> events;
    private final Map<String, OrderState> orders = new HashMap<>();
    private long lease;

    OrderDriver(PlacementContext context, IntentWriter writer, LoadPacer pacer, Queue<Runnable> events) {
        this.context = context;
        this.writer = writer;
        this.pacer = pacer;
        this.events = events;
    }

    void startHolding(long leaseFencingNumber) {
        lease = leaseFencingNumber;
        orders.clear();
    }

    /** Forgets orders whose charge has ended. */
    void forgetSettled(PlacementLedger ledger) {
        orders.keySet().removeIf(orderId -> ledger.entry(orderId).isEmpty());
    }

    void drive(LedgerEntry entry, RunnerView view, long nowMillis) {
        OrderState order = orders.get(entry.charge().orderId());
        if (order == null || order.fencingNumber != entry.fencingNumber()) {
            order = OrderState.after(order, entry.fencingNumber(), nowMillis);
            orders.put(entry.charge().orderId(), order);
        }
        order.observe(entry, view);
        expireReply(order, nowMillis);
        if (writer.isPending(entry.charge().orderId())) {
            return;
        }
        boolean checks = view.server().checksFencing();
        Optional<SettlementRules.Settlement> settlement = SettlementRules.settle(entry, order, lease, checks, view);
        if (settlement.isPresent()) {
            settle(entry, order, view, settlement.get(), nowMillis);
            return;
        }
        switch (entry.charge().state()) {
            case RESERVED -> convertReserved(entry, view);
            case READY -> doubtVanished(entry, order, view);
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
            if (!isWorthKeeping(entry, view)) {
                writer.intent(IntentKind.UNLOAD, entry.charge(), "adopted_not_wanted");
                return;
            }
            // Nothing is known about the order that loaded the model, so another copy of it may be under way.
            copies = view.server().checksFencing() ? 0 : Math.max(1, copies);
        }
        if (ready) {
            pacer.loadSucceeded(entry.charge());
        } else if (!entry.unloading() && entry.charge().state() != ChargeState.READY) {
            pacer.loadFailed(entry.charge(), nowMillis);
        }
        append(entry, order, view, settlement.outcome(), copies);
    }

    private void append(
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
        writer.settle(entry.charge(), outcome, inventory, unansweredCopies, () -> order.counted(generation));
    }

    private void convertReserved(LedgerEntry entry, RunnerView view) {
        boolean resident = view.inventory()
                .flatMap(inventory -> RunnerView.residentModel(inventory, entry.charge()))
                .isPresent();
        if (resident) {
            writer.intent(IntentKind.LOAD, entry.charge(), "reserved_load_found");
        }
    }

    /** Takes a ready replica that its engine no longer shows out of service. */
    private void doubtVanished(LedgerEntry entry, OrderState order, RunnerView view) {
        EngineInventory inventory = view.inventory().orElse(null);
        if (inventory == null
                || RunnerView.residentModel(inventory, entry.charge()).isPresent()) {
            return;
        }
        boolean newer =
                !entry.runnerEpoch().equals(inventory.runnerEpoch()) || inventory.sequence() > entry.seenSequence();
        if (newer) {
            append(entry, order, view, SettledOutcome.IN_DOUBT, entry.unansweredCopies());
        }
    }

    private void advance(LedgerEntry entry, OrderState order, RunnerView view, long nowMillis) {
        EngineInventory inventory = view.inventory().orElse(null);
        if (inventory == null) {
            return;
        }
        if (view.server().checksFencing()) {
            advanceChecking(entry, order, view, inventory, nowMillis);
        } else {
            advanceIgnoring(entry, order, view, inventory, nowMillis);
        }
    }

    private void advanceChecking(
            LedgerEntry entry, OrderState order, RunnerView view, EngineInventory inventory, long nowMillis) {
        boolean resident = RunnerView.residentModel(inventory, entry.charge()).isPresent();
        if (entry.unloading()) {
            boolean stale = inventory.highestFencingNumber() > entry.fencingNumber() && resident
                    || order.reply == OrderReply.Status.STALE_FENCING_NUMBER;
            if (stale) {
                writer.intent(releaseKind(entry), entry.charge(), "unload_overtaken");
                return;
            }
            boolean underWay = order.isAccepted()
                    && nowMillis - order.acceptedMillis < context.times().loadMillis();
            if (!underWay) {
                sendIfDue(entry, order, view, OrderKind.UNLOAD, nowMillis);
            }
            return;
        }
        boolean late = order.isAccepted()
                && nowMillis - order.acceptedMillis >= context.times().loadMillis();
        if (order.isRefused() || late && !isReady(inventory, entry.charge())) {
            pacer.loadFailed(entry.charge(), nowMillis);
            writer.intent(IntentKind.UNLOAD, entry.charge(), late ? "load_timed_out" : "load_refused_" + order.reply);
            return;
        }
        if (entry.charge().state() == ChargeState.IN_DOUBT) {
            if (!resident) {
                writer.intent(IntentKind.UNLOAD, entry.charge(), "result_unknown");
            }
            return;
        }
        if (!order.isAccepted() && !resident) {
            sendIfDue(entry, order, view, OrderKind.LOAD, nowMillis);
        }
    }

    private void advanceIgnoring(
            LedgerEntry entry, OrderState order, RunnerView view, EngineInventory inventory, long nowMillis) {
        boolean readAfterSend = order.lastSentMillis < view.inventoryRequestedMillis();
        boolean resident = RunnerView.residentModel(inventory, entry.charge()).isPresent();
        int copies = SettlementRules.unansweredCopies(entry, order, lease, false);
        boolean uncounted = !order.awaitingReply && copies > entry.unansweredCopies();
        boolean formerHolder = entry.leaseFencingNumber() != lease;
        boolean firstDoubt = entry.charge().state() != ChargeState.IN_DOUBT
                && copies > 0
                && entry.unloading()
                && !resident
                && !order.awaitingReply;
        boolean unknownAdopted = isAdopted(entry);
        if (unknownAdopted && resident) {
            return;
        }
        if (readAfterSend && (uncounted || formerHolder || firstDoubt || unknownAdopted)) {
            append(entry, order, view, SettledOutcome.IN_DOUBT, unknownAdopted ? Math.max(1, copies) : copies);
            return;
        }
        if (formerHolder || uncounted || order.awaitingReply || order.isAccepted()) {
            return;
        }
        // A model that is resident needs no load, and one that is gone needs no unload.
        boolean wanted = entry.unloading() ? resident : !resident && !order.isRefused() && isCurrent(entry);
        boolean first = order.copiesSent == 0 && entry.charge().state() != ChargeState.IN_DOUBT;
        if (wanted && (first || entry.unansweredCopies() < context.times().maxCopies())) {
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
        order.sent(nowMillis);
        view.setBusyUntil(nowMillis + context.times().replyMillis());
        view.pollSoon();
        order.nextSendMillis = nowMillis
                + context.times().replyMillis()
                + context.times().backoffMillis(order.copiesSent - 1, context.random());
        int generation = order.generation;
        context.engines()
                .send(view.server(), message)
                .whenComplete((reply, failure) -> events.add(() -> {
                    if (failure == null) {
                        order.answered(generation, reply, context.clock().millis());
                        view.setIdle();
                        view.pollSoon();
                    }
                }));
    }

    boolean isLeaseHeld() {
        OptionalLong held = context.lease().heldFencingNumber();
        return held.isPresent() && held.getAsLong() == lease;
    }

    private void expireReply(OrderState order, long nowMillis) {
        if (order.awaitingReply
                && nowMillis - order.lastSentMillis >= context.times().replyMillis()) {
            order.awaitingReply = false;
        }
    }

    /** Only an adopted charge is in doubt without a settlement. */
    private static boolean isAdopted(LedgerEntry entry) {
        return entry.charge().state() == ChargeState.IN_DOUBT
                && entry.runnerEpoch().isEmpty();
    }

    private static IntentKind releaseKind(LedgerEntry entry) {
        return entry.charge().state() == ChargeState.RESERVED ? IntentKind.CANCEL_RESERVE : IntentKind.UNLOAD;
    }

    private boolean isWorthKeeping(LedgerEntry entry, RunnerView view) {
        if (!isCurrent(entry)) {
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

    private boolean isCurrent(LedgerEntry entry) {
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
