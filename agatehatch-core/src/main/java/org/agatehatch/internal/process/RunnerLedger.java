package org.agatehatch.internal.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.agatehatch.api.fleet.EngineSpec;
import org.agatehatch.api.fleet.ModelSpec;
import org.agatehatch.api.fleet.ResidencyOrder;
import org.agatehatch.api.fleet.ResidentModel;
import org.agatehatch.api.fleet.RunnerReport;
import org.agatehatch.api.fleet.ServerEntry;

/**
 * What one runner holds and has been promised, as the node that gives it orders reckons. A report counts only if it has seen
 * as many orders as this node knows to be accepted. Memory is charged from the moment an order is sent until a
 * report shows that it had no effect.
 */
final class RunnerLedger {
    /** Model names with the adapters held of each. */
    private final Map<String, Set<String>> held = new HashMap<>();

    private final Set<String> loading = new HashSet<>();
    private final Set<String> unloading = new HashSet<>();
    private final Set<String> localCopies = new HashSet<>();
    private final long startedAtMillis;
    private long ordersAccepted;
    private boolean isKnown;
    private boolean busy;
    private long busyUntilMillis;

    /** Starts with what the runner's entry says, which is not known to be the present state. */
    RunnerLedger(ServerEntry entry) {
        this.startedAtMillis = entry.startedAtMillis();
        entry.models().forEach(model -> held.put(model.name(), new HashSet<>(model.adapters())));
        onEntry(entry);
    }

    long startedAtMillis() {
        return startedAtMillis;
    }

    /** Returns the number of orders that the runner has accepted, or at least so many while it is not known. */
    long ordersAccepted() {
        return ordersAccepted;
    }

    boolean isKnown() {
        return isKnown;
    }

    /** Takes over which weights a runner has at hand. What it holds is told by reports, which count its orders. */
    void onEntry(ServerEntry entry) {
        localCopies.addAll(entry.locallyCachedModels());
    }

    /** Takes over a report and returns whether it was young enough. */
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
        // A model on its way is not listed before it is there, but its memory is taken.
        loadingBefore.forEach(model -> held.computeIfAbsent(model, name -> new HashSet<>()));
    }

    /** Notes that an order was accepted. */
    void onAccepted(ResidencyOrder order, long expectedDoneMillis) {
        ordersAccepted++;
        apply(order);
        // An adapter in use is dropped after its last request, and until then the runner takes no other order.
        if (!order.forAdapter() || order.action() == ResidencyOrder.Action.UNLOAD) {
            busy = true;
            busyUntilMillis = expectedDoneMillis;
        }
    }

    /** Notes that it is no longer known which orders the runner has accepted. */
    void markUnknown() {
        isKnown = false;
    }

    /** Notes that the runner said of an order that it holds already: an unused adapter is dropped at once. */
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
            localCopies.add(order.model());
        } else {
            unloading.add(order.model());
        }
    }

    boolean busy() {
        return busy;
    }

    /** Returns when the order in progress should be done. */
    long busyUntilMillis() {
        return busyUntilMillis;
    }

    /** Returns whether requests for a model can be served. */
    boolean serves(String model) {
        return held.containsKey(model) && !loading.contains(model) && !unloading.contains(model);
    }

    /** Returns whether a model is there or on its way, and not on its way out. */
    boolean holdsOrLoads(String model) {
        return held.containsKey(model) && !unloading.contains(model);
    }

    boolean hasLocalCopy(String model) {
        return localCopies.contains(model);
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

    /** Returns the memory that is neither used nor promised. */
    double freeMb(EngineSpec engine) {
        double used = 0;
        for (Map.Entry<String, Set<String>> entry : held.entrySet()) {
            ModelSpec model = engine.models().get(entry.getKey());
            if (model == null) {
                // Of a model that the configuration no longer names, only its presence is known.
                return 0;
            }
            used += model.weightsMb() + entry.getValue().size() * model.adapterMb();
        }
        return engine.weightsMb() - used;
    }

    /** Returns whether an order would stay within the runner's memory and places. */
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
