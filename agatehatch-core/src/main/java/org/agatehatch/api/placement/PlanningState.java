package org.agatehatch.api.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.ModelEntry;
import org.agatehatch.api.catalogue.Pool;

/**
 * Memory and replicas of one pool during a planning round, including the changes that the round has proposed so far.
 */
final class PlanningState {
    private final PlacementInput input;
    private final Map<String, RunnerMemory> runners = new TreeMap<>();
    private final List<ModelEntry> models = new ArrayList<>();
    private final Map<String, List<Charge>> chargesByModel = new HashMap<>();
    private final Map<String, Integer> readyReplicaCounts = new HashMap<>();
    private final Set<String> removedOrderIds = new HashSet<>();
    private final List<PlacementChange> changes = new ArrayList<>();
    private final int maxChanges;
    private int loadBudget;

    /** Accelerators of one runner that a replica or a reservation would occupy. */
    record Allocation(RunnerMemory runner, List<Integer> accelerators) {}

    PlanningState(PlacementInput input, PlacementSettings settings) {
        this.input = input;
        this.maxChanges = settings.maxChangesPerRound();
        Pool pool = input.catalogue().pools().get(input.pool());
        this.loadBudget = pool == null ? 0 : loadBudget(pool, input.loadsInFlight(), settings.roundMillis());
        for (BackendServer server : input.catalogue().backendServers().values()) {
            if (server.pool().equals(input.pool())) {
                runners.put(server.name(), new RunnerMemory(server, available(server.name())));
            }
        }
        for (ModelEntry model : input.catalogue().models().values()) {
            if (model.pool().equals(input.pool()) && !model.isAdapter()) {
                models.add(model);
            }
        }
        models.sort(Comparator.comparing(ModelEntry::name));
        input.charges().forEach(this::addCharge);
    }

    private static int loadBudget(Pool pool, int runningLoads, long roundMillis) {
        double loadsPerRound = Math.ceil(pool.storeLoadsPerSecond() * roundMillis / 1000.0);
        return (int) Math.max(0, Math.min(pool.storeLoadsAtOnce() - runningLoads, loadsPerRound));
    }

    private void addCharge(Charge charge) {
        chargesByModel
                .computeIfAbsent(charge.model(), name -> new ArrayList<>())
                .add(charge);
        RunnerMemory runner = runners.get(charge.runner());
        if (runner != null) {
            runner.add(charge);
        }
        if (isReady(charge)) {
            readyReplicaCounts.merge(charge.model(), 1, Integer::sum);
        }
    }

    List<ModelEntry> models() {
        return models;
    }

    Collection<RunnerMemory> runners() {
        return runners.values();
    }

    Collection<String> chargedModels() {
        return new TreeMap<>(chargesByModel).keySet();
    }

    List<Charge> charges(String model) {
        return chargesByModel.getOrDefault(model, List.of());
    }

    double demand(String model) {
        return input.demandTokensPerSecond().getOrDefault(model, 0.0);
    }

    long millisSinceLastChange(String model) {
        Long last = input.lastChangeMillis().get(model);
        return last == null ? Long.MAX_VALUE : input.nowMillis() - last;
    }

    boolean available(String runner) {
        return !input.unavailableRunners().contains(runner);
    }

    boolean isReady(Charge charge) {
        return charge.state() == ChargeState.READY
                && runners.containsKey(charge.runner())
                && available(charge.runner())
                && !removedOrderIds.contains(charge.orderId());
    }

    /** Returns ready and loading charges on available runners, of any version. */
    List<Charge> liveReplicas(String model) {
        return charges(model).stream()
                .filter(charge -> isReady(charge) || isLoading(charge))
                .toList();
    }

    List<Charge> liveReplicas(ModelEntry model) {
        return liveReplicas(model.name()).stream()
                .filter(charge -> charge.version().equals(model.version()))
                .toList();
    }

    int readyReplicaCount(String model) {
        return readyReplicaCounts.getOrDefault(model, 0);
    }

    boolean mayLoad() {
        return loadBudget > 0 && hasRoomForChanges();
    }

    boolean hasRoomForChanges() {
        return changes.size() < maxChanges;
    }

    List<PlacementChange> changes() {
        return List.copyOf(changes);
    }

    /** Proposes a load and allocates its memory. */
    void load(ModelEntry model, Allocation allocation, String reason) {
        changes.add(new PlacementChange(
                PlacementChange.Kind.LOAD,
                model.name(),
                allocation.runner().name(),
                allocation.accelerators(),
                reason));
        loadBudget--;
        Charge charge = new Charge(
                "planned-" + changes.size(),
                model.name(),
                model.version(),
                allocation.runner().name(),
                allocation.accelerators(),
                model.memoryMib(),
                ChargeState.LOADING);
        addCharge(charge);
    }

    /** Proposes a load that uses the memory of the model's own reservation. */
    void loadReserved(ModelEntry model, Charge reservation, String reason) {
        removedOrderIds.add(reservation.orderId());
        RunnerMemory runner = runners.get(reservation.runner());
        runner.remove(reservation);
        load(model, new Allocation(runner, reservation.accelerators()), reason);
    }

    void reserve(ModelEntry model, Allocation allocation, String reason) {
        changes.add(new PlacementChange(
                PlacementChange.Kind.RESERVE,
                model.name(),
                allocation.runner().name(),
                allocation.accelerators(),
                reason));
        allocation.runner().allocate(allocation.accelerators(), model.memoryMib());
    }

    /** Proposes an unload or the cancellation of a reservation. The memory is free only after the change is settled. */
    void release(Charge charge, String reason) {
        boolean reserved = charge.state() == ChargeState.RESERVED;
        changes.add(new PlacementChange(
                reserved ? PlacementChange.Kind.CANCEL_RESERVE : PlacementChange.Kind.UNLOAD,
                charge.model(),
                charge.runner(),
                charge.accelerators(),
                reason));
        if (isReady(charge)) {
            readyReplicaCounts.merge(charge.model(), -1, Integer::sum);
        }
        removedOrderIds.add(charge.orderId());
        RunnerMemory runner = runners.get(charge.runner());
        if (runner != null) {
            runner.markReleasing(charge);
        }
    }

    /** Returns whether the round has proposed to release the charge, or to load into the reservation. */
    boolean isRemoved(Charge charge) {
        return removedOrderIds.contains(charge.orderId());
    }

    private boolean isLoading(Charge charge) {
        return charge.state() == ChargeState.LOADING
                && runners.containsKey(charge.runner())
                && available(charge.runner());
    }

    /** Returns the number of live replicas of the model in each failure domain. */
    Map<String, Integer> replicasByFailureDomain(String model) {
        Map<String, Integer> result = new HashMap<>();
        for (Charge charge : liveReplicas(model)) {
            result.merge(runners.get(charge.runner()).failureDomain(), 1, Integer::sum);
        }
        return result;
    }

    /** Returns the tokens per second on each runner, with each model's demand split evenly among its live replicas. */
    Map<String, Double> demandByRunner() {
        Map<String, Double> result = new HashMap<>();
        for (ModelEntry model : models) {
            List<Charge> live = liveReplicas(model.name());
            double demandPerReplica = live.isEmpty() ? 0 : demand(model.name()) / live.size();
            live.forEach(charge -> result.merge(charge.runner(), demandPerReplica, Double::sum));
        }
        return result;
    }
}
