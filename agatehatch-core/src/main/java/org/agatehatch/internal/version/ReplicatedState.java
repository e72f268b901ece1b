package org.agatehatch.internal.version;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.CatalogueDiff;
import org.agatehatch.api.catalogue.CatalogueResult;
import org.agatehatch.api.catalogue.FitCheck;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.log.LogStreams;
import org.agatehatch.api.placement.Charge;
import org.agatehatch.api.placement.ChargeState;
import org.agatehatch.internal.version.record.StateRecord;
import org.agatehatch.internal.version.record.StateRecord.CatalogueChange;
import org.agatehatch.internal.version.record.StateRecord.DrainSet;
import org.agatehatch.internal.version.record.StateRecord.LeaseRelease;
import org.agatehatch.internal.version.record.StateRecord.LeaseRenew;
import org.agatehatch.internal.version.record.StateRecord.LeaseTake;
import org.agatehatch.internal.version.record.StateRecord.OrderSettled;
import org.agatehatch.internal.version.record.StateRecord.PlacementIntent;
import org.agatehatch.internal.version.record.StateRecord.Strike;

/**
 * State machine that every node replays deterministically from the records of the control stream. It uses no clock and
 * no random numbers. Not thread-safe: it is confined to the control thread.
 */
public final class ReplicatedState {
    private long throughOffset = -1;
    private Catalogue catalogue = Catalogue.EMPTY;
    private final LeaseTable leases = new LeaseTable();
    private final CatalogueHistory history = new CatalogueHistory();
    private final StrikeTable strikes = new StrikeTable();
    private final Set<String> drained = new TreeSet<>();
    private final PlacementLedger ledger;
    private final RecordIdWindow recordIds;

    /** Runners with an accepted intent in the batch at {@link #throughOffset}. */
    private final Set<String> runnersWithIntentAtOffset = new HashSet<>();

    private RoutingView view = RoutingView.EMPTY;
    private boolean viewStale = true;

    /** Creates the state before the first record. */
    public ReplicatedState() {
        this(new PlacementLedger(), new RecordIdWindow());
    }

    private ReplicatedState(PlacementLedger ledger, RecordIdWindow recordIds) {
        this.ledger = ledger;
        this.recordIds = recordIds;
    }

    static ReplicatedState restore(
            long throughOffset,
            Catalogue catalogue,
            List<LeaseTable.Lease> leases,
            List<CatalogueHistory.Change> history,
            List<StrikeTable.Crash> strikes,
            List<String> drained,
            PlacementLedger ledger,
            byte[] recordIds) {
        ReplicatedState state = new ReplicatedState(ledger, RecordIdWindow.decode(recordIds));
        state.throughOffset = throughOffset;
        state.catalogue = catalogue;
        state.leases.restore(leases);
        state.history.restore(history);
        state.strikes.restore(strikes);
        state.drained.addAll(drained);
        return state;
    }

    /**
     * Applies one record of the batch at an offset. A record whose id is in the window of recent ids
     * changes nothing and returns the result of its first occurrence.
     */
    public Acceptance apply(long offset, StateRecord record) {
        advanceTo(offset);
        Optional<RecordIdWindow.Decision> firstDecision = recordIds.get(record.recordId());
        if (firstDecision.isPresent()) {
            return firstDecision.get().acceptance();
        }
        Acceptance acceptance = decide(offset, record);
        recordIds.add(record.recordId(), offset, acceptance);
        viewStale |= acceptance.accepted() && changesView(record);
        return acceptance;
    }

    /**
     * Records that the batch at an offset was read, even if this version knows none of its records.
     *
     * @throws IllegalArgumentException if the offset is lower than the last applied one
     */
    public void advanceTo(long offset) {
        if (offset < throughOffset) {
            throw new IllegalArgumentException(
                    "offset " + offset + " is before " + throughOffset + ", which was applied already");
        }
        if (offset > throughOffset) {
            runnersWithIntentAtOffset.clear();
            throughOffset = offset;
        }
    }

    /** Returns the last applied offset; -1 before the first. */
    public long throughOffset() {
        return throughOffset;
    }

    /** Returns the catalogue in force. */
    public Catalogue catalogue() {
        return catalogue;
    }

    public LeaseTable leases() {
        return leases;
    }

    /** Returns the most recent catalogue changes. */
    public CatalogueHistory history() {
        return history;
    }

    /** Returns the crashes counted against requests. */
    public StrikeTable strikes() {
        return strikes;
    }

    /** Returns the ledger of accelerator memory. */
    public PlacementLedger ledger() {
        return ledger;
    }

    /** Returns the backend servers that operators have drained. */
    public Set<String> drained() {
        return Set.copyOf(drained);
    }

    /** Returns the decision on a recent record; empty if its id is not in the window of recent ids. */
    public Optional<RecordDecision> decision(String recordId) {
        return recordIds
                .get(recordId)
                .map(decision -> new RecordDecision(recordId, decision.offset(), decision.acceptance()));
    }

    /** Returns an immutable view of this state for the traffic threads. */
    public RoutingView view() {
        Map<String, Long> offsets = Map.of(LogStreams.CONTROL, throughOffset);
        if (viewStale) {
            view = new RoutingView(catalogue, offsets, readyRunnersByModel(), ledger.roles(), drained);
            viewStale = false;
        } else if (!offsets.equals(view.throughOffsets())) {
            view = new RoutingView(view.catalogue(), offsets, view.runnersByModel(), view.roles(), view.unavailable());
        }
        return view;
    }

    byte[] encodedRecordIds() {
        return recordIds.encode();
    }

    private Acceptance decide(long offset, StateRecord record) {
        if (record instanceof CatalogueChange change) {
            return applyCatalogueChange(offset, change);
        }
        if (record instanceof LeaseTake take) {
            return leases.apply(offset, take);
        }
        if (record instanceof LeaseRenew renew) {
            return leases.apply(offset, renew);
        }
        if (record instanceof LeaseRelease release) {
            return leases.apply(release);
        }
        if (record instanceof PlacementIntent intent) {
            return applyIntent(offset, intent);
        }
        if (record instanceof OrderSettled settled) {
            Acceptance fencing =
                    leases.checkFencing(LeaseTable.poolLeaseName(settled.pool()), settled.leaseFencingNumber());
            return fencing.accepted() ? ledger.apply(offset, settled, catalogue) : fencing;
        }
        if (record instanceof DrainSet drain) {
            return applyDrain(drain);
        }
        strikes.apply(offset, (Strike) record);
        return Acceptance.ACCEPTED;
    }

    private Acceptance applyCatalogueChange(long offset, CatalogueChange change) {
        if (change.baseVersion() != catalogue.version()) {
            return Acceptance.refused(
                    ErrorCode.VERSION_CONFLICT,
                    "the change is based on catalogue version " + change.baseVersion() + ", version "
                            + catalogue.version() + " is in force; repeat the edit on that version");
        }
        CatalogueResult result = CatalogueChanges.diff(change).applyTo(catalogue, catalogue.version() + 1);
        if (result.catalogue().isEmpty()) {
            return Acceptance.refused(ErrorCode.INVALID_CATALOGUE, result.problemText());
        }
        Catalogue changedCatalogue = result.catalogue().get();
        FitCheck.Result fitResult = FitCheck.check(changedCatalogue);
        if (!fitResult.fits()) {
            return Acceptance.refused(
                    ErrorCode.CATALOGUE_DOES_NOT_FIT,
                    "no room on their pools for one replica of " + fitResult.unplaced()
                            + "; add accelerators or remove models");
        }
        List<String> shortfalls = ChargedMemoryCheck.shortfalls(catalogue, changedCatalogue, ledger.charges());
        if (!shortfalls.isEmpty()) {
            return Acceptance.refused(
                    ErrorCode.CATALOGUE_DOES_NOT_FIT,
                    String.join("; ", shortfalls) + "; move the models away first, then repeat the change");
        }
        history.add(new CatalogueHistory.Change(
                changedCatalogue.version(),
                offset,
                change.operator(),
                CatalogueDiff.between(changedCatalogue, catalogue)));
        catalogue = changedCatalogue;
        drained.retainAll(changedCatalogue.backendServers().keySet());
        return Acceptance.ACCEPTED;
    }

    private Acceptance applyIntent(long offset, PlacementIntent intent) {
        Acceptance fencing = leases.checkFencing(LeaseTable.poolLeaseName(intent.pool()), intent.leaseFencingNumber());
        if (!fencing.accepted()) {
            return fencing;
        }
        BackendServer runner = catalogue.backendServers().get(intent.runner());
        if (runner != null && !runner.pool().equals(intent.pool())) {
            return Acceptance.refused(
                    ErrorCode.INVALID_REQUEST,
                    "runner " + runner.name() + " is in pool " + runner.pool() + ", not in " + intent.pool()
                            + "; the holder of that pool's lease must change it");
        }
        // The intent's offset is the fencing number of its order, so two orders to a runner must not share an offset.
        if (runnersWithIntentAtOffset.contains(intent.runner())) {
            return Acceptance.refused(
                    ErrorCode.VERSION_CONFLICT,
                    "batch " + offset + " has another intent for runner " + intent.runner()
                            + "; append the intent again in a batch of its own");
        }
        Acceptance acceptance = ledger.apply(offset, intent, catalogue);
        if (acceptance.accepted()) {
            runnersWithIntentAtOffset.add(intent.runner());
        }
        return acceptance;
    }

    private Acceptance applyDrain(DrainSet drain) {
        if (!drain.draining()) {
            drained.remove(drain.backendServer());
            return Acceptance.ACCEPTED;
        }
        if (!catalogue.backendServers().containsKey(drain.backendServer())) {
            return Acceptance.refused(
                    ErrorCode.INVALID_REQUEST,
                    "backend server '" + drain.backendServer() + "' is not in catalogue version " + catalogue.version()
                            + "; check its name");
        }
        drained.add(drain.backendServer());
        return Acceptance.ACCEPTED;
    }

    private static boolean changesView(StateRecord record) {
        return record instanceof CatalogueChange
                || record instanceof PlacementIntent
                || record instanceof OrderSettled
                || record instanceof DrainSet;
    }

    private Map<String, List<String>> readyRunnersByModel() {
        Map<String, Set<String>> runnersByModel = new TreeMap<>();
        for (Charge charge : ledger.charges()) {
            if (charge.state() == ChargeState.READY) {
                runnersByModel
                        .computeIfAbsent(charge.model(), ignored -> new TreeSet<>())
                        .add(charge.runner());
            }
        }
        Map<String, List<String>> result = new TreeMap<>();
        runnersByModel.forEach((model, runners) -> result.put(model, List.copyOf(runners)));
        return result;
    }

    /**
     * Decision on a record.
     *
     * @param offset log offset at which the record first appeared
     */
    public record RecordDecision(String recordId, long offset, Acceptance acceptance) {}
}
