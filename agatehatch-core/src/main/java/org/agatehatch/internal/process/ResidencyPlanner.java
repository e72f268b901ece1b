package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.agatehatch.api.fleet.EngineSpec;
import org.agatehatch.api.fleet.ResidencyOrder;

/**
 * Plans which runners load or unload which models. A model gets replicas in proportion to its demand, and each model keeps
 * at least one replica while there is room. The last replica of an idle model may be unloaded for a model under pressure; its
 * runner keeps a local copy of the weights and loads it again within a second. The plan depends on the input only.
 */
public final class ResidencyPlanner {
    /**
     * Thresholds of the planner. Work is in milliseconds of runner time per second.
     *
     * @param workMillisPerRunner work for which a model gets one more replica
     * @param surplusFactor fraction of {@code workMillisPerRunner} that each remaining replica's work must not exceed for a
     *     replica to count as surplus
     * @param adapterReserveMb memory of a runner that is reserved for adapters
     * @param activeWorkMillis work from which a model counts as requested
     * @param idleWorkMillis work up to which a model counts as idle
     * @param missingCopyPenaltyMillis cost in work of making room on a runner without a local copy of the weights
     * @param pressureFactor multiple of {@code workMillisPerRunner} per replica above which a model may displace the last
     *     replica of an idle one
     * @param busyWorkMillis work from which a model may displace the last replicas of models up to {@code idleWorkMillis};
     *     below it, only of models up to {@code residualWorkMillis}
     * @param residualWorkMillis work rate that remains of one request after about 15 s
     * @param makeRoomMillis time that it takes to make room on another runner
     */
    public record Settings(
            double workMillisPerRunner,
            double surplusFactor,
            double adapterReserveMb,
            double activeWorkMillis,
            double idleWorkMillis,
            double missingCopyPenaltyMillis,
            double pressureFactor,
            double busyWorkMillis,
            double residualWorkMillis,
            long makeRoomMillis) {
        /**
         * Work is an estimate of prompt and output time; a runner with 900 ms of it per second queues requests for
         * seconds.
         */
        public static final Settings DEFAULT = new Settings(420, 0.5, 530, 0.5, 3, 150, 2.6, 40, 0.4, 1_000);
    }

    /**
     * A runner of the service as the planner sees it.
     *
     * @param busy whether the runner executes an order, has one queued or announced, or its state is not known
     * @param busyForMillis expected time until the order in progress is done
     * @param reservedFor the model for which the runner makes room; empty if there is none
     */
    record Runner(String id, RunnerLedger ledger, boolean busy, long busyForMillis, String reservedFor) {
        private boolean accepts(String model) {
            return reservedFor.isEmpty() || reservedFor.equals(model);
        }

        private boolean holdsOrReserves(String model) {
            return ledger.holdsOrLoads(model) || reservedFor.equals(model);
        }
    }

    /**
     * Demand for a model, in milliseconds of runner time per second.
     *
     * @param sustained the part of the demand that has lasted for some seconds
     */
    record WorkRate(double current, double sustained) {
        static final WorkRate NONE = new WorkRate(0, 0);
    }

    /**
     * An order for a runner.
     *
     * @param makesRoomFor the model for which the order makes room; empty if the order is a load
     */
    record PlannedOrder(String runner, ResidencyOrder order, String makesRoomFor, String reason) {}

    private final Settings settings;

    ResidencyPlanner(Settings settings) {
        this.settings = settings;
    }

    /**
     * Returns the orders to send now, at most one for each runner.
     *
     * @param workByModel demand for each model
     * @param maxStoreLoads maximum number of loads from the weight store; loads of a runner's local copies are not limited
     */
    List<PlannedOrder> plan(
            EngineSpec engine, List<Runner> runners, Map<String, WorkRate> workByModel, int maxStoreLoads) {
        PlanningPass pass = new PlanningPass(engine, runners, workByModel, maxStoreLoads);
        List<PlannedOrder> orders = new ArrayList<>(pass.ordersForReservedRunners());
        for (String model : pass.underReplicatedModels()) {
            Optional<PlannedOrder> order = pass.orderFor(model);
            while (order.isPresent()) {
                orders.add(order.get());
                order = pass.isUnderReplicated(model) ? pass.orderFor(model) : Optional.empty();
            }
        }
        return orders;
    }

    private final class PlanningPass {
        private final EngineSpec engine;
        private final List<Runner> runners;
        private final Map<String, WorkRate> workRates;
        private final Map<String, Integer> replicas = new HashMap<>();
        private final Set<String> assignedRunners = new HashSet<>();
        private int storeLoadsLeft;

        private PlanningPass(
                EngineSpec engine, List<Runner> runners, Map<String, WorkRate> workRates, int maxStoreLoads) {
            this.storeLoadsLeft = maxStoreLoads;
            this.engine = engine;
            this.runners = runners;
            this.workRates = workRates;
            for (String model : engine.models().keySet()) {
                int count = (int) runners.stream()
                        .filter(runner -> runner.holdsOrReserves(model))
                        .count();
                replicas.put(model, count);
            }
        }

        private int desiredReplicas(String model) {
            double desired = Math.ceil(workOf(model) / settings.workMillisPerRunner());
            return (int) Math.max(1, Math.min(desired, runners.size()));
        }

        private double workOf(String model) {
            return workRates.getOrDefault(model, WorkRate.NONE).current();
        }

        /** Returns models with too few replicas: requested ones without any first, then by work per replica, highest first. */
        private List<String> underReplicatedModels() {
            Comparator<String> byNeed = Comparator.comparing(
                            (String model) -> replicas.get(model) > 0 || workOf(model) < settings.activeWorkMillis())
                    .thenComparing(Comparator.comparingDouble(
                                    (String model) -> workOf(model) / Math.max(1, replicas.get(model)))
                            .reversed())
                    .thenComparing(Comparator.naturalOrder());
            return engine.models().keySet().stream()
                    .filter(this::isUnderReplicated)
                    .sorted(byNeed)
                    .toList();
        }

        private boolean isUnderReplicated(String model) {
            return replicas.get(model) < desiredReplicas(model);
        }

        /** Returns the next order for each reserved runner: the load if there is room by now, otherwise the next unload. */
        private List<PlannedOrder> ordersForReservedRunners() {
            List<PlannedOrder> orders = new ArrayList<>();
            for (Runner runner : runners) {
                String model = runner.reservedFor();
                boolean actionable = !model.isEmpty()
                        && engine.models().containsKey(model)
                        && !runner.busy()
                        && !runner.ledger().holdsOrLoads(model);
                if (!actionable) {
                    continue;
                }
                if (hasRoom(runner, neededMb(model))) {
                    planLoad(runner, model).ifPresent(orders::add);
                    continue;
                }
                // The reserved runner counts as a replica but does not serve the model yet, so it does not lower the
                // pressure on the replicas that do.
                replicas.merge(model, -1, Integer::sum);
                List<String> victims = victims(runner, model, neededMb(model));
                replicas.merge(model, 1, Integer::sum);
                if (!victims.isEmpty()) {
                    orders.add(planUnload(runner, victims.get(0), model));
                }
            }
            return orders;
        }

        private double neededMb(String model) {
            return engine.models().get(model).weightsMb() + settings.adapterReserveMb();
        }

        private Optional<PlannedOrder> orderFor(String model) {
            List<Runner> eligible = runners.stream()
                    .filter(runner -> !runner.busy()
                            && !assignedRunners.contains(runner.id())
                            && runner.accepts(model)
                            && !runner.ledger().holdsOrLoads(model))
                    .sorted(Comparator.comparing(
                                    (Runner runner) -> !runner.ledger().hasLocalCopy(model))
                            .thenComparingDouble(this::workOn)
                            .thenComparing(Runner::id))
                    .toList();
            double neededMb = neededMb(model);
            for (Runner runner : eligible) {
                if (hasRoom(runner, neededMb) && isWorthLoading(runner, model)) {
                    return planLoad(runner, model);
                }
            }
            // A busy runner with room can load the model when it is done. If that is soon, or the model can wait,
            // displacing
            // another model would gain nothing.
            boolean roomSoon = runners.stream()
                    .anyMatch(runner -> runner.busy()
                            && (!isBusy(model) || runner.busyForMillis() <= settings.makeRoomMillis())
                            && runner.accepts(model)
                            && hasRoom(runner, neededMb)
                            && !runner.holdsOrReserves(model));
            boolean active = workOf(model) >= settings.activeWorkMillis();
            return !roomSoon && (active || replicas.get(model) == 0)
                    ? makeRoom(eligible, model, neededMb)
                    : Optional.empty();
        }

        /** A runner accepts no adapter orders while it loads a model, so idle models are not loaded on busy runners. */
        private boolean isWorthLoading(Runner runner, String model) {
            return workOf(model) >= settings.activeWorkMillis() || workOn(runner) <= settings.workMillisPerRunner() / 2;
        }

        private boolean hasRoom(Runner runner, double neededMb) {
            return runner.ledger().freeMb(engine) >= neededMb;
        }

        private Optional<PlannedOrder> planLoad(Runner runner, String model) {
            if (!runner.ledger().hasLocalCopy(model)) {
                if (storeLoadsLeft <= 0) {
                    return Optional.empty();
                }
                storeLoadsLeft--;
            }
            assignedRunners.add(runner.id());
            if (!runner.reservedFor().equals(model)) {
                replicas.merge(model, 1, Integer::sum);
            }
            String reason = "work_ms=" + Math.round(workOf(model)) + " runners=" + replicas.get(model) + " wanted="
                    + desiredReplicas(model);
            return Optional.of(new PlannedOrder(
                    runner.id(), new ResidencyOrder(ResidencyOrder.Action.LOAD, model, ""), "", reason));
        }

        /** Returns the first unload on the runner where making room costs least. */
        private Optional<PlannedOrder> makeRoom(List<Runner> eligible, String model, double neededMb) {
            Runner best = null;
            List<String> bestVictims = List.of();
            double lowestCost = Double.POSITIVE_INFINITY;
            boolean active = workOf(model) >= settings.activeWorkMillis();
            for (Runner runner : eligible) {
                if (!active && !runner.ledger().hasLocalCopy(model)) {
                    continue;
                }
                List<String> victims = victims(runner, model, neededMb);
                double copyPenalty = runner.ledger().hasLocalCopy(model) ? 0 : settings.missingCopyPenaltyMillis();
                double cost = copyPenalty
                        + victims.stream().mapToDouble(this::unloadCost).sum();
                if (!victims.isEmpty() && cost < lowestCost) {
                    best = runner;
                    bestVictims = victims;
                    lowestCost = cost;
                }
            }
            if (best == null || (storeLoadsLeft <= 0 && !best.ledger().hasLocalCopy(model))) {
                return Optional.empty();
            }
            replicas.merge(model, 1, Integer::sum);
            return Optional.of(planUnload(best, bestVictims.get(0), model));
        }

        /** Returns models to unload, lowest cost first; empty if there is room already or not enough can be made. */
        private List<String> victims(Runner runner, String model, double neededMb) {
            List<String> candidates = runner.ledger().models().stream()
                    .filter(victim -> engine.models().containsKey(victim)
                            && runner.ledger().serves(victim)
                            && mayUnload(victim, model))
                    .sorted(Comparator.comparingDouble(this::unloadCost).thenComparing(Comparator.naturalOrder()))
                    .toList();
            double freeMb = runner.ledger().freeMb(engine);
            List<String> victims = new ArrayList<>();
            for (String candidate : candidates) {
                if (freeMb >= neededMb) {
                    break;
                }
                victims.add(candidate);
                freeMb += engine.models().get(candidate).weightsMb();
            }
            return freeMb >= neededMb ? victims : List.of();
        }

        private PlannedOrder planUnload(Runner runner, String victim, String beneficiary) {
            assignedRunners.add(runner.id());
            replicas.merge(victim, -1, Integer::sum);
            String reason = "room_for=" + beneficiary + " work_ms=" + Math.round(workOf(victim)) + " runners_left="
                    + replicas.get(victim);
            ResidencyOrder order = new ResidencyOrder(ResidencyOrder.Action.UNLOAD, victim, "");
            return new PlannedOrder(runner.id(), order, beneficiary, reason);
        }

        /** Returns the work per remaining replica after an unload; the last replica costs half of the work per runner. */
        private double unloadCost(String model) {
            int remaining = replicas.getOrDefault(model, 0) - 1;
            return remaining < 1 ? settings.workMillisPerRunner() / 2 : workOf(model) / remaining;
        }

        private boolean mayUnload(String victim, String beneficiary) {
            if (victim.equals(beneficiary)) {
                return false;
            }
            if (replicas.getOrDefault(victim, 0) < 2) {
                // The lower limit stops rarely requested models from displacing each other before their next requests.
                double maxIdleWorkMillis =
                        isBusy(beneficiary) ? settings.idleWorkMillis() : settings.residualWorkMillis();
                return isUnderPressure(beneficiary) && workOf(victim) <= maxIdleWorkMillis;
            }
            if (workOf(beneficiary) < settings.activeWorkMillis()) {
                return unloadCost(victim) <= settings.idleWorkMillis();
            }
            boolean surplus = unloadCost(victim) <= settings.workMillisPerRunner() * settings.surplusFactor();
            // A model without a replica may take one from a model that keeps others, if its demand is higher than the
            // cost.
            return surplus || (replicas.get(beneficiary) == 0 && unloadCost(victim) < workOf(beneficiary));
        }

        private boolean isBusy(String model) {
            return workOf(model) >= settings.busyWorkMillis();
        }

        private boolean isUnderPressure(String model) {
            return (replicas.get(model) == 0 && workOf(model) >= settings.activeWorkMillis())
                    || workRates.getOrDefault(model, WorkRate.NONE).sustained() / replicas.get(model)
                            > settings.workMillisPerRunner() * settings.pressureFactor();
        }

        private double workOn(Runner runner) {
            double sum = 0;
            for (String model : runner.ledger().models()) {
                sum += workOf(model) / Math.max(1, replicas.getOrDefault(model, 1));
            }
            return sum;
        }
    }
}
