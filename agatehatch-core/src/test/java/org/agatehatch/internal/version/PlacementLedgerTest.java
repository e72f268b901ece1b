package org.agatehatch.internal.version;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.placement.ChargeState;
import org.agatehatch.internal.version.record.StateRecord.IntentKind;
import org.agatehatch.internal.version.record.StateRecord.OrderSettled;
import org.agatehatch.internal.version.record.StateRecord.PlacementIntent;
import org.agatehatch.internal.version.record.StateRecord.SettledOutcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class PlacementLedgerTest {
    private final Catalogue catalogue = catalogueBuilder().build();
    private final PlacementLedger ledger = new PlacementLedger();
    private long offset;

    private static TestCatalogueBuilder catalogueBuilder() {
        return new TestCatalogueBuilder(2, 10, 1)
                .runner("r1", "a", 2, 100, true)
                .runner("r2", "b", 2, 100, true)
                .runner("plain", "b", 1, 100, false)
                .model("m", "v1", 60, 1, 1)
                .model("n", "v1", 50, 1, 1)
                .model("wide", "v1", 60, 2, 1)
                .model("tiny", "v1", 1, 1, 1)
                .adapter("m-adapter", "m");
    }

    private static PlacementLedgerTest newLedgerTest() {
        return new PlacementLedgerTest();
    }

    private boolean applyIntent(IntentKind kind, String order, String model, String runner, Integer... accelerators) {
        long memory = catalogue.models().get(model).memoryMib();
        return applyIntent(kind, order, model, "v1", runner, memory, accelerators);
    }

    private boolean applyIntent(
            IntentKind kind, String order, String model, String version, String runner, long mib, Integer... on) {
        PlacementIntent intent = new PlacementIntent(
                "rec" + offset, "pool", 7, kind, order, model, version, runner, List.of(on), mib, "", "test");
        return ledger.apply(++offset, intent, catalogue).accepted();
    }

    private boolean applySettlement(String order, SettledOutcome outcome, String epoch, int copies) {
        OrderSettled settled = new OrderSettled("rec" + offset, "pool", 7, order, outcome, epoch, 1, copies);
        return ledger.apply(++offset, settled, catalogue).accepted();
    }

    private void loadReady(String order, String model, String runner, Integer... accelerators) {
        assertTrue(applyIntent(IntentKind.LOAD, order, model, runner, accelerators));
        assertTrue(applySettlement(order, SettledOutcome.READY, "e1", 0));
    }

    @DataProvider
    public Object[][] refused_intents() {
        return new Object[][] {
            {"memory of one accelerator", IntentKind.LOAD, "x", "m", "v1", "r1", 60L, new Integer[] {0}},
            {"memory of the second accelerator", IntentKind.LOAD, "x", "wide", "v1", "r1", 60L, new Integer[] {1, 0}},
            {"reservations count", IntentKind.RESERVE, "x", "m", "v1", "r1", 60L, new Integer[] {0}},
            {"unknown runner", IntentKind.LOAD, "x", "m", "v1", "r9", 60L, new Integer[] {0}},
            {"unknown model", IntentKind.LOAD, "x", "zzz", "v1", "r2", 60L, new Integer[] {0}},
            {"old version", IntentKind.LOAD, "x", "m", "v0", "r2", 60L, new Integer[] {0}},
            {"less memory than catalogued", IntentKind.LOAD, "x", "m", "v1", "r2", 6L, new Integer[] {0}},
            {"accelerator out of range", IntentKind.LOAD, "x", "m", "v1", "r2", 60L, new Integer[] {2}},
            {"same accelerator twice", IntentKind.LOAD, "x", "wide", "v1", "r2", 50L, new Integer[] {0, 0}},
            {"adapter", IntentKind.LOAD, "x", "m-adapter", "v1", "r2", 10L, new Integer[] {}},
            {"order id in use", IntentKind.LOAD, "o1", "tiny", "v1", "r2", 1L, new Integer[] {0}},
            {"model charged on the runner", IntentKind.LOAD, "x", "n", "v1", "r1", 50L, new Integer[] {1}},
            {
                "reservation on a runner without checks",
                IntentKind.RESERVE,
                "x",
                "m",
                "v1",
                "plain",
                60L,
                new Integer[] {0}
            },
            {"unload of nothing", IntentKind.UNLOAD, "x", "m", "v1", "r1", 60L, new Integer[] {0}},
            {"cancel of a load", IntentKind.CANCEL_RESERVE, "o1", "n", "v1", "r1", 50L, new Integer[] {0}},
            {"unload of a last ready replica", IntentKind.UNLOAD, "o1", "n", "v1", "r1", 50L, new Integer[] {0}},
            {"unload of a reservation", IntentKind.UNLOAD, "o2", "tiny", "v1", "r2", 1L, new Integer[] {1}},
        };
    }

    @Test(dataProvider = "refused_intents")
    public void refused_intents_change_nothing(
            String why,
            IntentKind kind,
            String order,
            String model,
            String version,
            String runner,
            long mib,
            Integer[] on) {
        PlacementLedgerTest test = newLedgerTest();
        test.loadReady("o1", "n", "r1", 0);
        assertTrue(test.applyIntent(IntentKind.RESERVE, "o2", "tiny", "r2", 1));
        PlacementLedger.Snapshot before = test.ledger.snapshot();
        assertFalse(test.applyIntent(kind, order, model, version, runner, mib, on), why);
        assertEquals(test.ledger.snapshot(), before, why);
    }

    @Test
    public void counts_store_loads_until_they_are_settled() {
        PlacementLedgerTest test = newLedgerTest();
        assertTrue(test.applyIntent(IntentKind.LOAD, "a", "n", "r1", 0));
        assertTrue(test.applyIntent(IntentKind.LOAD, "b", "n", "r2", 0));
        assertFalse(test.applyIntent(IntentKind.LOAD, "c", "tiny", "r2", 1), "the limit is 2 concurrent loads");
        assertTrue(test.applySettlement("a", SettledOutcome.READY, "e1", 0));
        assertTrue(test.applyIntent(IntentKind.LOAD, "c", "tiny", "r2", 1));
    }

    @Test
    public void load_uses_its_own_reservation_and_keeps_its_order_id() {
        PlacementLedgerTest test = newLedgerTest();
        assertTrue(test.applyIntent(IntentKind.RESERVE, "s", "m", "r1", 0));
        assertFalse(test.applyIntent(IntentKind.LOAD, "x", "m", "r1", 1), "the reservation is on another accelerator");
        assertTrue(test.applyIntent(IntentKind.LOAD, "s", "m", "r1", 0));
        assertEquals(test.ledger.usedMib("r1", 0), 60);
        assertEquals(test.ledger.entry("s").orElseThrow().charge().state(), ChargeState.LOADING);
        assertTrue(test.ledger.entry("s").orElseThrow().reserved());
    }

    @Test
    public void cancelled_reservation_stays_charged_until_settled() {
        PlacementLedgerTest test = newLedgerTest();
        assertTrue(test.applyIntent(IntentKind.RESERVE, "s", "m", "r1", 0));
        assertTrue(test.applyIntent(IntentKind.CANCEL_RESERVE, "s", "m", "r1", 0));
        // A node that is disconnected from the log may still order the reserved load.
        assertFalse(test.applyIntent(IntentKind.LOAD, "x", "n", "r1", 0));
        assertTrue(test.applySettlement("s", SettledOutcome.ABSENT, "e1", 0));
        assertTrue(test.applyIntent(IntentKind.LOAD, "x", "n", "r1", 0));
    }

    @Test
    public void unloads_a_replica_only_while_another_is_ready_in_the_catalogue() {
        PlacementLedgerTest test = newLedgerTest();
        test.loadReady("a", "m", "r1", 0);
        test.loadReady("b", "m", "r2", 0);
        assertTrue(test.applyIntent(IntentKind.UNLOAD, "a", "m", "r1", 0));
        assertFalse(test.applyIntent(IntentKind.UNLOAD, "b", "m", "r2", 0), "the other replica is being unloaded");
        assertFalse(test.applySettlement("a", SettledOutcome.READY, "e1", 0), "an unload cannot be taken back");
        assertEquals(test.ledger.readyRunnersByModel(), Map.of("m", List.of("r2")));
    }

    @Test
    public void a_replica_on_a_runner_outside_the_catalogue_does_not_count_as_another_replica() {
        PlacementLedgerTest test = newLedgerTest();
        test.loadReady("a", "m", "r1", 0);
        test.loadReady("b", "m", "r2", 0);
        PlacementIntent unload = new PlacementIntent(
                "u", "pool", 7, IntentKind.UNLOAD, "a", "m", "v1", "r1", List.of(0), 60, "", "test");
        assertFalse(test.ledger
                .apply(99, unload, catalogueBuilder().without("r2").build())
                .accepted());
        assertEquals(test.ledger.usedMib("r2", 0), 60, "charges of a runner outside the catalogue stay");
        assertTrue(test.ledger
                .apply(
                        99,
                        unload,
                        catalogueBuilder()
                                .without("m")
                                .without("m-adapter")
                                .without("r2")
                                .build())
                .accepted());
    }

    @Test
    public void adoption_overcommits_memory_and_blocks_further_loads() {
        PlacementLedgerTest test = newLedgerTest();
        test.loadReady("a", "m", "r1", 0);
        assertTrue(test.applyIntent(IntentKind.ADOPT, "late", "m", "v0", "r1", 80, 0));
        assertEquals(test.ledger.usedMib("r1", 0), 140);
        assertFalse(test.applyIntent(IntentKind.LOAD, "x", "tiny", "r1", 0));
        assertTrue(test.ledger.shrinkViolations(test.catalogue, test.catalogue).isEmpty());
    }

    @Test
    public void unanswered_copies_keep_the_charge_until_the_epoch_changes() {
        PlacementLedgerTest test = newLedgerTest();
        assertTrue(test.applyIntent(IntentKind.LOAD, "a", "m", "plain", 0));
        assertTrue(test.applySettlement("a", SettledOutcome.IN_DOUBT, "e1", 2));
        assertFalse(test.applySettlement("a", SettledOutcome.ABSENT, "e1", 1));
        assertEquals(test.ledger.usedMib("plain", 0), 60);
        assertTrue(test.applySettlement("a", SettledOutcome.ABSENT, "e2", 1));
        assertEquals(test.ledger.usedMib("plain", 0), 0);
        assertFalse(test.applySettlement("a", SettledOutcome.READY, "e2", 0), "a settled order stays settled");
    }

    @Test
    public void catalogue_change_cannot_reduce_memory_below_the_charges() {
        PlacementLedgerTest test = newLedgerTest();
        test.loadReady("a", "m", "r1", 1);
        assertFalse(test.ledger.wouldShrinkBelowCharges(test.catalogue));
        assertTrue(test.ledger.wouldShrinkBelowCharges(
                catalogueBuilder().runner("r1", "a", 2, 59, true).build()));
        assertTrue(test.ledger.wouldShrinkBelowCharges(
                catalogueBuilder().runner("r1", "a", 1, 100, true).build()));
        assertFalse(test.ledger.wouldShrinkBelowCharges(
                catalogueBuilder().runner("r1", "a", 2, 60, true).build()));
    }

    @Test
    public void roles_follow_intents() {
        PlacementLedgerTest test = newLedgerTest();
        PlacementIntent prompt = new PlacementIntent(
                "p", "pool", 7, IntentKind.SET_ROLE, "x", "", "", "r1", List.of(), 0, "prompt", "test");
        PlacementIntent wrong = new PlacementIntent(
                "w", "pool", 7, IntentKind.SET_ROLE, "x", "", "", "r1", List.of(), 0, "judge", "test");
        assertTrue(test.ledger.apply(1, prompt, test.catalogue).accepted());
        assertFalse(test.ledger.apply(2, wrong, test.catalogue).accepted());
        assertEquals(test.ledger.roles(), Map.of("r1", "prompt"));
    }

    /**
     * Guards against state that is missing in a snapshot, which makes a restored ledger decide differently from its
     * source.
     */
    @Test
    public void restored_ledger_decides_like_its_source() {
        Random random = new Random(11);
        PlacementLedgerTest test = newLedgerTest();
        PlacementLedger copy = new PlacementLedger();
        String[] models = {"m", "n", "wide", "tiny"};
        String[] runners = {"r1", "r2", "plain"};
        for (int i = 0; i < 3000; i++) {
            String model = models[random.nextInt(4)];
            Integer[] on = model.equals("wide") ? new Integer[] {0, 1} : new Integer[] {random.nextInt(2)};
            PlacementIntent intent = new PlacementIntent(
                    "i" + i,
                    "pool",
                    7,
                    IntentKind.values()[random.nextInt(5)],
                    "o" + random.nextInt(9),
                    model,
                    "v1",
                    runners[random.nextInt(3)],
                    List.of(on),
                    test.catalogue.models().get(model).memoryMib(),
                    "",
                    "");
            OrderSettled settled = new OrderSettled(
                    "s" + i,
                    "pool",
                    7,
                    "o" + random.nextInt(9),
                    SettledOutcome.values()[random.nextInt(3)],
                    "e" + random.nextInt(3),
                    i,
                    random.nextInt(2));
            assertEquals(copy.apply(i, intent, test.catalogue), test.ledger.apply(i, intent, test.catalogue));
            assertEquals(copy.apply(i, settled, test.catalogue), test.ledger.apply(i, settled, test.catalogue));
            assertEquals(copy.charges(), test.ledger.charges());
            copy = PlacementLedger.restore(test.ledger.snapshot());
        }
    }
}
