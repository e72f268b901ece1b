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
 * Keeps one pool's runners in line with the plan while this node holds the pool's lease. All methods are called on the
 * control thread; answers from engines and the log are queued and handled in the next {@link #tick()}.
 */
public final class PlacementExecutor {
    private static final Logger log = LoggerFactory.getLogger(PlacementExecutor.class);

    private final PlacementContext context;
    private final Queue<Runnable> events = new ConcurrentLinkedQueue<>();
    private final IntentWriter writer;
    private final LoadPacer pacer;
    private final OrderDriver driver;
    private final Map<String, RunnerView> views = new TreeMap<>();
    private final Deque<PlacementChange> planned = new ArrayDeque<>();
    private final Map<String, Long> lastChangeMillis = new HashMap<>();
    private OptionalLong holding = OptionalLong.empty();
    private long holdingSinceMillis;
    private long nextRoundMillis;

    public PlacementExecutor(PlacementContext context) {
        this.context = context;
        this.writer = new IntentWriter(context, events);
        this.pacer = new LoadPacer(context);
        this.driver = new OrderDriver(context, writer, pacer, events);
    }

    /** Does what is due. To be called several times a second. */
    public void tick() {
        long nowMillis = context.clock().millis();
        OptionalLong held = context.lease().heldFencingNumber();
        if (!held.equals(holding)) {
            changeHolding(held, nowMillis);
        }
        for (Runnable event = events.poll(); event != null; event = events.poll()) {
            event.run();
        }
        if (holding.isEmpty()) {
            return;
        }
        writer.expire(nowMillis);
        PlacementLedger ledger = context.ledger().get();
        List<LedgerEntry> entries = ledger.entries().stream()
                .filter(entry -> entry.pool().equals(context.pool()))
                .toList();
        updateViews(entries);
        poll(entries, nowMillis);
        for (LedgerEntry entry : entries) {
            RunnerView view = views.get(entry.charge().runner());
            if (view != null) {
                driver.drive(entry, view, nowMillis);
            }
        }
        driver.forgetSettled(ledger);
        adoptUncharged(ledger);
        alignRoles(ledger);
        if (nowMillis >= nextRoundMillis && !writer.hasPending() && isReadyToPlan(nowMillis)) {
            nextRoundMillis = nowMillis + context.times().roundMillis();
            plan(entries, ledger, nowMillis);
        }
        appendPlanned(nowMillis);
    }

    private void changeHolding(OptionalLong held, long nowMillis) {
        holding = held;
        planned.clear();
        views.clear();
        lastChangeMillis.clear();
        holdingSinceMillis = nowMillis;
        nextRoundMillis = nowMillis;
        if (held.isPresent()) {
            writer.startHolding(held.getAsLong());
            driver.startHolding(held.getAsLong());
            log.info("placement holding pool={} fencing={}", context.pool(), held.getAsLong());
        } else {
            log.info("placement not_holding pool={}", context.pool());
        }
    }

    /** Keeps runners that left the pool while something is charged on them. */
    private void updateViews(List<LedgerEntry> entries) {
        Catalogue catalogue = context.catalogue().get();
        Set<String> charged =
                entries.stream().map(entry -> entry.charge().runner()).collect(Collectors.toSet());
        views.keySet().removeIf(name -> !charged.contains(name) && !isInPool(catalogue, name));
        for (BackendServer server : catalogue.backendServers().values()) {
            if (server.pool().equals(context.pool()) || charged.contains(server.name())) {
                views.computeIfAbsent(server.name(), name -> new RunnerView(server))
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
        for (RunnerView view : views.values()) {
            if (!view.isPollDue(nowMillis, context.times().replyMillis())) {
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
        return context.ledger().get().isOutdatedInventory(view.server().name(), inventory.runnerEpoch(), inventory.sequence());
    }

    private void adoptUncharged(PlacementLedger ledger) {
        Catalogue catalogue = context.catalogue().get();
        for (RunnerView view : views.values()) {
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
                writer.intent(IntentKind.ADOPT, charge, "resident_without_charge epoch=" + inventory.runnerEpoch());
            }
        }
    }

    private void alignRoles(PlacementLedger ledger) {
        Catalogue catalogue = context.catalogue().get();
        Map<String, String> roles = ledger.roles();
        for (RunnerView view : views.values()) {
            EngineInventory inventory = view.inventory().orElse(null);
            String wanted = roles.getOrDefault(view.server().name(), "both");
            boolean ours = isInPool(catalogue, view.server().name());
            if (ours && inventory != null && !inventory.role().equals(wanted)) {
                setRole(view, wanted, "role_differs engine=" + inventory.role());
            }
        }
    }

    private void setRole(RunnerView view, String role, String reason) {
        String key = "role-" + view.server().name();
        if (writer.isPending(key) || context.clock().millis() < view.nextRoleMillis()) {
            return;
        }
        view.setNextRoleMillis(context.clock().millis() + 2 * context.times().replyMillis());
        Charge none = new Charge(key, "", "", view.server().name(), List.of(), 0, ChargeState.READY);
        writer.intent(IntentKind.SET_ROLE, none, role, reason, offset -> {
            EngineOrder order =
                    new EngineOrder(context.randomId(), offset, OrderKind.SET_ROLE, "", "", List.of(), 0, role);
            if (driver.isLeaseHeld()) {
                context.engines().send(view.server(), order);
                view.pollSoon();
            }
        });
    }

    /** Waits for each available runner's first inventory, so that residents are known before anything is moved. */
    private boolean isReadyToPlan(long nowMillis) {
        Set<String> unavailable = context.unavailableRunners().get();
        boolean allRead = views.values().stream()
                .allMatch(view -> view.inventory().isPresent()
                        || unavailable.contains(view.server().name()));
        return allRead || nowMillis - holdingSinceMillis >= context.times().unreachableMillis();
    }

    private void plan(List<LedgerEntry> entries, PlacementLedger ledger, long nowMillis) {
        Catalogue catalogue = context.catalogue().get();
        if (!catalogue.pools().containsKey(context.pool())) {
            return;
        }
        Set<String> unavailable = new HashSet<>(context.unavailableRunners().get());
        views.values().stream()
                .filter(view -> !isReachable(view, nowMillis))
                .forEach(view -> unavailable.add(view.server().name()));
        Map<String, Long> changed = catalogue.models().keySet().stream()
                .collect(Collectors.toMap(
                        Function.identity(), name -> lastChangeMillis.getOrDefault(name, holdingSinceMillis)));
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
        planned.clear();
        planned.addAll(context.policy().plan(input));
    }

    private boolean isReachable(RunnerView view, long nowMillis) {
        return view.inventory().isPresent()
                && !view.inventory().get().leaving()
                && nowMillis - view.inventoryReceivedMillis() < context.times().unreachableMillis();
    }

    private void appendPlanned(long nowMillis) {
        Catalogue catalogue = context.catalogue().get();
        while (!planned.isEmpty()) {
            PlacementChange change = planned.peek();
            boolean load = change.kind() == PlacementChange.Kind.LOAD;
            if (load && pacer.isBackedOff(change.model(), change.runner(), nowMillis)) {
                planned.poll();
                continue;
            }
            if (load && !pacer.mayLoad(change.model(), change.runner(), nowMillis)) {
                return;
            }
            planned.poll();
            lastChangeMillis.put(change.model(), nowMillis);
            switch (change.kind()) {
                case LOAD -> appendLoad(change, catalogue, nowMillis);
                case RESERVE ->
                    newCharge(change, catalogue)
                            .ifPresent(charge -> writer.intent(IntentKind.RESERVE, charge, change.reason()));
                case UNLOAD, CANCEL_RESERVE -> appendRelease(change, catalogue, nowMillis);
                case ROLE_BOTH -> appendRole(change, "both");
                case ROLE_PROMPT -> appendRole(change, "prompt");
                case ROLE_ANSWER -> appendRole(change, "answer");
            }
        }
    }

    private void appendLoad(PlacementChange change, Catalogue catalogue, long nowMillis) {
        Optional<Charge> reservation = find(change, catalogue, ChargeState.RESERVED);
        Optional<Charge> charge = reservation.isPresent() ? reservation : newCharge(change, catalogue);
        if (charge.isEmpty()) {
            return;
        }
        Pool pool = catalogue.pools().get(context.pool());
        pacer.loaded(pool == null ? 0 : pool.storeLoadsPerSecond(), nowMillis);
        writer.intent(IntentKind.LOAD, charge.get(), change.reason());
    }

    private void appendRelease(PlacementChange change, Catalogue catalogue, long nowMillis) {
        boolean cancel = change.kind() == PlacementChange.Kind.CANCEL_RESERVE;
        Optional<Charge> charge = find(change, catalogue, cancel ? ChargeState.RESERVED : ChargeState.READY);
        if (charge.isEmpty() || writer.isPending(charge.get().orderId())) {
            return;
        }
        boolean catalogued = catalogue.models().containsKey(change.model());
        if (!cancel && catalogued && !isShownElsewhere(charge.get(), nowMillis)) {
            log.info(
                    "placement decision pool={} kind=UNLOAD model={} runner={} result=\"skipped: no other runner has"
                            + " lately shown the model ready\"",
                    context.pool(),
                    change.model(),
                    change.runner());
            return;
        }
        writer.intent(cancel ? IntentKind.CANCEL_RESERVE : IntentKind.UNLOAD, charge.get(), change.reason());
    }

    private void appendRole(PlacementChange change, String role) {
        RunnerView view = views.get(change.runner());
        if (view != null) {
            setRole(view, role, change.reason());
        }
    }

    /** The ledger counts replicas on runners that may have died meanwhile; this asks for a recent inventory too. */
    private boolean isShownElsewhere(Charge leaving, long nowMillis) {
        for (Charge other : context.ledger().get().charges()) {
            RunnerView view = views.get(other.runner());
            boolean candidate = other.model().equals(leaving.model())
                    && other.state() == ChargeState.READY
                    && !other.orderId().equals(leaving.orderId())
                    && !writer.isPending(other.orderId());
            if (candidate
                    && view != null
                    && isReachable(view, nowMillis)
                    && RunnerView.resident(view.inventory().orElseThrow(), other)
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
                .map(entry -> writer.newCharge(
                        entry.name(), entry.version(), change.runner(), change.accelerators(), entry.memoryMib()));
    }

    /** Of two versions on the same accelerators, an unload means the one that the catalogue no longer has. */
    private Optional<Charge> find(PlacementChange change, Catalogue catalogue, ChargeState state) {
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
