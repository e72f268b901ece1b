package org.agatehatch.experiment;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.ModelEntry;
import org.agatehatch.api.placement.Charge;
import org.agatehatch.api.placement.ChargeState;
import org.agatehatch.api.placement.DemandTracker;
import org.agatehatch.api.placement.PlacementChange;
import org.agatehatch.api.placement.PlacementInput;
import org.agatehatch.api.placement.PlacementPolicy;
import org.agatehatch.internal.version.Acceptance;
import org.agatehatch.internal.version.PlacementLedger;
import org.agatehatch.internal.version.record.StateRecord.IntentKind;
import org.agatehatch.internal.version.record.StateRecord.OrderSettled;
import org.agatehatch.internal.version.record.StateRecord.PlacementIntent;
import org.agatehatch.internal.version.record.StateRecord.SettledOutcome;

/** Plans, writes the plan to a ledger, and carries it out at the engines, as the holder of a pool's lease does. */
final class PlacementLoop {
    static final double ROUND_MILLIS = 5_000;
    private static final double ORDER_MILLIS = 300;
    /** Time after which a runner that does not answer is planned around. */
    private static final double UNREACHABLE_MILLIS = 10_000;

    private static final long FENCING = 1;
    private static final int START_ROUNDS = 40;

    private final Deployment deployment;
    private final VirtualTime time;
    private final PlacementPolicy policy;
    private final Map<String, EngineModel> engines;
    private final WeightStore store;
    private final Runnable changed;
    private final PlacementLedger ledger = new PlacementLedger();
    private final DemandTracker demand = DemandTracker.withDefaults();
    private final Deque<PlacementChange> planned = new ArrayDeque<>();
    private final Map<String, Long> lastChangeMillis = new HashMap<>();
    private final Map<String, Long> downSinceMillis = new HashMap<>();
    private final Set<String> drained = new HashSet<>();
    private long offset;
    private long sequence;
    private double nextLoadMillis;
    private int loads;
    private int unloads;

    /**
     * Creates a loop.
     *
     * @param changed called after each change of what routing sees
     */
    PlacementLoop(
            Deployment deployment,
            VirtualTime time,
            PlacementPolicy policy,
            Map<String, EngineModel> engines,
            WeightStore store,
            Runnable changed) {
        this.deployment = deployment;
        this.time = time;
        this.policy = policy;
        this.engines = engines;
        this.store = store;
        this.changed = changed;
    }

    int loads() {
        return loads;
    }

    int unloads() {
        return unloads;
    }

    Set<String> drained() {
        return drained;
    }

    PlacementLedger ledger() {
        return ledger;
    }

    /** Places the catalogue's replicas before the run, alike for all policies and without counting them as moves. */
    void placeAtStart(PlacementPolicy first) {
        for (int round = 0; round < START_ROUNDS; round++) {
            for (PlacementChange change : first.plan(input())) {
                Optional<Charge> charge = newCharge(change);
                if (charge.isPresent() && append(IntentKind.LOAD, charge.get(), change.reason())) {
                    EngineModel engine = engines.get(change.runner());
                    engine.startLoad(
                            change.model(), change.accelerators(), charge.get().memoryMib());
                    engine.ready(change.model());
                    settle(charge.get().orderId(), SettledOutcome.READY, engine.epoch());
                }
            }
        }
        lastChangeMillis.clear();
        changed.run();
    }

    void drain(String runner, boolean draining) {
        if (draining) {
            drained.add(runner);
        } else {
            drained.remove(runner);
        }
        changed.run();
    }

    void crashed(String runner) {
        downSinceMillis.put(runner, time.millis());
    }

    /** Settles what the crashed process held; its new process has nothing resident. */
    void restarted(String runner) {
        downSinceMillis.remove(runner);
        String epoch = engines.get(runner).epoch();
        for (Charge charge : ledger.charges()) {
            if (charge.runner().equals(runner) && charge.state() != ChargeState.RESERVED) {
                settle(charge.orderId(), SettledOutcome.ABSENT, epoch);
            }
        }
        changed.run();
    }

    /** Runs one planning round on the demand since the last one. */
    void round(Map<String, Long> tokens) {
        Map<String, Double> perSecond = new HashMap<>();
        tokens.forEach((model, count) -> perSecond.put(model, 1_000 * count / ROUND_MILLIS));
        demand.observe(time.millis(), perSecond);
        planned.clear();
        planned.addAll(policy.plan(input()));
    }

    /** Appends planned changes; loads at the rate of the weight store. */
    void tick() {
        while (!planned.isEmpty()) {
            PlacementChange change = planned.peek();
            boolean load = change.kind() == PlacementChange.Kind.LOAD;
            if (load && time.millis() < nextLoadMillis) {
                return;
            }
            planned.poll();
            lastChangeMillis.put(change.model(), time.millis());
            switch (change.kind()) {
                case LOAD -> load(change);
                case RESERVE ->
                    newCharge(change).ifPresent(charge -> append(IntentKind.RESERVE, charge, change.reason()));
                case UNLOAD -> unload(change);
                case CANCEL_RESERVE -> cancel(change);
                default -> throw new IllegalStateException("role changes are not part of an experiment: " + change);
            }
        }
    }

    private PlacementInput input() {
        Set<String> unavailable = new HashSet<>(drained);
        downSinceMillis.forEach((runner, since) -> {
            if (time.millis() - since >= UNREACHABLE_MILLIS) {
                unavailable.add(runner);
            }
        });
        Map<String, Long> changes = new TreeMap<>();
        deployment
                .catalogue()
                .models()
                .keySet()
                .forEach(name -> changes.put(name, lastChangeMillis.getOrDefault(name, 0L)));
        return new PlacementInput(
                deployment.catalogue(),
                Deployment.POOL,
                ledger.charges(),
                demand.tokensPerSecond(),
                unavailable,
                Map.of(),
                ledger.loadsInFlight(Deployment.POOL),
                time.millis(),
                changes);
    }

    private void load(PlacementChange change) {
        Optional<Charge> reservation = find(change, ChargeState.RESERVED);
        Optional<Charge> charge = reservation.isPresent() ? reservation : newCharge(change);
        EngineModel engine = engines.get(change.runner());
        if (charge.isEmpty() || !engine.up() || !append(IntentKind.LOAD, charge.get(), change.reason())) {
            return;
        }
        loads++;
        nextLoadMillis = time.millis() + 1_000;
        long memoryMib = charge.get().memoryMib();
        String orderId = charge.get().orderId();
        String epoch = engine.epoch();
        time.after(ORDER_MILLIS, () -> {
            if (!engine.epoch().equals(epoch)) {
                return;
            }
            engine.startLoad(change.model(), change.accelerators(), memoryMib);
            store.load(memoryMib, () -> {
                if (engine.epoch().equals(epoch)) {
                    engine.ready(change.model());
                    settleLater(orderId, SettledOutcome.READY, epoch);
                }
            });
        });
    }

    private void unload(PlacementChange change) {
        Optional<Charge> charge = find(change, ChargeState.READY);
        EngineModel engine = engines.get(change.runner());
        if (charge.isEmpty() || !append(IntentKind.UNLOAD, charge.get(), change.reason())) {
            return;
        }
        unloads++;
        changed.run();
        String epoch = engine.epoch();
        time.after(ORDER_MILLIS, () -> {
            if (engine.up() && engine.epoch().equals(epoch)) {
                engine.unload(
                        change.model(),
                        () -> settleLater(charge.get().orderId(), SettledOutcome.ABSENT, engine.epoch()));
            }
        });
    }

    private void cancel(PlacementChange change) {
        Optional<Charge> charge = find(change, ChargeState.RESERVED);
        if (charge.isPresent() && append(IntentKind.CANCEL_RESERVE, charge.get(), change.reason())) {
            String epoch = engines.get(change.runner()).epoch();
            settleLater(charge.get().orderId(), SettledOutcome.ABSENT, epoch);
        }
    }

    private Optional<Charge> find(PlacementChange change, ChargeState state) {
        return ledger.charges().stream()
                .filter(charge -> charge.state() == state
                        && charge.model().equals(change.model())
                        && charge.runner().equals(change.runner()))
                .findFirst();
    }

    private Optional<Charge> newCharge(PlacementChange change) {
        Catalogue catalogue = deployment.catalogue();
        ModelEntry model = catalogue.models().get(change.model());
        return Optional.of(new Charge(
                "order-" + offset,
                model.name(),
                model.version(),
                change.runner(),
                change.accelerators(),
                model.memoryMib(),
                ChargeState.LOADING));
    }

    private boolean append(IntentKind kind, Charge charge, String reason) {
        PlacementIntent intent = new PlacementIntent(
                "record-" + offset,
                Deployment.POOL,
                FENCING,
                kind,
                charge.orderId(),
                charge.model(),
                charge.version(),
                charge.runner(),
                List.copyOf(charge.accelerators()),
                charge.memoryMib(),
                "",
                reason);
        return ledger.apply(offset++, intent, deployment.catalogue()).accepted();
    }

    private void settleLater(String orderId, SettledOutcome outcome, String epoch) {
        time.after(ORDER_MILLIS, () -> {
            settle(orderId, outcome, epoch);
            changed.run();
        });
    }

    private void settle(String orderId, SettledOutcome outcome, String epoch) {
        OrderSettled settled =
                new OrderSettled("record-" + offset, Deployment.POOL, FENCING, orderId, outcome, epoch, sequence++, 0);
        Acceptance ignored = ledger.apply(offset++, settled, deployment.catalogue());
        // A charge that a crash has ended already is refused here, which is what the log would do.
        assert ignored != null;
    }
}
