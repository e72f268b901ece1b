package org.agatehatch.internal.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongFunction;
import org.agatehatch.api.fleet.EngineSpec;
import org.agatehatch.api.fleet.ModelSpec;
import org.agatehatch.api.fleet.ResidencyOrder;
import org.agatehatch.api.fleet.ResidentModel;
import org.agatehatch.api.fleet.RunnerReport;
import org.agatehatch.api.fleet.ServerEntry;

/**
 * The placement holder's record of one runner: its resident models and adapters, and the orders in progress. A report is used
 * only if it covers all orders that this node knows to be accepted. Memory is charged from the moment at which the runner
 * accepts an order until a report shows that the order had no effect.
 */
final class RunnerLedger {
    /** Adapters by model, including models that are being loaded or unloaded. */
    private final Map<String, Set<String>> held = new HashMap<>();

    private final Set<String> loading = new HashSet<>();
    private final Set<String> unloading = new HashSet<>();
    /** Local copies that the newest entry names. Runners evict the oldest ones. */
    private Set<String> listedCopies = Set.of();

    private final long startedAtMillis;
    private long ordersAccepted;
    private boolean isKnown;
    private boolean busy;
    private long busyUntilMillis;

    /** Starts with the models of the runner's entry, which may be out of date, so that {@link #isKnown} is false. */
    RunnerLedger(ServerEntry entry) {
        this.startedAtMillis = entry.startedAtMillis();
        entry.models().forEach(model -> held.put(model.name(), new HashSet<>(model.adapters())));
        onEntry(entry);
    }

    long startedAtMillis() {
        return startedAtMillis;
    }

    /** Returns the number of orders that the runner has accepted; a lower bound while the state is not known. */
    long ordersAccepted() {
        return ordersAccepted;
    }

    boolean isKnown() {
        return isKnown;
    }

    /** Replaces the runner's local copies. Resident models come from reports only, because reports count the accepted orders. */
    void onEntry(ServerEntry entry) {
        listedCopies = entry.locallyCachedModels();
    }

    /**
     * Corrects the count of accepted orders, which is too high if a late copy of a reply was taken for the reply to a later order:
     * replies carry nothing that identifies their order.
     */
    void resetOrdersAccepted(long count) {
        ordersAccepted = count;
        isKnown = false;
    }

    /** Applies a report unless it is older than an accepted order, and returns whether it was applied. */
    boolean onReport(RunnerReport report) {
        if (report.ordersAccepted() < ordersAccepted) {
            return false;
        }
        ordersAccepted = report.ordersAccepted();
        isKnown = true;
        reconcile(report.models(), report.busy());
        for (String arriving : report.loadingAdapters()) {
            int slash = arriving.indexOf('/');
            if (slash > 0) {
                held.computeIfAbsent(arriving.substring(0, slash), model -> new HashSet<>())
                        .add(arriving.substring(slash + 1));
            }
        }
        return true;
    }

    private void reconcile(Iterable<ResidentModel> models, boolean nowBusy) {
        busy = nowBusy;
        Set<String> loadingBefore = new HashSet<>(loading);
        held.clear();
        for (ResidentModel model : models) {
            held.put(model.name(), new HashSet<>(model.adapters()));
            loading.remove(model.name());
        }
        if (!nowBusy) {
            loading.clear();
            unloading.clear();
            return;
        }
        // A report does not list a model that is being loaded, but the model's memory is allocated.
        loadingBefore.forEach(model -> held.computeIfAbsent(model, name -> new HashSet<>()));
    }

    /** Records that the runner accepted an order. */
    void onAccepted(ResidencyOrder order, long expectedDoneMillis) {
        ordersAccepted++;
        if (!order.forAdapter()) {
            // A runner accepts an order for a model once the one before is carried out.
            held.keySet().removeAll(unloading);
            unloading.clear();
        }
        apply(order);
        // An adapter in use is unloaded after its last request; until then the runner accepts no other order.
        if (!order.forAdapter() || order.action() == ResidencyOrder.Action.UNLOAD) {
            busy = true;
            busyUntilMillis = expectedDoneMillis;
        }
    }

    /** Records that it is not known which orders the runner has accepted, so that a report is needed. */
    void markUnknown() {
        isKnown = false;
    }

    /** Records that the requested state is reached: an unused adapter is unloaded at once and counts as an order. */
    void onAlreadyDone(ResidencyOrder order) {
        boolean alreadyUnloaded = order.action() == ResidencyOrder.Action.UNLOAD
                && order.forAdapter()
                && adapters(order.model()).contains(order.adapter());
        if (alreadyUnloaded) {
            ordersAccepted++;
            apply(order);
        } else {
            isKnown = false;
        }
    }

    private void apply(ResidencyOrder order) {
        boolean load = order.action() == ResidencyOrder.Action.LOAD;
        if (order.forAdapter()) {
            Set<String> adapters = held.computeIfAbsent(order.model(), model -> new HashSet<>());
            if (load) {
                adapters.add(order.adapter());
            } else {
                adapters.remove(order.adapter());
            }
            return;
        }
        if (load) {
            held.computeIfAbsent(order.model(), model -> new HashSet<>());
            loading.add(order.model());
        } else {
            unloading.add(order.model());
        }
    }

    boolean busy() {
        return busy;
    }

    /** Returns the time at which the order in progress should be done. */
    long busyUntilMillis() {
        return busyUntilMillis;
    }

    /** Returns whether the runner can serve requests for a model. */
    boolean serves(String model) {
        return held.containsKey(model) && !loading.contains(model) && !unloading.contains(model);
    }

    /** Returns whether a model is loaded or being loaded, and not being unloaded. */
    boolean holdsOrLoads(String model) {
        return held.containsKey(model) && !unloading.contains(model);
    }

    boolean hasLocalCopy(String model) {
        return listedCopies.contains(model) || held.containsKey(model);
    }

    boolean holdsAdapter(String model, String adapter) {
        return serves(model) && held.get(model).contains(adapter);
    }

    Set<String> models() {
        return Set.copyOf(held.keySet());
    }

    Set<String> adapters(String model) {
        return Set.copyOf(held.getOrDefault(model, Set.of()));
    }

    int adapterCount() {
        return held.values().stream().mapToInt(Set::size).sum();
    }

    /** Returns the memory that is neither used nor charged to orders; 0 if the runner holds a model of unknown size. */
    double freeMb(EngineSpec engine) {
        double used = 0;
        for (Map.Entry<String, Set<String>> entry : held.entrySet()) {
            ModelSpec model = engine.models().get(entry.getKey());
            if (model == null) {
                // The size of a model that the configuration no longer contains is not known.
                return 0;
            }
            used += model.weightsMb() + entry.getValue().size() * model.adapterMb();
        }
        return engine.weightsMb() - used;
    }

    /** Returns the free memory once the unload in progress is carried out. */
    double freeMbAfterUnload(EngineSpec engine) {
        double unloadingMb = 0;
        for (String name : unloading) {
            ModelSpec model = engine.models().get(name);
            unloadingMb += model == null || !held.containsKey(name)
                    ? 0
                    : model.weightsMb() + held.get(name).size() * model.adapterMb();
        }
        return freeMb(engine) + unloadingMb;
    }

    /**
     * Returns whether the runner keeps room for the late orders that it may execute right after an order. The given function
     * returns the unanswered orders that a runner may execute at a count of accepted orders. Each of them that is executed raises
     * the count, and makes those possible that expect the next one.
     */
    boolean leavesRoomForLateOrders(
            ResidencyOrder order, EngineSpec engine, LongFunction<List<ResidencyOrder>> lateOrdersAt) {
        long count = ordersAccepted + 1;
        List<ResidencyOrder> late = lateOrdersAt.apply(count);
        if (late.isEmpty()) {
            return true;
        }
        Room room = roomAfter(order, engine);
        while (!late.isEmpty()) {
            room = room.minus(largestNeed(late, order, engine));
            count++;
            late = lateOrdersAt.apply(count);
        }
        return room.memoryMb() >= 0 && room.adapterSlots() >= 0;
    }

    /** Memory and adapter slots of a runner. */
    private record Room(double memoryMb, int adapterSlots) {
        private static final Room NONE = new Room(0, 0);

        private Room minus(Room other) {
            return new Room(memoryMb - other.memoryMb, adapterSlots - other.adapterSlots);
        }

        private Room max(Room other) {
            return new Room(Math.max(memoryMb, other.memoryMb), Math.max(adapterSlots, other.adapterSlots));
        }
    }

    /** Returns the room that is left once an order is executed; the runner executes it after the unload in progress. */
    private Room roomAfter(ResidencyOrder order, EngineSpec engine) {
        Room room = new Room(freeMbAfterUnload(engine), engine.adapterSlots() - adapterCountAfterUnload());
        if (order.action() == ResidencyOrder.Action.LOAD) {
            return room.minus(needOf(order, engine));
        }
        ModelSpec model = engine.models().get(order.model());
        boolean isHeld = held.containsKey(order.model()) && !unloading.contains(order.model());
        if (model == null || !isHeld) {
            return room;
        }
        int adapters = order.forAdapter() ? 1 : held.get(order.model()).size();
        double weightsMb = order.forAdapter() ? 0 : model.weightsMb();
        return room.minus(new Room(-weightsMb - adapters * model.adapterMb(), -adapters));
    }

    private int adapterCountAfterUnload() {
        return held.entrySet().stream()
                .filter(entry -> !unloading.contains(entry.getKey()))
                .mapToInt(entry -> entry.getValue().size())
                .sum();
    }

    /** Returns what the largest of some late orders needs; the runner executes one of them at most. */
    private Room largestNeed(List<ResidencyOrder> late, ResidencyOrder before, EngineSpec engine) {
        return late.stream()
                .filter(order -> order.action() == ResidencyOrder.Action.LOAD && !order.equals(before))
                .map(order -> isUndoneBy(order, before) ? sizeOf(order, engine) : needOf(order, engine))
                .reduce(Room.NONE, Room::max);
    }

    /** Returns whether an unload removes what a load brings. */
    private static boolean isUndoneBy(ResidencyOrder load, ResidencyOrder before) {
        boolean sameTarget = !before.forAdapter() || before.adapter().equals(load.adapter());
        return before.action() == ResidencyOrder.Action.UNLOAD && before.model().equals(load.model()) && sameTarget;
    }

    /** Returns what a load needs beyond what the runner holds. */
    private Room needOf(ResidencyOrder load, EngineSpec engine) {
        boolean isHeld = load.forAdapter()
                ? holdsAdapter(load.model(), load.adapter())
                : held.containsKey(load.model()) && !unloading.contains(load.model());
        return isHeld ? Room.NONE : sizeOf(load, engine);
    }

    /** Returns what a model or adapter takes; all memory for a model of unknown size. */
    private static Room sizeOf(ResidencyOrder load, EngineSpec engine) {
        ModelSpec model = engine.models().get(load.model());
        if (model == null) {
            return new Room(engine.weightsMb(), load.forAdapter() ? 1 : 0);
        }
        return load.forAdapter() ? new Room(model.adapterMb(), 1) : new Room(model.weightsMb(), 0);
    }

    /** Returns whether the runner has enough memory and adapter slots for an order. */
    boolean fits(ResidencyOrder order, EngineSpec engine) {
        ModelSpec model = engine.models().get(order.model());
        if (order.action() == ResidencyOrder.Action.UNLOAD) {
            return true;
        }
        if (model == null) {
            return false;
        }
        if (order.forAdapter()) {
            return adapterCount() < engine.adapterSlots() && freeMb(engine) >= model.adapterMb();
        }
        return held.containsKey(order.model()) || freeMb(engine) >= model.weightsMb();
    }
}
