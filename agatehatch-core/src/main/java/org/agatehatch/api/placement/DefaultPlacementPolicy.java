package org.agatehatch.api.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.ModelEntry;
import org.agatehatch.api.catalogue.Pool;
import org.agatehatch.api.catalogue.RequestClass;

/**
 * The default placement policy. Each planning round handles, in this order: models without a live replica, obsolete
 * replicas, new model versions, the minimum number of replicas in the catalogue, additional replicas for demand, and
 * standby reservations for models with a single replica.
 *
 * <p>Replicas beyond demand stay loaded until another model needs their memory, since a reload costs more than idle
 * memory.
 */
public final class DefaultPlacementPolicy implements PlacementPolicy {
    // Eviction costs. The classes are so far apart that the costs of several charges never add up to the next class.
    private static final double RESERVATION_COST = 1;
    private static final double IDLE_SURPLUS_COST = 1e3;
    private static final double SURPLUS_COST = 1e6;
    private static final double MINIMUM_REPLICA_COST = 1e9;

    private final PlacementSettings settings;

    public DefaultPlacementPolicy(PlacementSettings settings) {
        this.settings = settings;
    }

    @Override
    public List<PlacementChange> plan(PlacementInput input) {
        if (!input.catalogue().pools().containsKey(input.pool())) {
            return List.of();
        }
        return new PlanningRound(input).plan();
    }

    private final class PlanningRound {
        private final PlacementInput input;
        private final PlanningState state;
        private final AllocationFinder allocationFinder;
        private final Pool pool;
        private final Map<String, ModelEntry> modelsByName;
        private final long availableRunners;

        PlanningRound(PlacementInput input) {
            this.input = input;
            this.state = new PlanningState(input, settings);
            this.allocationFinder = new AllocationFinder(state);
            this.pool = input.catalogue().pools().get(input.pool());
            this.modelsByName =
                    state.models().stream().collect(Collectors.toMap(ModelEntry::name, Function.identity()));
            this.availableRunners =
                    state.runners().stream().filter(RunnerMemory::available).count();
        }

        List<PlacementChange> plan() {
            loadUnservedModels();
            unloadObsoleteReplicas();
            loadNewVersions();
            addMinimumReplicas();
            addDemandReplicas();
            cancelUnusableReservations();
            reserveStandbys();
            return state.changes();
        }

        private void loadUnservedModels() {
            List<ModelEntry> unservedModels = state.models().stream()
                    .filter(model -> state.liveReplicas(model.name()).isEmpty())
                    .sorted(Comparator.<ModelEntry>comparingInt(model -> -priority(input.catalogue(), model))
                            .thenComparingDouble(model -> -state.demand(model.name()))
                            .thenComparing(Comparator.comparingLong(ModelEntry::memoryMib)
                                    .reversed())
                            .thenComparing(ModelEntry::name))
                    .toList();
            for (ModelEntry model : unservedModels) {
                String reason = String.format(Locale.ROOT, "no_replica demand_tps=%.1f", state.demand(model.name()));
                if (!place(model, reason) && state.mayLoad()) {
                    evictFor(model, MINIMUM_REPLICA_COST * 1e3, reason, true);
                }
            }
        }

        private void unloadObsoleteReplicas() {
            for (String name : state.chargedModels()) {
                ModelEntry model = modelsByName.get(name);
                for (Charge charge : state.charges(name)) {
                    boolean obsolete = model == null || isSupersededVersion(model, charge);
                    if (obsolete && charge.state() == ChargeState.READY && isReleasable(charge)) {
                        state.release(charge, model == null ? "not_in_catalogue" : "version_replaced");
                    }
                }
            }
        }

        private boolean isSupersededVersion(ModelEntry model, Charge charge) {
            if (charge.version().equals(model.version())) {
                return false;
            }
            List<Charge> current = state.liveReplicas(model);
            long ready = current.stream().filter(state::isReady).count();
            return ready >= Math.max(1, model.replicas()) && gainSeconds(model, (int) ready) <= pool.moveWeight();
        }

        private boolean isReleasable(Charge charge) {
            boolean free = !modelsByName.containsKey(charge.model())
                    || !state.isReady(charge)
                    || state.readyReplicaCount(charge.model()) > 1;
            return free && !state.isRemoved(charge) && state.hasRoomForChanges();
        }

        private void loadNewVersions() {
            for (ModelEntry model : state.models()) {
                boolean onlyOldVersions = state.liveReplicas(model).isEmpty()
                        && !state.liveReplicas(model.name()).isEmpty();
                if (!onlyOldVersions || !state.mayLoad()) {
                    continue;
                }
                String reason = "new_version version=" + model.version();
                if (!place(model, reason)) {
                    evictFor(model, MINIMUM_REPLICA_COST, reason, true);
                }
            }
        }

        private void addMinimumReplicas() {
            for (ModelEntry model : state.models()) {
                int live = state.liveReplicas(model).size();
                while (live > 0 && live < Math.min(model.replicas(), availableRunners) && state.mayLoad()) {
                    String reason = "below_minimum replicas=" + live + " wanted=" + model.replicas();
                    if (!place(model, reason)) {
                        evictFor(model, MINIMUM_REPLICA_COST, reason, false);
                        break;
                    }
                    live++;
                }
            }
        }

        private void addDemandReplicas() {
            List<ModelEntry> candidates = new ArrayList<>();
            for (ModelEntry model : state.models()) {
                int live = state.liveReplicas(model).size();
                if (live >= Math.max(1, model.replicas()) && gainSeconds(model, live) > pool.moveWeight()) {
                    candidates.add(model);
                }
            }
            candidates.sort(Comparator.<ModelEntry>comparingDouble(model -> -requiredReplicas(model))
                    .thenComparing(ModelEntry::name));
            for (ModelEntry model : candidates) {
                addDemandReplicas(model);
            }
        }

        private void addDemandReplicas(ModelEntry model) {
            int live = state.liveReplicas(model).size();
            while (live < availableRunners && gainSeconds(model, live) > pool.moveWeight() && state.mayLoad()) {
                double gain = gainSeconds(model, live);
                String reason = String.format(
                        Locale.ROOT,
                        "demand demand_tps=%.1f replicas=%d gain_s=%.0f",
                        state.demand(model.name()),
                        live,
                        gain);
                if (!place(model, reason)) {
                    evictForDemand(model, gain, reason);
                    return;
                }
                live++;
            }
        }

        private void evictForDemand(ModelEntry model, double gain, String reason) {
            if (state.millisSinceLastChange(model.name()) < settings.cooldownMillis()
                    || allocationFinder.earmarkReleasingMemory(model)) {
                return;
            }
            ToDoubleFunction<Charge> loss = charge -> {
                ModelEntry other = modelsByName.get(charge.model());
                if (other == null || other == model || !isSurplus(other, charge)) {
                    return Double.POSITIVE_INFINITY;
                }
                boolean cooledDown = state.millisSinceLastChange(other.name()) >= settings.cooldownMillis();
                double lostSeconds = gainSeconds(other, state.readyReplicaCount(other.name()) - 1);
                return cooledDown ? lostSeconds + pool.moveWeight() : Double.POSITIVE_INFINITY;
            };
            Optional<AllocationFinder.EvictionPlan> evictionPlan = allocationFinder.planEviction(model, loss);
            if (evictionPlan.isPresent() && gain > evictionPlan.get().cost() + pool.moveWeight()) {
                release(evictionPlan.get(), model, reason);
            }
        }

        private boolean isSurplus(ModelEntry other, Charge charge) {
            return isReleasable(charge)
                    && charge.state() == ChargeState.READY
                    && state.readyReplicaCount(other.name()) > Math.max(1, other.replicas());
        }

        /**
         * Loads a replica into the model's reservation or into free memory, and returns whether a load was proposed.
         */
        private boolean place(ModelEntry model, String reason) {
            if (!state.mayLoad()) {
                return false;
            }
            Optional<Charge> reservation = state.charges(model.name()).stream()
                    .filter(charge -> isUsableReservation(model, charge))
                    .findFirst();
            if (reservation.isPresent()) {
                state.loadReserved(model, reservation.get(), reason + " reserved");
                allocationFinder.addDemand(reservation.get().runner(), state.demand(model.name()));
                return true;
            }
            double demandStep = Math.max(1, settings.replicaTokensPerSecond().applyAsDouble(model) / 2);
            Optional<PlanningState.Allocation> allocation =
                    allocationFinder.findFree(model, demandStep, runner -> true);
            allocation.ifPresent(found -> {
                state.load(model, found, reason);
                allocationFinder.addDemand(found.runner().name(), state.demand(model.name()));
            });
            return allocation.isPresent();
        }

        private boolean isUsableReservation(ModelEntry model, Charge charge) {
            return charge.state() == ChargeState.RESERVED
                    && !state.isRemoved(charge)
                    && charge.version().equals(model.version())
                    && charge.memoryMib() == model.memoryMib()
                    && charge.accelerators().size() == model.accelerators()
                    && state.available(charge.runner())
                    && input.catalogue().backendServers().containsKey(charge.runner());
        }

        /**
         * Releases the cheapest charges that make room for the model if their total cost is below {@code costLimit}, so
         * that a later round can load the model. Else relocates replicas, if {@code mayRelocate}.
         */
        private void evictFor(ModelEntry model, double costLimit, String reason, boolean mayRelocate) {
            if (allocationFinder.earmarkReleasingMemory(model)) {
                return;
            }
            Optional<AllocationFinder.EvictionPlan> evictionPlan =
                    allocationFinder.planEviction(model, this::evictionCost);
            if (evictionPlan.isPresent() && evictionPlan.get().cost() < costLimit) {
                release(evictionPlan.get(), model, reason);
                return;
            }
            if (mayRelocate) {
                relocateFor(model);
            }
        }

        private void release(AllocationFinder.EvictionPlan evictionPlan, ModelEntry model, String reason) {
            for (Charge victim : evictionPlan.victims()) {
                if (!state.isRemoved(victim)) {
                    state.release(victim, "gives_way_to model=" + model.name() + " " + reason);
                }
            }
            evictionPlan
                    .allocation()
                    .runner()
                    .earmarkReleasingMemory(evictionPlan.allocation().accelerators(), model.memoryMib());
        }

        private double evictionCost(Charge charge) {
            if (!state.hasRoomForChanges() || state.isRemoved(charge)) {
                return Double.POSITIVE_INFINITY;
            }
            double demand = Math.min(state.demand(charge.model()), 1e5) / 1e3;
            if (charge.state() == ChargeState.RESERVED) {
                // A reservation of a model without a live replica is used to load the model, so it is not evicted.
                boolean modelHasNoReplica = modelsByName.containsKey(charge.model())
                        && state.liveReplicas(charge.model()).isEmpty();
                return modelHasNoReplica ? Double.POSITIVE_INFINITY : RESERVATION_COST + demand;
            }
            ModelEntry model = modelsByName.get(charge.model());
            if (model == null || !state.isReady(charge) || state.readyReplicaCount(charge.model()) < 2) {
                return Double.POSITIVE_INFINITY;
            }
            int ready = state.readyReplicaCount(charge.model());
            if (!charge.version().equals(model.version())
                    || ready > Math.max(model.replicas(), targetReplicas(model))) {
                return IDLE_SURPLUS_COST + demand;
            }
            return (ready > model.replicas() ? SURPLUS_COST : MINIMUM_REPLICA_COST) + demand;
        }

        /**
         * Loads second replicas of models that block the memory and have a single replica, in free memory of other
         * runners. A later round can then unload the blocking replicas.
         */
        private void relocateFor(ModelEntry model) {
            ToDoubleFunction<Charge> cost = charge -> {
                ModelEntry other = modelsByName.get(charge.model());
                if (other == null || other == model || !state.isReady(charge) || state.isRemoved(charge)) {
                    return Double.POSITIVE_INFINITY;
                }
                boolean hasOtherReplica = state.liveReplicas(other.name()).size() > 1;
                return hasOtherReplica
                        ? 0
                        : (double) charge.memoryMib() * charge.accelerators().size();
            };
            Optional<AllocationFinder.EvictionPlan> evictionPlan = allocationFinder.planEviction(model, cost);
            if (evictionPlan.isEmpty()) {
                return;
            }
            for (Charge charge : evictionPlan.get().victims()) {
                ModelEntry other = modelsByName.get(charge.model());
                if (cost.applyAsDouble(charge) == 0 || !state.mayLoad()) {
                    continue;
                }
                allocationFinder
                        .findFree(
                                other,
                                1e9,
                                runner -> runner
                                        != evictionPlan.get().allocation().runner())
                        .ifPresent(allocation -> state.load(
                                other,
                                allocation,
                                "move_to_make_room model=" + model.name() + " from=" + charge.runner()));
            }
        }

        private void cancelUnusableReservations() {
            for (RunnerMemory runner : state.runners()) {
                for (Charge charge : List.copyOf(runner.charges())) {
                    if (charge.state() != ChargeState.RESERVED
                            || state.isRemoved(charge)
                            || !state.hasRoomForChanges()) {
                        continue;
                    }
                    ModelEntry model = modelsByName.get(charge.model());
                    if (model == null || !isUsableReservation(model, charge) || !runner.checksFencing()) {
                        state.release(charge, "reservation_useless");
                    }
                }
            }
        }

        private void reserveStandbys() {
            for (ModelEntry model : state.models()) {
                if (!state.hasRoomForChanges()) {
                    return;
                }
                List<Charge> live = state.liveReplicas(model.name());
                boolean reserved =
                        state.charges(model.name()).stream().anyMatch(charge -> charge.state() == ChargeState.RESERVED);
                if (live.size() != 1 || reserved || !state.isReady(live.get(0))) {
                    continue;
                }
                String domain = input.catalogue()
                        .backendServers()
                        .get(live.get(0).runner())
                        .failureDomain();
                allocationFinder
                        .findFree(
                                model,
                                1e9,
                                runner -> runner.checksFencing()
                                        && !runner.failureDomain().equals(domain))
                        .ifPresent(allocation -> state.reserve(
                                model,
                                allocation,
                                "single_replica on=" + live.get(0).runner()));
            }
        }

        private double requiredReplicas(ModelEntry model) {
            double rate = Math.max(1e-9, settings.replicaTokensPerSecond().applyAsDouble(model));
            return state.demand(model.name()) * (1 + settings.headroomFraction()) / rate;
        }

        private int targetReplicas(ModelEntry model) {
            return (int) Math.min(availableRunners, Math.max(model.replicas(), Math.ceil(requiredReplicas(model))));
        }

        /** Returns how many seconds of attained latency targets one more replica adds within the payback time. */
        private double gainSeconds(ModelEntry model, int replicas) {
            double shortfall = Math.max(0, requiredReplicas(model) - replicas);
            return Math.min(1, shortfall) * settings.paybackSeconds();
        }
    }

    private static int priority(Catalogue catalogue, ModelEntry model) {
        RequestClass requestClass = catalogue.classes().get(model.requestClass());
        return requestClass == null ? 0 : requestClass.priority();
    }
}
