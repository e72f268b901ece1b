package org.agatehatch.api.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.agatehatch.api.catalogue.ModelEntry;

/** Chooses accelerators for replicas, and the charges to evict when memory is short. */
final class AllocationFinder {
    private final PlanningState state;
    private final Map<String, Double> demandByRunner;

    /** Accelerators for a replica, and the charges to evict before the replica fits there. */
    record EvictionPlan(PlanningState.Allocation allocation, List<Charge> victims, double cost) {}

    AllocationFinder(PlanningState state) {
        this.state = state;
        this.demandByRunner = state.demandByRunner();
    }

    /**
     * Returns accelerators with enough free memory, on a runner that does not hold the model's current version. Prefers
     * the failure domain with the fewest live replicas of the model, then runners without another version of it, then
     * the lowest demand in steps of {@code demandStep}, then the least memory left over.
     *
     * @param demandStep demands in tokens per second that fall into the same step rank equally
     */
    Optional<PlanningState.Allocation> findFree(ModelEntry model, double demandStep, Predicate<RunnerMemory> allowed) {
        Map<String, Integer> domains = state.replicasByFailureDomain(model.name());
        PlanningState.Allocation best = null;
        long[] bestRank = null;
        for (RunnerMemory runner : state.runners()) {
            if (!runner.available() || runner.holds(model.name(), model.version()) || !allowed.test(runner)) {
                continue;
            }
            Optional<List<Integer>> fit = runner.bestFit(model.accelerators(), model.memoryMib(), false);
            if (fit.isEmpty()) {
                continue;
            }
            long unused = fit.get().stream()
                    .mapToLong(a -> runner.freeMib(a) - model.memoryMib())
                    .sum();
            long[] rank = {
                domains.getOrDefault(runner.failureDomain(), 0),
                runner.holds(model.name()) ? 1 : 0,
                (long) (demandByRunner.getOrDefault(runner.name(), 0.0) / demandStep),
                unused
            };
            if (bestRank == null || java.util.Arrays.compare(rank, bestRank) < 0) {
                best = new PlanningState.Allocation(runner, fit.get());
                bestRank = rank;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Adds demand of a planned replica to a runner, so that the next replica of the round prefers another runner. */
    void addDemand(String runner, double tokensPerSecond) {
        demandByRunner.merge(runner, tokensPerSecond, Double::sum);
    }

    /** Earmarks memory that suffices once the unloads in progress finish, and returns whether there is any. */
    boolean earmarkReleasingMemory(ModelEntry model) {
        for (RunnerMemory runner : state.runners()) {
            if (!runner.available() || runner.holds(model.name(), model.version())) {
                continue;
            }
            Optional<List<Integer>> fit = runner.bestFit(model.accelerators(), model.memoryMib(), true);
            if (fit.isPresent()) {
                runner.earmarkReleasingMemory(fit.get(), model.memoryMib());
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the eviction plan with the lowest total cost.
     *
     * @param cost cost of evicting a charge; infinite if the charge must stay
     */
    Optional<EvictionPlan> planEviction(ModelEntry model, ToDoubleFunction<Charge> cost) {
        EvictionPlan best = null;
        for (RunnerMemory runner : state.runners()) {
            if (!runner.available()
                    || runner.acceleratorCount() < model.accelerators()
                    || runner.holds(model.name(), model.version())) {
                continue;
            }
            Optional<EvictionPlan> evictionPlan = planEviction(runner, model, cost);
            if (evictionPlan.isPresent() && (best == null || evictionPlan.get().cost() < best.cost())) {
                best = evictionPlan.get();
            }
        }
        return Optional.ofNullable(best);
    }

    private Optional<EvictionPlan> planEviction(RunnerMemory runner, ModelEntry model, ToDoubleFunction<Charge> cost) {
        Map<Charge, Double> costs = new HashMap<>();
        for (Charge charge : runner.charges()) {
            double value = cost.applyAsDouble(charge);
            if (Double.isFinite(value)) {
                costs.put(charge, value);
            }
        }
        Map<Integer, List<Charge>> victimsByAccelerator = new HashMap<>();
        for (int accelerator = 0; accelerator < runner.acceleratorCount(); accelerator++) {
            List<Charge> victims = selectVictims(runner, accelerator, model.memoryMib(), costs);
            if (victims != null) {
                victimsByAccelerator.put(accelerator, victims);
            }
        }
        if (victimsByAccelerator.size() < model.accelerators()) {
            return Optional.empty();
        }
        List<Integer> accelerators = IntStream.range(0, runner.acceleratorCount())
                .boxed()
                .filter(victimsByAccelerator::containsKey)
                .sorted(Comparator.comparingDouble(a -> totalCost(victimsByAccelerator.get(a), costs)))
                .limit(model.accelerators())
                .sorted()
                .toList();
        Set<Charge> victims = new LinkedHashSet<>();
        accelerators.forEach(a -> victims.addAll(victimsByAccelerator.get(a)));
        if (evictsAllReadyReplicas(victims)) {
            return Optional.empty();
        }
        return Optional.of(new EvictionPlan(
                new PlanningState.Allocation(runner, accelerators),
                List.copyOf(victims),
                totalCost(List.copyOf(victims), costs)));
    }

    /** Returns the charges to evict from the accelerator, or null if evictions cannot free enough memory. */
    private static List<Charge> selectVictims(
            RunnerMemory runner, int accelerator, long neededMib, Map<Charge, Double> costs) {
        long usableMib = runner.usableMib(accelerator, true);
        List<Charge> victims = new ArrayList<>();
        if (usableMib >= neededMib) {
            return victims;
        }
        List<Charge> candidates = runner.charges().stream()
                .filter(charge ->
                        costs.containsKey(charge) && charge.accelerators().contains(accelerator))
                .sorted(Comparator.<Charge>comparingDouble(costs::get).thenComparing(Charge::orderId))
                .toList();
        for (Charge charge : candidates) {
            victims.add(charge);
            usableMib += charge.memoryMib();
            if (usableMib >= neededMib) {
                return victims;
            }
        }
        return null;
    }

    private boolean evictsAllReadyReplicas(Set<Charge> victims) {
        Map<String, Integer> taken = new HashMap<>();
        for (Charge charge : victims) {
            if (charge.state() == ChargeState.READY) {
                taken.merge(charge.model(), 1, Integer::sum);
            }
        }
        return taken.entrySet().stream()
                .anyMatch(e -> e.getValue() >= state.readyReplicaCount(e.getKey()) && e.getValue() > 1);
    }

    private static double totalCost(List<Charge> charges, Map<Charge, Double> costs) {
        return charges.stream().mapToDouble(costs::get).sum();
    }
}
