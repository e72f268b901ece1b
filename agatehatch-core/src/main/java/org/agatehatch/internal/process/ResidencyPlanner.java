package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import org.agatehatch.api.fleet.EngineSpec;
import org.agatehatch.api.fleet.ModelSpec;
import org.agatehatch.api.fleet.ResidencyOrder;

/**
 * Plans which runners load or unload which models. Each copy of a model has a value ({@link CopyValue}); a copy is loaded where
 * it is worth more than what has to make room for it and the move itself. Copies that are no longer needed go first. The last
 * copy of a model is compared by the demand over a longer time, so that rarely requested models do not displace each other. The
 * plan depends on the input only.
 */
public final class ResidencyPlanner {
    /**
     * Thresholds of the planner. Work is in milliseconds of runner time per second.
     *
     * @param workMillisPerCopy work that one copy serves in time; the rest of a runner's time is headroom for bursts
     * @param adapterSlotShare share of a runner's adapter slots that one of its models can expect to use
     * @param adapterReserveMb memory of a runner that is reserved for adapters
     * @param busyWorkMillis sustained work from which the last copy of a model is valued by its present demand
     * @param minGainMillis work that a further copy has to gain beyond what it displaces, for each second of its load
     * @param minAbsentGainMillis the same for the first copy of a model, in long-run demand
     * @param minGainRatio multiple of the displaced value that another copy of a model has to be worth
     * @param minLastCopyRatio multiple of the value of a displaced last copy that a copy has to be worth
     * @param minFreeGainMillis work that another copy has to gain where it displaces nothing
     * @param horizonSeconds time over which what a move gains is compared with what it costs
     * @param drainSeconds usual time until the last request of a model in use has ended, which an unload waits for
     * @param inUseWorkMillis work of a copy from which its model counts as in use
     * @param makeRoomMillis time that it takes to make room on another runner
     * @param loadLeadMillis time between the order to make room and the load, in which the weight store allows further loads
     */
    public record Settings(
            double workMillisPerCopy,
            double adapterSlotShare,
            double adapterReserveMb,
            double busyWorkMillis,
            double minGainMillis,
            double minAbsentGainMillis,
            double minGainRatio,
            double minLastCopyRatio,
            double minFreeGainMillis,
            double horizonSeconds,
            double drainSeconds,
            double inUseWorkMillis,
            long makeRoomMillis,
            long loadLeadMillis) {
        /** A move keeps a runner from other orders for about two seconds, in which some requests of its models are late. */
        public static final Settings DEFAULT =
                new Settings(700, 0.75, 530, 40, 10, 0.4, 1.3, 2, 3, 6, 2.5, 10, 1_000, 800);
    }

    /**
     * A runner of the service as the planner sees it.
     *
     * @param busy whether the runner executes an order, has one queued or announced, or its state is not known
     * @param busyForMillis expected time until the order in progress is done
     * @param reservedFor the model for which the runner makes room; empty if there is none
     * @param maySend whether an order may be sent now, since it leaves room for late orders
     */
    record Runner(
            String id,
            RunnerLedger ledger,
            boolean busy,
            long busyForMillis,
            String reservedFor,
            BiPredicate<ResidencyOrder, EngineSpec> maySend) {
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
     * @param expected demand that is expected when a move that begins now is done
     * @param recent demand over some seconds
     * @param sustained the part of the demand that has lasted for some seconds
     * @param longRun demand over the time after which a rarely requested model is requested again
     * @param activeAdapters number of adapters that requests have used recently
     */
    record WorkRate(double expected, double recent, double sustained, double longRun, int activeAdapters) {
        static final WorkRate NONE = new WorkRate(0, 0, 0, 0, 0);
    }

    /**
     * An order for a runner.
     *
     * @param makesRoomFor the model for which the order makes room; empty if the order is a load
     */
    record PlannedOrder(String runner, ResidencyOrder order, String makesRoomFor, String reason) {}

    /**
     * A way to add a copy of a model on a runner.
     *
     * @param net work that is gained until the horizon beyond what is lost
     */
    private record Move(Runner runner, String model, List<String> victims, double net) {}

    /** A model of which one more copy may be loaded, and what that copy is worth. */
    private record Candidate(String model, double gain, boolean absent) {}

    private final Settings settings;

    ResidencyPlanner(Settings settings) {
        this.settings = settings;
    }

    /**
     * Returns the orders to send now, at most one for each runner, the most valuable first.
     *
     * @param workByModel demand for each model
     * @param maxStoreLoads maximum number of loads from the weight store; loads of a runner's local copies are not limited
     * @param mayDisplace whether the demand has been seen for long enough to tell which copies are not needed
     */
    List<PlannedOrder> plan(
            EngineSpec engine,
            List<Runner> runners,
            Map<String, WorkRate> workByModel,
            int maxStoreLoads,
            boolean mayDisplace) {
        PlanningPass pass = new PlanningPass(engine, runners, workByModel, maxStoreLoads, mayDisplace);
        List<PlannedOrder> orders = new ArrayList<>(pass.ordersForReservedRunners());
        Optional<Move> move = pass.bestMove();
        while (move.isPresent()) {
            orders.add(pass.start(move.get()));
            move = pass.bestMove();
        }
        return orders;
    }

    /** Returns the memory that a model and its adapters need on a runner. */
    double neededMb(ModelSpec model) {
        return model.weightsMb() + settings.adapterReserveMb();
    }

    private final class PlanningPass {
        private final EngineSpec engine;
        private final List<Runner> runners;
        private final Map<String, WorkRate> workRates;
        private final Map<String, Integer> copies = new HashMap<>();
        private final Set<String> assignedRunners = new HashSet<>();
        private final Map<String, Double> losses = new HashMap<>();
        private final Map<String, Double> workByRunner = new HashMap<>();
        private final boolean mayDisplace;
        private int storeLoadsLeft;
        private double laterStoreLoadsLeft;

        private PlanningPass(
                EngineSpec engine,
                List<Runner> runners,
                Map<String, WorkRate> workRates,
                int maxStoreLoads,
                boolean mayDisplace) {
            this.mayDisplace = mayDisplace;
            this.storeLoadsLeft = maxStoreLoads;
            this.engine = engine;
            this.runners = runners;
            this.workRates = workRates;
            for (String model : engine.models().keySet()) {
                int count = (int) runners.stream()
                        .filter(runner -> runner.holdsOrReserves(model))
                        .count();
                copies.put(model, count);
            }
            long loadsToCome = runners.stream()
                    .filter(runner -> !runner.reservedFor().isEmpty()
                            && !runner.ledger().holdsOrLoads(runner.reservedFor())
                            && !runner.ledger().hasLocalCopy(runner.reservedFor()))
                    .count();
            laterStoreLoadsLeft = maxStoreLoads == 0
                    ? 0
                    : maxStoreLoads + engine.loadsPerSecond() * settings.loadLeadMillis() / 1_000 - loadsToCome;
        }

        private WorkRate rate(String model) {
            return workRates.getOrDefault(model, WorkRate.NONE);
        }

        private boolean isBusy(String model) {
            return rate(model).sustained() >= settings.busyWorkMillis();
        }

        private boolean isWanted(String model) {
            return Math.max(rate(model).expected(), rate(model).recent()) >= settings.busyWorkMillis();
        }

        private CopyValue value(String model, double workMillis) {
            double needForWork = workMillis / settings.workMillisPerCopy();
            double needForAdapters = engine.adapterSlots() == 0
                    ? 0
                    : rate(model).activeAdapters() / (engine.adapterSlots() * settings.adapterSlotShare());
            return new CopyValue(Math.max(needForWork, needForAdapters), workMillis);
        }

        /** Returns what one more copy of a model is worth. */
        private double gainOfNext(String model) {
            int present = copies.get(model);
            if (present > 0) {
                return value(model, rate(model).expected()).ofCopy(present + 1);
            }
            double workMillis = isBusy(model)
                    ? Math.max(rate(model).expected(), rate(model).recent())
                    : rate(model).longRun();
            return value(model, workMillis).ofCopy(1);
        }

        private void addCopies(String model, int number) {
            copies.merge(model, number, Integer::sum);
            losses.remove(model);
        }

        /** Returns what a model loses with its last counted copy. */
        private double lossOfLast(String model) {
            return losses.computeIfAbsent(model, this::computeLossOfLast);
        }

        private double computeLossOfLast(String model) {
            int present = copies.get(model);
            if (present > 1) {
                return value(model, rate(model).expected()).ofCopy(present);
            }
            // Requests for a model without a copy wait for a second of its load at most.
            double lostSeconds = Math.max(1, engine.models().get(model).loadSeconds() - 1);
            return lostSeconds
                    * value(model, Math.max(rate(model).recent(), rate(model).longRun()))
                            .ofCopy(1);
        }

        private double neededMb(String model) {
            return ResidencyPlanner.this.neededMb(engine.models().get(model));
        }

        private boolean hasRoom(Runner runner, double neededMb) {
            return runner.ledger().freeMb(engine) >= neededMb;
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
                    if (mayLoad(runner, model, storeLoadsLeft) && maySendLoad(runner, model)) {
                        orders.add(load(runner, model));
                    }
                    continue;
                }
                victims(runner, model, gainOfNext(model))
                        .filter(victims -> maySendUnload(runner, victims.get(0)))
                        .ifPresent(victims -> orders.add(unload(runner, victims.get(0), model)));
            }
            return orders;
        }

        /** Returns the most valuable move that is worth its price; empty if there is none. */
        private Optional<Move> bestMove() {
            Move best = null;
            for (Candidate candidate : candidates()) {
                if (best != null && candidate.gain() * settings.horizonSeconds() <= best.net()) {
                    break;
                }
                Optional<Move> move = bestMove(candidate.model(), candidate.gain(), candidate.absent());
                if (move.isPresent() && (best == null || move.get().net() > best.net())) {
                    best = move.get();
                }
            }
            return Optional.ofNullable(best);
        }

        /** Returns the models that another copy may be worth its place for, by gain, highest first. */
        private List<Candidate> candidates() {
            return engine.models().keySet().stream()
                    .map(model -> new Candidate(model, gainOfNext(model), copies.get(model) == 0))
                    .filter(candidate -> candidate.absent() || candidate.gain() >= settings.minFreeGainMillis())
                    .sorted(Comparator.comparingDouble(Candidate::gain)
                            .reversed()
                            .thenComparing(Candidate::model))
                    .toList();
        }

        private Optional<Move> bestMove(String model, double gain, boolean absent) {
            double highest = gain * settings.horizonSeconds();
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
            for (Runner runner : eligible) {
                if (hasRoom(runner, neededMb(model))
                        && mayLoad(runner, model, storeLoadsLeft)
                        && maySendLoad(runner, model)
                        && isWorthLoading(runner, model)) {
                    return Optional.of(new Move(runner, model, List.of(), highest));
                }
            }
            return !mayDisplace || roomComesSoon(model)
                    ? Optional.empty()
                    : moveWithVictims(eligible, model, gain, absent);
        }

        /** A runner accepts no adapter orders while it loads a model, so idle models are not loaded on busy runners. */
        private boolean isWorthLoading(Runner runner, String model) {
            return rate(model).longRun() > 0 || workOn(runner) <= settings.workMillisPerCopy() / 2;
        }

        /** Returns whether a runner with room executes another order and can load the model afterwards. */
        private boolean roomComesSoon(String model) {
            return runners.stream()
                    .anyMatch(runner -> runner.busy()
                            && (!isWanted(model) || runner.busyForMillis() <= settings.makeRoomMillis())
                            && runner.accepts(model)
                            && hasRoom(runner, neededMb(model))
                            && !runner.holdsOrReserves(model));
        }

        private Optional<Move> moveWithVictims(List<Runner> eligible, String model, double gain, boolean absent) {
            Move best = null;
            for (Runner runner : eligible) {
                if (!mayLoad(runner, model, laterStoreLoadsLeft)) {
                    continue;
                }
                Optional<List<String>> victims =
                        victims(runner, model, gain).filter(found -> maySendUnload(runner, found.get(0)));
                if (victims.isEmpty() || !isWorth(victims.get(), gain, absent, loadSeconds(runner, model))) {
                    continue;
                }
                double net = gain * (settings.horizonSeconds() - loadSeconds(runner, model))
                        - victims.get().stream()
                                .mapToDouble(victim -> priceOf(victim, gain))
                                .sum();
                boolean better = best == null || net > best.net();
                best = better ? new Move(runner, model, victims.get(), net) : best;
            }
            return Optional.ofNullable(best);
        }

        /** Returns what it costs until the horizon to displace a model: its own loss, and the gain that its drain delays. */
        private double priceOf(String victim, double gain) {
            boolean inUse = rate(victim).recent() / Math.max(1, copies.get(victim)) >= settings.inUseWorkMillis();
            return lossOfLast(victim) * settings.horizonSeconds() + (inUse ? gain * settings.drainSeconds() : 0);
        }

        private double loadSeconds(Runner runner, String model) {
            ModelSpec spec = engine.models().get(model);
            return runner.ledger().hasLocalCopy(model) ? spec.diskSeconds() : spec.loadSeconds();
        }

        /** A load takes a share of the weight store and keeps its runner from adapter orders, the longer the more. */
        private boolean isWorth(List<String> victims, double gain, boolean absent, double loadSeconds) {
            double loss = 0;
            double required = 0;
            for (String victim : victims) {
                boolean last = copies.get(victim) < 2;
                loss += lossOfLast(victim);
                required += lossOfLast(victim) * (last ? settings.minLastCopyRatio() : settings.minGainRatio());
            }
            double price = (absent ? settings.minAbsentGainMillis() : settings.minGainMillis()) * loadSeconds;
            return gain - loss >= price && gain > required;
        }

        private boolean mayLoad(Runner runner, String model, double storeLoads) {
            return runner.ledger().hasLocalCopy(model) || storeLoads >= 1;
        }

        private boolean maySendLoad(Runner runner, String model) {
            return runner.maySend().test(new ResidencyOrder(ResidencyOrder.Action.LOAD, model, ""), engine);
        }

        private boolean maySendUnload(Runner runner, String model) {
            return runner.maySend().test(new ResidencyOrder(ResidencyOrder.Action.UNLOAD, model, ""), engine);
        }

        /** Returns models whose unload makes room, lowest price first; empty if not enough room can be made. */
        private Optional<List<String>> victims(Runner runner, String model, double gain) {
            List<String> candidates = runner.ledger().models().stream()
                    .filter(victim -> !victim.equals(model)
                            && engine.models().containsKey(victim)
                            && runner.ledger().serves(victim))
                    .sorted(Comparator.comparingDouble((String victim) -> priceOf(victim, gain))
                            .thenComparing(Comparator.naturalOrder()))
                    .toList();
            double freeMb = runner.ledger().freeMb(engine);
            List<String> victims = new ArrayList<>();
            for (String candidate : candidates) {
                if (freeMb >= neededMb(model)) {
                    break;
                }
                victims.add(candidate);
                freeMb += engine.models().get(candidate).weightsMb();
            }
            return freeMb >= neededMb(model) && !victims.isEmpty() ? Optional.of(victims) : Optional.empty();
        }

        private PlannedOrder start(Move move) {
            if (move.victims().isEmpty()) {
                return load(move.runner(), move.model());
            }
            if (!move.runner().ledger().hasLocalCopy(move.model())) {
                laterStoreLoadsLeft--;
            }
            addCopies(move.model(), 1);
            return unload(move.runner(), move.victims().get(0), move.model());
        }

        private PlannedOrder load(Runner runner, String model) {
            if (!runner.ledger().hasLocalCopy(model)) {
                storeLoadsLeft--;
                laterStoreLoadsLeft--;
            }
            assignedRunners.add(runner.id());
            if (!runner.reservedFor().equals(model)) {
                addCopies(model, 1);
            }
            String reason = String.format(
                    Locale.ROOT,
                    "work_ms=%.0f copies=%d needed=%.2f",
                    rate(model).expected(),
                    copies.get(model),
                    value(model, rate(model).expected()).needCopies());
            return new PlannedOrder(runner.id(), new ResidencyOrder(ResidencyOrder.Action.LOAD, model, ""), "", reason);
        }

        private PlannedOrder unload(Runner runner, String victim, String beneficiary) {
            assignedRunners.add(runner.id());
            double loss = lossOfLast(victim);
            addCopies(victim, -1);
            String reason = String.format(
                    Locale.ROOT,
                    "room_for=%s work_ms=%.0f loss_ms=%.1f copies_left=%d",
                    beneficiary,
                    rate(victim).expected(),
                    loss,
                    copies.get(victim));
            ResidencyOrder order = new ResidencyOrder(ResidencyOrder.Action.UNLOAD, victim, "");
            return new PlannedOrder(runner.id(), order, beneficiary, reason);
        }

        private double workOn(Runner runner) {
            return workByRunner.computeIfAbsent(runner.id(), id -> computeWorkOn(runner));
        }

        private double computeWorkOn(Runner runner) {
            double sum = 0;
            for (String model : runner.ledger().models()) {
                sum += rate(model).expected() / Math.max(1, copies.getOrDefault(model, 1));
            }
            return sum;
        }
    }
}
