package org.agatehatch.internal.version;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.ModelEntry;
import org.agatehatch.api.catalogue.Pool;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.placement.Charge;
import org.agatehatch.api.placement.ChargeState;
import org.agatehatch.internal.version.record.StateRecord.IntentKind;
import org.agatehatch.internal.version.record.StateRecord.OrderSettled;
import org.agatehatch.internal.version.record.StateRecord.PlacementIntent;

/**
 * Accelerator memory charged to models, as decided by the order of records in the log. Callers must check the lease's
 * fencing number first. Not thread-safe.
 */
public final class PlacementLedger {
    private static final String ROLE_BOTH = "both";
    private static final List<String> ROLES = List.of(ROLE_BOTH, "prompt", "answer");

    private final Map<String, LedgerEntry> entriesByOrder = new LinkedHashMap<>();
    private final Map<String, String> roles = new LinkedHashMap<>();
    private final Map<String, InventoryWatermark> inventoryWatermarks = new TreeMap<>();
    private final LedgerIndex index = new LedgerIndex();
    private List<Charge> cachedCharges = List.of();
    private boolean cachedChargesStale;

    /**
     * The complete state of a ledger.
     *
     * @param entries charges in the order in which they were accepted
     * @param roles role of each runner whose role is not {@code both}
     * @param watermarks newest inventory of each runner that a settlement is based on
     */
    public record Snapshot(
            List<LedgerEntry> entries, Map<String, String> roles, Map<String, InventoryWatermark> watermarks) {
        public Snapshot {
            entries = List.copyOf(entries);
            roles = Map.copyOf(roles);
            watermarks = Map.copyOf(watermarks);
        }
    }

    /** Position of an inventory in the sequence of one engine process. */
    public record InventoryWatermark(String runnerEpoch, long sequence) {}

    /** Restores a ledger from a snapshot. */
    public static PlacementLedger restore(Snapshot snapshot) {
        PlacementLedger ledger = new PlacementLedger();
        snapshot.entries().forEach(ledger::put);
        // Map.copyOf has no fixed iteration order; sorting makes restored ledgers equal on all nodes.
        ledger.roles.putAll(new TreeMap<>(snapshot.roles()));
        ledger.inventoryWatermarks.putAll(snapshot.watermarks());
        return ledger;
    }

    /** Returns the complete state. */
    public Snapshot snapshot() {
        return new Snapshot(List.copyOf(entriesByOrder.values()), roles, inventoryWatermarks);
    }

    /** Applies an intent at its log offset. The offset becomes the fencing number of the order. */
    public Acceptance apply(long offset, PlacementIntent intent, Catalogue catalogue) {
        return switch (intent.kind()) {
            case LOAD, RESERVE -> charge(offset, intent, catalogue);
            case ADOPT -> adopt(offset, intent);
            case UNLOAD, CANCEL_RESERVE -> release(offset, intent, catalogue);
            case SET_ROLE -> setRole(intent, catalogue);
        };
    }

    /** Applies the settlement of an order. */
    public Acceptance apply(long offset, OrderSettled settled, Catalogue catalogue) {
        LedgerEntry entry = entriesByOrder.get(settled.orderId());
        if (entry == null || !entry.pool().equals(settled.pool())) {
            return refused("order '" + settled.orderId() + "' has no charge in pool '" + settled.pool()
                    + "'; it was settled before");
        }
        if (entry.charge().state() == ChargeState.RESERVED) {
            return refused("order '" + settled.orderId() + "' is a reservation; cancel it or load onto it first");
        }
        Acceptance acceptance = settle(entry, settled, catalogue);
        if (acceptance.accepted()) {
            recordInventory(entry.charge().runner(), settled, catalogue);
        }
        return acceptance;
    }

    private Acceptance settle(LedgerEntry entry, OrderSettled settled, Catalogue catalogue) {
        return switch (settled.outcome()) {
            case READY -> settleReady(entry, settled);
            case ABSENT -> settleAbsent(entry, settled, catalogue);
            case IN_DOUBT -> {
                put(entry.settled(
                        ChargeState.IN_DOUBT,
                        settled.leaseFencingNumber(),
                        settled.runnerEpoch(),
                        entry.seenSequence(),
                        settled.unansweredCopies()));
                yield Acceptance.ACCEPTED;
            }
        };
    }

    private void recordInventory(String runner, OrderSettled settled, Catalogue catalogue) {
        InventoryWatermark mark = inventoryWatermarks.get(runner);
        boolean older = mark != null
                && mark.runnerEpoch().equals(settled.runnerEpoch())
                && mark.sequence() > settled.inventorySequence();
        if (!older) {
            inventoryWatermarks.put(runner, new InventoryWatermark(settled.runnerEpoch(), settled.inventorySequence()));
        }
        // New runners have new names, so the watermarks of removed runners would otherwise accumulate without bound.
        if (inventoryWatermarks.size() > 2 * catalogue.backendServers().size() + 16) {
            inventoryWatermarks
                    .keySet()
                    .removeIf(name -> !catalogue.backendServers().containsKey(name)
                            && index.orders(name).isEmpty());
        }
    }

    /**
     * Returns whether an inventory is older than one that a settlement is based on. Such an inventory may list models
     * that have been unloaded since, and a new lease holder must not treat these as resident.
     */
    public boolean isOutdatedInventory(String runner, String runnerEpoch, long sequence) {
        InventoryWatermark mark = inventoryWatermarks.get(runner);
        return mark != null && mark.runnerEpoch().equals(runnerEpoch) && sequence < mark.sequence();
    }

    /** Returns all charges in the order in which they were accepted. */
    public List<Charge> charges() {
        if (cachedChargesStale) {
            cachedCharges =
                    entriesByOrder.values().stream().map(LedgerEntry::charge).toList();
            cachedChargesStale = false;
        }
        return cachedCharges;
    }

    /** Returns all ledger entries in the order in which their charges were accepted. */
    public List<LedgerEntry> entries() {
        return List.copyOf(entriesByOrder.values());
    }

    /** Returns the ledger entry of an order; empty if the order has no charge. */
    public Optional<LedgerEntry> entry(String orderId) {
        return Optional.ofNullable(entriesByOrder.get(orderId));
    }

    /** Returns the role of each runner whose role is not {@code both}. */
    public Map<String, String> roles() {
        return Map.copyOf(roles);
    }

    /** Returns the runners on which each model is ready, in the order in which the charges were accepted. */
    public Map<String, List<String>> readyRunnersByModel() {
        Map<String, List<String>> result = new TreeMap<>();
        for (LedgerEntry entry : entriesByOrder.values()) {
            if (entry.charge().state() != ChargeState.READY) {
                continue;
            }
            List<String> runners = result.computeIfAbsent(entry.charge().model(), name -> new ArrayList<>());
            if (!runners.contains(entry.charge().runner())) {
                runners.add(entry.charge().runner());
            }
        }
        return result;
    }

    /** Returns whether a catalogue would give some accelerator less memory than is charged on it. */
    public boolean wouldShrinkBelowCharges(Catalogue next) {
        return !shrinkViolations(Catalogue.EMPTY, next).isEmpty();
    }

    /**
     * Returns an error message for each accelerator whose memory a catalogue change would reduce below its charges. An
     * accelerator that an ADOPT overcommitted does not block changes that leave its size unchanged.
     */
    public List<String> shrinkViolations(Catalogue current, Catalogue next) {
        List<String> violations = new ArrayList<>();
        for (String runner : index.runners()) {
            if (!next.backendServers().containsKey(runner)) {
                continue;
            }
            for (int accelerator = 0; accelerator < index.accelerators(runner); accelerator++) {
                long usedMib = index.usedMib(runner, accelerator);
                long sizeMib = acceleratorMemoryMib(next, runner, accelerator);
                if (usedMib > sizeMib && sizeMib != acceleratorMemoryMib(current, runner, accelerator)) {
                    violations.add("runner '" + runner + "' accelerator " + accelerator + " has " + usedMib
                            + " MiB charged but would have " + sizeMib + " MiB; unload models from it first");
                }
            }
        }
        return violations;
    }

    /**
     * Returns an accelerator's memory; -1 if the runner is not in the catalogue, 0 if the runner has no such
     * accelerator.
     */
    private static long acceleratorMemoryMib(Catalogue catalogue, String runner, int accelerator) {
        BackendServer server = catalogue.backendServers().get(runner);
        if (server == null) {
            return -1;
        }
        return accelerator < server.accelerators() ? server.acceleratorMemoryMib() : 0;
    }

    /** Returns the memory charged on an accelerator, in MiB. */
    public long usedMib(String runner, int accelerator) {
        return index.usedMib(runner, accelerator);
    }

    /** Returns the number of loads of a pool that are not settled yet. */
    public int loadsInFlight(String pool) {
        return index.loadsInFlight(pool);
    }

    private Acceptance charge(long offset, PlacementIntent intent, Catalogue catalogue) {
        Optional<String> mismatch = findCatalogueMismatch(intent, catalogue);
        if (mismatch.isPresent()) {
            return refused(mismatch.get());
        }
        boolean load = intent.kind() == IntentKind.LOAD;
        LedgerEntry existing = findCharge(intent);
        boolean ontoReservation = load && existing != null && existing.charge().state() == ChargeState.RESERVED;
        if (existing != null && !ontoReservation) {
            return refused("model '" + intent.model() + "' version '" + intent.version() + "' is already charged on '"
                    + intent.runner() + "' by order '" + existing.charge().orderId() + "'");
        }
        if (ontoReservation && !existing.charge().accelerators().equals(intent.accelerators())) {
            return refused("the reservation '" + existing.charge().orderId() + "' is on accelerators "
                    + existing.charge().accelerators() + "; load onto these");
        }
        boolean ownId = ontoReservation && existing.charge().orderId().equals(intent.orderId());
        if (entriesByOrder.containsKey(intent.orderId()) && !ownId) {
            return refused("order id '" + intent.orderId() + "' is in use; use a new random id");
        }
        Pool pool = catalogue.pools().get(intent.pool());
        if (load && index.loadsInFlight(intent.pool()) >= pool.storeLoadsAtOnce()) {
            return refused("pool '" + intent.pool() + "' has " + pool.storeLoadsAtOnce()
                    + " store loads in flight, its limit; wait until one is settled");
        }
        Optional<String> shortage = ontoReservation ? Optional.empty() : findMemoryShortage(intent, catalogue);
        if (shortage.isPresent()) {
            return refused(shortage.get());
        }
        if (ontoReservation) {
            remove(existing.charge().orderId());
        }
        put(newEntry(offset, intent, load ? ChargeState.LOADING : ChargeState.RESERVED, !load || ontoReservation));
        return Acceptance.ACCEPTED;
    }

    private Optional<String> findCatalogueMismatch(PlacementIntent intent, Catalogue catalogue) {
        BackendServer runner = catalogue.backendServers().get(intent.runner());
        if (runner == null || !runner.pool().equals(intent.pool())) {
            return Optional.of("runner '" + intent.runner() + "' is not in pool '" + intent.pool()
                    + "' of catalogue version " + catalogue.version());
        }
        ModelEntry model = catalogue.models().get(intent.model());
        if (model == null || model.isAdapter() || !model.pool().equals(intent.pool())) {
            return Optional.of("model '" + intent.model() + "' is not a model of pool '" + intent.pool()
                    + "' in catalogue version " + catalogue.version());
        }
        if (!model.version().equals(intent.version()) || model.memoryMib() != intent.memoryMib()) {
            return Optional.of("the catalogue has model '" + intent.model() + "' as version '" + model.version()
                    + "' with " + model.memoryMib() + " MiB; plan again from it");
        }
        List<Integer> accelerators = intent.accelerators();
        boolean valid = accelerators.size() == model.accelerators()
                && new HashSet<>(accelerators).size() == accelerators.size()
                && accelerators.stream().allMatch(a -> a >= 0 && a < runner.accelerators());
        if (!valid) {
            return Optional.of("accelerators " + accelerators + " do not suit model '" + intent.model()
                    + "' on runner '" + intent.runner() + "' with " + runner.accelerators() + " accelerators");
        }
        if (intent.kind() == IntentKind.RESERVE && !runner.checksFencing()) {
            return Optional.of("runner '" + intent.runner()
                    + "' ignores fencing numbers; reserve only on runners that check them");
        }
        return Optional.empty();
    }

    private Optional<String> findMemoryShortage(PlacementIntent intent, Catalogue catalogue) {
        long sizeMib = catalogue.backendServers().get(intent.runner()).acceleratorMemoryMib();
        for (int accelerator : intent.accelerators()) {
            long usedMib = index.usedMib(intent.runner(), accelerator);
            if (usedMib + intent.memoryMib() > sizeMib) {
                return Optional.of("runner '" + intent.runner() + "' accelerator " + accelerator + " has " + usedMib
                        + " of " + sizeMib + " MiB charged; " + intent.memoryMib() + " MiB do not fit");
            }
        }
        return Optional.empty();
    }

    private Acceptance adopt(long offset, PlacementIntent intent) {
        if (entriesByOrder.containsKey(intent.orderId())) {
            return refused("order id '" + intent.orderId() + "' already has a charge");
        }
        put(newEntry(offset, intent, ChargeState.IN_DOUBT, false));
        return Acceptance.ACCEPTED;
    }

    private Acceptance release(long offset, PlacementIntent intent, Catalogue catalogue) {
        LedgerEntry entry = entriesByOrder.get(intent.orderId());
        if (entry == null || !entry.pool().equals(intent.pool())) {
            return refused("order '" + intent.orderId() + "' has no charge in pool '" + intent.pool() + "'");
        }
        boolean cancel = intent.kind() == IntentKind.CANCEL_RESERVE;
        if (cancel != (entry.charge().state() == ChargeState.RESERVED)) {
            return refused("order '" + intent.orderId() + "' is "
                    + entry.charge().state() + "; "
                    + (cancel ? "only a reservation can be cancelled" : "cancel a reservation with CANCEL_RESERVE"));
        }
        if (isLastReadyReplica(entry, catalogue)) {
            return refused("order '" + intent.orderId() + "' is the last ready replica of model '"
                    + entry.charge().model() + "'; load another replica first");
        }
        // The memory of a cancelled reservation stays charged until settlement: before the runner has seen the higher
        // fencing number, a node that is disconnected from the log could still order the reserved load.
        put(entry.startUnload(offset, intent.leaseFencingNumber()));
        return Acceptance.ACCEPTED;
    }

    private boolean isLastReadyReplica(LedgerEntry entry, Catalogue catalogue) {
        if (entry.charge().state() != ChargeState.READY
                || !isInCatalogue(entry.charge().model(), catalogue)) {
            return false;
        }
        for (String orderId : index.readyOrders(entry.charge().model())) {
            LedgerEntry otherEntry = entriesByOrder.get(orderId);
            if (!orderId.equals(entry.charge().orderId())
                    && catalogue
                            .backendServers()
                            .containsKey(otherEntry.charge().runner())) {
                return false;
            }
        }
        return true;
    }

    private static boolean isInCatalogue(String model, Catalogue catalogue) {
        return catalogue.models().containsKey(model)
                || catalogue.models().values().stream()
                        .anyMatch(entry -> entry.residentModel().equals(model));
    }

    private Acceptance setRole(PlacementIntent intent, Catalogue catalogue) {
        BackendServer runner = catalogue.backendServers().get(intent.runner());
        if (runner == null || !runner.pool().equals(intent.pool())) {
            return refused("runner '" + intent.runner() + "' is not in pool '" + intent.pool() + "'");
        }
        if (!ROLES.contains(intent.role())) {
            return refused("role '" + intent.role() + "' is not one of " + ROLES);
        }
        if (intent.role().equals(ROLE_BOTH)) {
            roles.remove(intent.runner());
        } else {
            roles.put(intent.runner(), intent.role());
        }
        return Acceptance.ACCEPTED;
    }

    private Acceptance settleReady(LedgerEntry entry, OrderSettled settled) {
        if (entry.unloading()) {
            return refused("order '" + settled.orderId() + "' is being unloaded; it ends only with ABSENT");
        }
        put(entry.settled(
                ChargeState.READY,
                settled.leaseFencingNumber(),
                settled.runnerEpoch(),
                settled.inventorySequence(),
                settled.unansweredCopies()));
        return Acceptance.ACCEPTED;
    }

    private Acceptance settleAbsent(LedgerEntry entry, OrderSettled settled, Catalogue catalogue) {
        BackendServer runner = catalogue.backendServers().get(entry.charge().runner());
        boolean checksFencing = runner != null && runner.checksFencing();
        boolean epochChanged = !settled.runnerEpoch().equals(entry.runnerEpoch())
                && !entry.runnerEpoch().isEmpty();
        if (!checksFencing && !epochChanged && settled.unansweredCopies() > 0) {
            return refused("runner '" + entry.charge().runner() + "' ignores fencing numbers and "
                    + settled.unansweredCopies() + " copies of order '" + settled.orderId()
                    + "' are unanswered; wait until its process epoch changes");
        }
        remove(settled.orderId());
        return Acceptance.ACCEPTED;
    }

    private LedgerEntry findCharge(PlacementIntent intent) {
        for (String orderId : index.orders(intent.runner())) {
            LedgerEntry entry = entriesByOrder.get(orderId);
            if (entry.charge().model().equals(intent.model())
                    && entry.charge().version().equals(intent.version())) {
                return entry;
            }
        }
        return null;
    }

    private static LedgerEntry newEntry(long offset, PlacementIntent intent, ChargeState state, boolean reserved) {
        Charge charge = new Charge(
                intent.orderId(),
                intent.model(),
                intent.version(),
                intent.runner(),
                intent.accelerators(),
                intent.memoryMib(),
                state);
        return new LedgerEntry(
                charge, intent.pool(), offset, offset, intent.leaseFencingNumber(), false, reserved, "", -1, 0);
    }

    private void put(LedgerEntry entry) {
        LedgerEntry replaced = entriesByOrder.put(entry.charge().orderId(), entry);
        if (replaced != null) {
            index.remove(replaced);
        }
        index.add(entry);
        cachedChargesStale = true;
    }

    private void remove(String orderId) {
        LedgerEntry replaced = entriesByOrder.remove(orderId);
        index.remove(replaced);
        cachedChargesStale = true;
    }

    private static Acceptance refused(String message) {
        return Acceptance.refused(ErrorCode.PLACEMENT_REFUSED, message);
    }
}
