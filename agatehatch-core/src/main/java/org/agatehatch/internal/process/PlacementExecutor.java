package org.agatehatch.internal.process;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.ModelEntry;
import org.agatehatch.api.catalogue.Pool;
import org.agatehatch.api.engine.EngineInventory;
import org.agatehatch.api.engine.EngineInventory.ResidentModel;
import org.agatehatch.api.engine.EngineOrder;
import org.agatehatch.api.engine.OrderKind;
import org.agatehatch.api.placement.Charge;
import org.agatehatch.api.placement.ChargeState;
import org.agatehatch.api.placement.PlacementChange;
import org.agatehatch.api.placement.PlacementInput;
import org.agatehatch.internal.version.LedgerEntry;
import org.agatehatch.internal.version.PlacementLedger;
import org.agatehatch.internal.version.record.StateRecord.IntentKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Plans the placement of one pool and reconciles its runners with the plan while this node holds the pool's lease.
 * Confined to the control thread: replies from engines and the log are queued, and {@link #tick()} processes them.
 */
public final class PlacementExecutor {
    private static final Logger log = LoggerFactory.getLogger(PlacementExecutor.class);

    private final PlacementContext context;
    private final Queue<Runnable> events = new ConcurrentLinkedQueue<>();
    private final IntentWriter writer;
    private final LoadPacer pacer;
    private final OrderReconciler orderReconciler;
    private final Map<String, RunnerView> viewsByRunner = new TreeMap<>();
    private final Deque<PlacementChange> plannedChanges = new ArrayDeque<>();
    private final Map<String, Long> lastChangeMillisByModel = new HashMap<>();
    private OptionalLong heldFencingNumber = OptionalLong.empty();
    private long leaseHeldSinceMillis;
    private long nextRoundMillis;

    public PlacementExecutor(PlacementContext context) {
        this.context = context;
        this.writer = new IntentWriter(context, events);
        this.pacer = new LoadPacer(context);
        this.orderReconciler = new OrderReconciler(context, writer, pacer, events);
    }

    /**
     * Runs one reconciliation step: polls runners, drives orders, and plans when a round is due. Call several times a
     * second.
     */
    public void tick() {
        long nowMillis = context.clock().millis();
        OptionalLong held = context.lease().heldFencingNumber();
        if (!held.equals(heldFencingNumber)) {
            onLeaseChange(held, nowMillis);
        }
        for (Runnable event = events.poll(); event != null; event = events.poll()) {
            event.run();
        }
        if (heldFencingNumber.isEmpty()) {
            return;
        }
        writer.expirePending(nowMillis);
        PlacementLedger ledger = context.ledger().get();
        List<LedgerEntry> entries = ledger.entries().stream()
                .filter(entry -> entry.pool().equals(context.pool()))
                .toList();
        updateViews(entries);
        poll(entries, nowMillis);
        for (LedgerEntry entry : entries) {
            RunnerView view = viewsByRunner.get(entry.charge().runner());
            if (view != null) {
                orderReconciler.reconcile(entry, view, nowMillis);
            }
        }
        orderReconciler.removeSettled(ledger);
        adoptUnchargedModels(ledger);
        reconcileRoles(ledger);
        if (nowMillis >= nextRoundMillis && !writer.hasPending() && isReadyToPlan(nowMillis)) {
            nextRoundMillis = nowMillis + context.times().roundMillis();
            plan(entries, ledger, nowMillis);
        }
        appendPlanned(nowMillis);
    }

    private void onLeaseChange(OptionalLong held, long nowMillis) {
        heldFencingNumber = held;
        plannedChanges.clear();
        viewsByRunner.clear();
        lastChangeMillisByModel.clear();
        leaseHeldSinceMillis = nowMillis;
        nextRoundMillis = nowMillis;
        if (held.isPresent()) {
            writer.onLeaseAcquired(held.getAsLong());
            orderReconciler.onLeaseAcquired(held.getAsLong());
            log.info("placement holding pool={} fencing={}", context.pool(), held.getAsLong());
        } else {
            log.info("placement not_holding pool={}", context.pool());
        }
    }

    /** Adds and removes runner views. Runners that left the pool are kept while the ledger has charges on them. */
    private void updateViews(List<LedgerEntry> entries) {
        Catalogue catalogue = context.catalogue().get();
        Set<String> charged =
                entries.stream().map(entry -> entry.charge().runner()).collect(Collectors.toSet());
        viewsByRunner.keySet().removeIf(name -> !charged.contains(name) && !isInPool(catalogue, name));
        for (BackendServer server : catalogue.backendServers().values()) {
            if (server.pool().equals(context.pool()) || charged.contains(server.name())) {
                viewsByRunner
                        .computeIfAbsent(server.name(), name -> new RunnerView(server))
                        .update(server);
            }
        }
    }

    private boolean isInPool(Catalogue catalogue, String runner) {
        BackendServer server = catalogue.backendServers().get(runner);
        return server != null && server.pool().equals(context.pool());
    }

    private void poll(List<LedgerEntry> entries, long nowMillis) {
        Set<String> unsettled = entries.stream()
                .filter(entry -> entry.charge().state() != ChargeState.READY
                        && entry.charge().state() != ChargeState.RESERVED)
                .map(entry -> entry.charge().runner())
                .collect(Collectors.toSet());
        for (RunnerView view : viewsByRunner.values()) {
            if (!view.isPollDue(nowMillis, context.times().replyTimeoutMillis())) {
                continue;
            }
            long interval = unsettled.contains(view.server().name())
                    ? context.times().pollMillis()
                    : context.times().idlePollMillis();
            long jitter = context.random().nextLong(interval / 4 + 1);
            long id = view.startPoll(nowMillis);
            context.engines()
                    .inventory(view.server())
                    .whenComplete((inventory, failure) -> events.add(() -> {
                        long received = context.clock().millis();
                        boolean usable = failure == null && !isOutdated(view, inventory);
                        view.endPoll(id, usable ? inventory : null, received, received + interval + jitter);
                    }));
        }
    }

    private boolean isOutdated(RunnerView view, EngineInventory inventory) {
        return context.ledger()
                .get()
                .isOutdatedInventory(view.server().name(), inventory.runnerEpoch(), inventory.sequence());
    }

    private void adoptUnchargedModels(PlacementLedger ledger) {
        Catalogue catalogue = context.catalogue().get();
        for (RunnerView view : viewsByRunner.values()) {
            EngineInventory inventory = view.inventory().orElse(null);
            if (inventory == null || !isInPool(catalogue, view.server().name())) {
                continue;
            }
            for (ResidentModel model : inventory.models()) {
                if (ledger.entry(model.orderId()).isPresent() || writer.isPending(model.orderId())) {
                    continue;
                }
                Charge charge = new Charge(
                        model.orderId(),
                        model.model(),
                        model.version(),
                        view.server().name(),
                        model.accelerators(),
                        model.memoryMib(),
                        ChargeState.IN_DOUBT);
                writer.appendIntent(
                        IntentKind.ADOPT, charge, "resident_without_charge epoch=" + inventory.runnerEpoch());
            }
        }
    }

    private void reconcileRoles(PlacementLedger ledger) {
        Catalogue catalogue = context.catalogue().get();
        Map<String, String> roles = ledger.roles();
        for (RunnerView view : viewsByRunner.values()) {
            EngineInventory inventory = view.inventory().orElse(null);
            String wanted = roles.getOrDefault(view.server().name(), "both");
            boolean inPool = isInPool(catalogue, view.server().name());
            if (inPool && inventory != null && !inventory.role().equals(wanted)) {
                setRole(view, wanted, "role_differs engine=" + inventory.role());
            }
        }
    }

    private void setRole(RunnerView view, String role, String reason) {
        String key = "role-" + view.server().name();
        if (writer.isPending(key) || context.clock().millis() < view.nextRoleOrderMillis()) {
            return;
        }
        view.setNextRoleOrderMillis(
                context.clock().millis() + 2 * context.times().replyTimeoutMillis());
        Charge noCharge = new Charge(key, "", "", view.server().name(), List.of(), 0, ChargeState.READY);
        writer.appendIntent(IntentKind.SET_ROLE, noCharge, role, reason, offset -> {
            EngineOrder order =
                    new EngineOrder(context.randomId(), offset, OrderKind.SET_ROLE, "", "", List.of(), 0, role);
            if (orderReconciler.isLeaseHeld()) {
                context.engines().send(view.server(), order);
                view.pollSoon();
            }
        });
    }

    /**
     * Planning waits for the first inventory of each available runner, so that resident models are known before any
     * change.
     */
    private boolean isReadyToPlan(long nowMillis) {
        Set<String> unavailable = context.unavailableRunners().get();
        boolean allRead = viewsByRunner.values().stream()
                .allMatch(view -> view.inventory().isPresent()
                        || unavailable.contains(view.server().name()));
        return allRead || nowMillis - leaseHeldSinceMillis >= context.times().unreachableAfterMillis();
    }

    private void plan(List<LedgerEntry> entries, PlacementLedger ledger, long nowMillis) {
        Catalogue catalogue = context.catalogue().get();
        if (!catalogue.pools().containsKey(context.pool())) {
            return;
        }
        Set<String> unavailable = new HashSet<>(context.unavailableRunners().get());
        viewsByRunner.values().stream()
                .filter(view -> !isReachable(view, nowMillis))
                .forEach(view -> unavailable.add(view.server().name()));
        Map<String, Long> changed = catalogue.models().keySet().stream()
                .collect(Collectors.toMap(
                        Function.identity(), name -> lastChangeMillisByModel.getOrDefault(name, leaseHeldSinceMillis)));
        PlacementInput input = new PlacementInput(
                catalogue,
                context.pool(),
                entries.stream().map(LedgerEntry::charge).toList(),
                context.demandTokensPerSecond().get(),
                unavailable,
                ledger.roles(),
                ledger.loadsInFlight(context.pool()),
                nowMillis,
                changed);
        plannedChanges.clear();
        plannedChanges.addAll(context.policy().plan(input));
    }

    private boolean isReachable(RunnerView view, long nowMillis) {
        return view.inventory().isPresent()
                && !view.inventory().get().leaving()
                && nowMillis - view.inventoryReceivedMillis() < context.times().unreachableAfterMillis();
    }

    private void appendPlanned(long nowMillis) {
        Catalogue catalogue = context.catalogue().get();
        while (!plannedChanges.isEmpty()) {
            PlacementChange change = plannedChanges.peek();
            boolean load = change.kind() == PlacementChange.Kind.LOAD;
            if (load && pacer.isBackedOff(change.model(), change.runner(), nowMillis)) {
                plannedChanges.poll();
                continue;
            }
            if (load && !pacer.mayLoad(change.model(), change.runner(), nowMillis)) {
                return;
            }
            plannedChanges.poll();
            lastChangeMillisByModel.put(change.model(), nowMillis);
            switch (change.kind()) {
                case LOAD -> appendLoad(change, catalogue, nowMillis);
                case RESERVE ->
                    newCharge(change, catalogue)
                            .ifPresent(charge -> writer.appendIntent(IntentKind.RESERVE, charge, change.reason()));
                case UNLOAD, CANCEL_RESERVE -> appendRelease(change, catalogue, nowMillis);
                case ROLE_BOTH -> appendRole(change, "both");
                case ROLE_PROMPT -> appendRole(change, "prompt");
                case ROLE_ANSWER -> appendRole(change, "answer");
            }
        }
    }

    private void appendLoad(PlacementChange change, Catalogue catalogue, long nowMillis) {
        Optional<Charge> reservation = findCharge(change, catalogue, ChargeState.RESERVED);
        Optional<Charge> charge = reservation.isPresent() ? reservation : newCharge(change, catalogue);
        if (charge.isEmpty()) {
            return;
        }
        Pool pool = catalogue.pools().get(context.pool());
        pacer.loadStarted(pool == null ? 0 : pool.storeLoadsPerSecond(), nowMillis);
        writer.appendIntent(IntentKind.LOAD, charge.get(), change.reason());
    }

    private void appendRelease(PlacementChange change, Catalogue catalogue, long nowMillis) {
        boolean cancel = change.kind() == PlacementChange.Kind.CANCEL_RESERVE;
        Optional<Charge> charge = findCharge(change, catalogue, cancel ? ChargeState.RESERVED : ChargeState.READY);
        if (charge.isEmpty() || writer.isPending(charge.get().orderId())) {
            return;
        }
        boolean inCatalogue = catalogue.models().containsKey(change.model());
        if (!cancel && inCatalogue && !hasOtherReadyReplica(charge.get(), nowMillis)) {
            log.info(
                    "placement decision pool={} kind=UNLOAD model={} runner={} result=\"skipped: no other runner has"
                            + " lately shown the model ready\"",
                    context.pool(),
                    change.model(),
                    change.runner());
            return;
        }
        writer.appendIntent(cancel ? IntentKind.CANCEL_RESERVE : IntentKind.UNLOAD, charge.get(), change.reason());
    }

    private void appendRole(PlacementChange change, String role) {
        RunnerView view = viewsByRunner.get(change.runner());
        if (view != null) {
            setRole(view, role, change.reason());
        }
    }

    /**
     * Requires a recent inventory besides the ledger entry, because the ledger also counts replicas on runners that
     * died.
     */
    private boolean hasOtherReadyReplica(Charge leaving, long nowMillis) {
        for (Charge other : context.ledger().get().charges()) {
            RunnerView view = viewsByRunner.get(other.runner());
            boolean candidate = other.model().equals(leaving.model())
                    && other.state() == ChargeState.READY
                    && !other.orderId().equals(leaving.orderId())
                    && !writer.isPending(other.orderId());
            if (candidate
                    && view != null
                    && isReachable(view, nowMillis)
                    && RunnerView.residentModel(view.inventory().orElseThrow(), other)
                            .map(ResidentModel::ready)
                            .orElse(false)) {
                return true;
            }
        }
        return false;
    }

    private Optional<Charge> newCharge(PlacementChange change, Catalogue catalogue) {
        ModelEntry model = catalogue.models().get(change.model());
        return Optional.ofNullable(model)
                .map(entry -> writer.newLoadingCharge(
                        entry.name(), entry.version(), change.runner(), change.accelerators(), entry.memoryMib()));
    }

    /** If two versions are on the same accelerators, prefers the charge whose version the catalogue no longer has. */
    private Optional<Charge> findCharge(PlacementChange change, Catalogue catalogue, ChargeState state) {
        ModelEntry model = catalogue.models().get(change.model());
        return context.ledger().get().charges().stream()
                .filter(charge -> charge.state() == state
                        && charge.model().equals(change.model())
                        && charge.runner().equals(change.runner())
                        && charge.accelerators().equals(change.accelerators()))
                .min(Comparator.comparing(
                        charge -> model != null && charge.version().equals(model.version())));
    }
}
