package org.agatehatch.internal.version;

import static org.agatehatch.internal.version.TestRecords.adopt;
import static org.agatehatch.internal.version.TestRecords.importOf;
import static org.agatehatch.internal.version.TestRecords.load;
import static org.agatehatch.internal.version.TestRecords.ownerChange;
import static org.agatehatch.internal.version.TestRecords.sampleCatalogue;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.CatalogueDiff;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.placement.Charge;
import org.agatehatch.api.placement.ChargeState;
import org.agatehatch.internal.version.record.RecordBatchCodec;
import org.agatehatch.internal.version.record.StateRecord;
import org.agatehatch.internal.version.record.StateRecord.CatalogueChange;
import org.agatehatch.internal.version.record.StateRecord.DrainSet;
import org.agatehatch.internal.version.record.StateRecord.LeaseRelease;
import org.agatehatch.internal.version.record.StateRecord.LeaseRenew;
import org.agatehatch.internal.version.record.StateRecord.LeaseTake;
import org.agatehatch.internal.version.record.StateRecord.Strike;
import org.testng.annotations.Test;

/** Guards against nodes that decide differently on the same records, and against records that take effect twice. */
public final class ReplicatedStateTest {
    private static final String LEASE = LeaseTable.poolLeaseName("bench-advisor");

    @Test
    public void concurrent_changes_get_the_same_result_on_two_replicas() {
        List<StateRecord> log =
                List.of(importOf(sampleCatalogue()), ownerChange("a", 1, "first"), ownerChange("b", 1, "second"));
        ReplicatedState one = new ReplicatedState();
        ReplicatedState two = new ReplicatedState();

        List<Acceptance> answers = applyAll(one, log);

        assertEquals(applyAll(two, log), answers);
        assertTrue(answers.get(1).accepted());
        assertEquals(code(answers.get(2)), ErrorCode.VERSION_CONFLICT);
        assertEquals(one.catalogue().version(), 2);
        assertTrue(one.catalogue().owners().containsKey("first"));
        assertFalse(one.catalogue().owners().containsKey("second"));
        assertEquals(SnapshotCodec.contentHash(two), SnapshotCodec.contentHash(one));
    }

    @Test
    public void a_repeated_record_takes_effect_once_and_returns_the_first_result() {
        ReplicatedState state = imported();
        Acceptance first = state.apply(1, ownerChange("a", 1, "first"));
        Acceptance refused = state.apply(2, ownerChange("b", 1, "second"));

        assertEquals(state.apply(3, ownerChange("a", 1, "first")), first);
        assertEquals(state.apply(4, ownerChange("b", 2, "second")), refused);
        assertEquals(state.catalogue().version(), 2);
        assertEquals(state.decision("a").orElseThrow().offset(), 1);
    }

    @Test
    public void record_ids_are_evicted_only_after_the_window() {
        ReplicatedState state = imported();
        state.apply(1, new DrainSet("drain", "order-desk-medeu", true, "op"));
        state.apply(2, new DrainSet("back", "order-desk-medeu", false, "op"));
        for (int i = 0; i < RecordIdWindow.MAX_IDS - 2; i++) {
            state.apply(3 + i, new LeaseRenew("renew-" + i, "none", 1));
        }

        state.apply(100_000, new DrainSet("drain", "order-desk-medeu", true, "op"));
        assertEquals(state.drained(), Set.of());
        state.apply(100_001, new LeaseRenew("one-more", "none", 1));

        assertTrue(state.decision("drain").isEmpty());
        assertTrue(state.decision("back").isPresent());
    }

    @Test
    public void offsets_never_decrease() {
        ReplicatedState state = imported();
        state.apply(9, ownerChange("a", 1, "first"));

        assertThrows(IllegalArgumentException.class, () -> state.apply(8, ownerChange("b", 2, "second")));
        assertEquals(state.catalogue().version(), 2);
    }

    @Test
    public void a_change_that_is_invalid_or_does_not_fit_is_refused() {
        ReplicatedState state = imported();
        Map<String, Object> large = new HashMap<>(fieldsOf(state.catalogue(), "models", "counter-8b"));
        large.put("memory_mib", 90_000L);

        Acceptance invalid =
                state.apply(1, new CatalogueChange("a", 1, "op", Map.of(), Map.of("pools", List.of("order-desk"))));
        Acceptance tooLarge = state.apply(
                2, new CatalogueChange("b", 1, "op", Map.of("models", Map.of("counter-8b", large)), Map.of()));

        assertEquals(code(invalid), ErrorCode.INVALID_CATALOGUE);
        assertEquals(code(tooLarge), ErrorCode.CATALOGUE_DOES_NOT_FIT);
        assertEquals(state.catalogue().version(), 1);
    }

    @Test
    public void a_change_that_gives_an_accelerator_less_memory_than_is_charged_is_refused() {
        Catalogue catalogue = sampleCatalogue();
        Charge charge = new Charge("o", "counter-8b", "7", "runner-medeu-1", List.of(7), 50_000, ChargeState.READY);

        List<String> smaller = ChargedMemoryCheck.shortfalls(
                catalogue, withRunnerMemory(catalogue, "runner-medeu-1", 8, 49_999), List.of(charge));
        List<String> fewer = ChargedMemoryCheck.shortfalls(
                catalogue, withRunnerMemory(catalogue, "runner-medeu-1", 7, 81_920), List.of(charge));

        assertEquals(smaller.size(), 1);
        assertTrue(smaller.get(0).contains("accelerator 7 of runner-medeu-1 would have 49999 MiB"), smaller.get(0));
        assertEquals(fewer.size(), 1);
        assertEquals(
                ChargedMemoryCheck.shortfalls(
                        catalogue, withRunnerMemory(catalogue, "runner-medeu-1", 8, 50_000), List.of(charge)),
                List.of());
        // A runner that the change leaves as it is must not block other changes, even if it is overcommitted.
        assertEquals(ChargedMemoryCheck.shortfalls(catalogue, catalogue, List.of(charge, charge)), List.of());
    }

    @Test
    public void the_state_refuses_a_change_below_its_charges_and_publishes_ready_runners() {
        Catalogue catalogue = sampleCatalogue();
        Charge ready = new Charge("o1", "counter-8b", "7", "runner-medeu-1", List.of(7), 50_000, ChargeState.READY);
        Charge loading = new Charge("o2", "counter-8b", "7", "runner-auezov-1", List.of(0), 20, ChargeState.LOADING);
        PlacementLedger ledger = PlacementLedger.restore(
                new PlacementLedger.Snapshot(List.of(entry(ready), entry(loading)), Map.of(), Map.of()));
        ReplicatedState state =
                ReplicatedState.restore(4, catalogue, List.of(), List.of(), List.of(), List.of(), ledger, new byte[0]);
        Catalogue smaller = withRunnerMemory(catalogue, "runner-medeu-1", 8, 45_000);

        Acceptance acceptance = state.apply(
                5, CatalogueChanges.between(catalogue, smaller, "op", () -> "c").get(0));

        assertEquals(code(acceptance), ErrorCode.CATALOGUE_DOES_NOT_FIT);
        assertEquals(state.view().runnersByModel(), Map.of("counter-8b", List.of("runner-medeu-1")));
        assertEquals(state.view().throughOffsets(), Map.of("control", 5L));
        assertEquals(SnapshotCodec.decode(SnapshotCodec.encode(state)).ledger().charges(), List.of(ready, loading));
    }

    @Test
    public void only_the_current_holder_renews_releases_and_places() {
        ReplicatedState state = imported();
        state.apply(1, new LeaseTake("t1", LEASE, "n1", "i1", LeaseTable.FREE));

        assertFalse(state.apply(2, new LeaseTake("t2", LEASE, "n2", "i2", LeaseTable.FREE))
                .accepted());
        assertTrue(state.apply(3, new LeaseRenew("r1", LEASE, 1)).accepted());
        assertFalse(state.apply(4, new LeaseTake("t3", LEASE, "n2", "i2", 1)).accepted());
        assertTrue(state.apply(5, new LeaseTake("t4", LEASE, "n2", "i2", 3)).accepted());
        assertFalse(state.apply(6, new LeaseRenew("r2", LEASE, 1)).accepted());
        assertEquals(code(state.apply(7, load("late", 1, "runner-medeu-1"))), ErrorCode.VERSION_CONFLICT);
        assertFalse(state.apply(8, new LeaseRelease("x1", LEASE, 1)).accepted());
        assertEquals(state.leases().get(LEASE).orElseThrow().node(), "n2");
        assertTrue(state.apply(9, new LeaseRelease("x2", LEASE, 5)).accepted());
        assertTrue(state.leases().get(LEASE).isEmpty());
    }

    @Test
    public void two_intents_for_a_runner_in_one_batch_do_not_share_a_fencing_number() {
        ReplicatedState state = imported();
        state.apply(1, new LeaseTake("t1", LEASE, "n1", "i1", LeaseTable.FREE));

        assertTrue(state.apply(2, adopt("o1", 1, "runner-medeu-1")).accepted());
        assertEquals(code(state.apply(2, adopt("o2", 1, "runner-medeu-1"))), ErrorCode.VERSION_CONFLICT);
        assertTrue(state.apply(2, adopt("o3", 1, "runner-auezov-1")).accepted());
        assertTrue(state.apply(3, adopt("o4", 1, "runner-medeu-1")).accepted());
    }

    @Test
    public void an_older_version_becomes_the_next_one_by_rollback() {
        ReplicatedState state = imported();
        Catalogue original = state.catalogue();
        state.apply(1, ownerChange("a", 1, "first"));
        state.apply(2, ownerChange("b", 2, "second"));

        Catalogue old = state.history().catalogueAt(1, state.catalogue()).orElseThrow();
        List<CatalogueChange> changes = CatalogueChanges.between(state.catalogue(), old, "op", () -> "c");
        assertTrue(state.apply(3, changes.get(0)).accepted());

        assertEquals(old, original);
        assertEquals(state.catalogue().version(), 4);
        assertEquals(state.catalogue().owners(), original.owners());
        assertTrue(state.history().catalogueAt(9, state.catalogue()).isEmpty());
    }

    @Test
    public void a_crash_that_several_nodes_report_counts_once() {
        ReplicatedState state = imported();
        state.apply(1, new Strike("s1", 77, "runner-medeu-1", "epoch-1"));
        state.apply(2, new Strike("s2", 77, "runner-medeu-1", "epoch-1"));
        assertEquals(state.strikes().crashes(77).size(), 1);

        state.apply(3, new Strike("s3", 77, "runner-medeu-1", "epoch-2"));
        assertEquals(state.strikes().crashes(77).size(), 2);
    }

    @Test
    public void state_from_a_snapshot_and_the_tail_equals_state_from_all_records() {
        Random random = new Random(20);
        List<StateRecord> log = new ArrayList<>(List.of(importOf(sampleCatalogue())));
        ReplicatedState full = imported();
        for (int i = 1; i < 400; i++) {
            log.add(randomRecord(random, i, full.catalogue().version()));
            full.apply(i, log.get(i));
        }

        for (int cut : List.of(1, 57, 200, 399)) {
            ReplicatedState early = new ReplicatedState();
            applyAll(early, log.subList(0, cut));
            ReplicatedState resumed = SnapshotCodec.decode(SnapshotCodec.encode(early));
            for (int i = cut; i < log.size(); i++) {
                resumed.apply(i, log.get(i));
            }
            assertEquals(SnapshotCodec.contentHash(resumed), SnapshotCodec.contentHash(full), "cut at " + cut);
            // The hash covers only encoded state, so each part is compared as well.
            assertEquals(resumed.view(), full.view());
            assertEquals(resumed.leases().all(), full.leases().all());
            assertEquals(resumed.strikes().all(), full.strikes().all());
            assertEquals(resumed.drained(), full.drained());
            assertEquals(resumed.history().changes(), full.history().changes());
            for (StateRecord record : log) {
                assertEquals(acceptedAt(resumed, record), acceptedAt(full, record));
            }
        }
        assertTrue(full.catalogue().version() > 20, "the random records change the catalogue");
    }

    @Test
    public void a_large_import_is_split_into_changes_that_are_valid_in_order() {
        Catalogue large = withManyModels(sampleCatalogue(), 2_000);
        ReplicatedState state = new ReplicatedState();
        AtomicInteger ids = new AtomicInteger();
        List<CatalogueChange> changes =
                CatalogueChanges.between(Catalogue.EMPTY, large, "op", () -> "c" + ids.getAndIncrement());

        for (int i = 0; i < changes.size(); i++) {
            RecordBatchCodec.encode(List.of(changes.get(i)));
            assertEquals(state.apply(i, changes.get(i)), Acceptance.ACCEPTED);
        }
        assertTrue(changes.size() > 1);
        assertEquals(state.catalogue().models(), large.models());
    }

    private static StateRecord randomRecord(Random random, long i, long version) {
        long baseVersion = version - random.nextInt(2);
        return switch (random.nextInt(6)) {
            case 0, 1 -> ownerChange("r" + random.nextInt(300), baseVersion, "owner-" + random.nextInt(8));
            case 2 -> new LeaseTake("r" + i, "pool:p" + random.nextInt(3), "n" + random.nextInt(3), "i", -1);
            case 3 -> new LeaseRelease("r" + i, "pool:p" + random.nextInt(3), random.nextLong(i));
            case 4 -> new DrainSet("r" + i, "order-desk-medeu", random.nextBoolean(), "op");
            default -> new Strike("r" + i, random.nextInt(20), "runner-medeu-1", "e" + random.nextInt(9));
        };
    }

    private static Catalogue withRunnerMemory(Catalogue catalogue, String name, int accelerators, long memoryMib) {
        BackendServer old = catalogue.backendServers().get(name);
        Map<String, Object> fields = new HashMap<>(fieldsOf(catalogue, "backend_servers", name));
        fields.put("accelerators", (long) accelerators);
        fields.put("accelerator_memory_mib", memoryMib);
        return new CatalogueDiff(Map.of("backend_servers", Map.of(old.name(), fields)), Map.of())
                .applyTo(catalogue, catalogue.version())
                .orThrow();
    }

    private static Catalogue withManyModels(Catalogue catalogue, int count) {
        Map<String, Map<String, Object>> models = new HashMap<>();
        Map<String, Object> pattern = fieldsOf(catalogue, "models", "counter-8b-gouges");
        for (int i = 0; i < count; i++) {
            models.put("adapter-" + i, pattern);
        }
        return new CatalogueDiff(Map.of("models", models), Map.of())
                .applyTo(catalogue, catalogue.version())
                .orThrow();
    }

    private static Map<String, Object> fieldsOf(Catalogue catalogue, String section, String name) {
        return CatalogueDiff.between(Catalogue.EMPTY, catalogue)
                .upserts()
                .get(section)
                .get(name);
    }

    private static ReplicatedState imported() {
        ReplicatedState state = new ReplicatedState();
        assertEquals(state.apply(0, importOf(sampleCatalogue())), Acceptance.ACCEPTED);
        return state;
    }

    private static List<Acceptance> applyAll(ReplicatedState state, List<StateRecord> log) {
        List<Acceptance> answers = new ArrayList<>();
        for (int i = 0; i < log.size(); i++) {
            answers.add(state.apply(i, log.get(i)));
        }
        return answers;
    }

    private static LedgerEntry entry(Charge charge) {
        return new LedgerEntry(charge, "bench-advisor", 1, 1, 1, false, false, "e", 1, 0);
    }

    private static ErrorCode code(Acceptance acceptance) {
        return acceptance.refusal().orElseThrow().code();
    }

    private static String acceptedAt(ReplicatedState state, StateRecord record) {
        return state.decision(record.recordId())
                .map(decision -> decision.offset() + " " + decision.acceptance().accepted())
                .orElse("unknown");
    }
}
