package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.engine.EngineInventory.ResidentModel;
import org.agatehatch.api.engine.EngineOrder;
import org.agatehatch.api.engine.OrderKind;
import org.agatehatch.api.engine.OrderReply;
import org.agatehatch.api.placement.ChargeState;
import org.agatehatch.internal.process.FakeEngines.Fate;
import org.agatehatch.internal.version.TestCatalogueBuilder;
import org.agatehatch.internal.version.record.StateRecord.IntentKind;
import org.agatehatch.internal.version.record.StateRecord.PlacementIntent;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class PlacementExecutorTest {
    private static Catalogue one(boolean checks) {
        return new TestCatalogueBuilder(4, 10, 1)
                .runner("r1", "a", 1, 100, checks)
                .model("m", "v1", 60, 1, 1)
                .build();
    }

    private static Catalogue without(Catalogue catalogue) {
        return new Catalogue(
                2, catalogue.classes(), Map.of(), catalogue.pools(), catalogue.backendServers(), Map.of(), Map.of());
    }

    @DataProvider
    public Object[][] checking() {
        return new Object[][] {{true}, {false}};
    }

    private static long sent(PlacementBench bench, OrderKind kind) {
        return bench.engines.sent.stream().filter(order -> order.kind() == kind).count();
    }

    @Test(dataProvider = "checking")
    public void loads_and_unloads_with_the_intents_own_offset(boolean checks) {
        PlacementBench bench = new PlacementBench(one(checks));
        PlacementBench.Holder holder = bench.holder(1);
        holder.run(8_000);
        assertEquals(bench.state("m"), ChargeState.READY);
        assertEquals(bench.engines.sent.get(0).fencingNumber(), bench.entry("m").fencingNumber());
        bench.log.catalogue = without(bench.log.catalogue);
        holder.run(8_000);
        assertNull(bench.state("m"), "the memory is free again");
        assertTrue(bench.engines.engine("r1").models.isEmpty());
        assertEquals(bench.engines.sent.size(), 2);
    }

    @Test
    public void sends_nothing_without_an_accepted_intent_or_a_held_lease() {
        PlacementBench bench = new PlacementBench(one(true));
        PlacementBench.Holder holder = bench.holder(1);
        bench.log.down = true;
        holder.run(10_000);
        assertEquals(bench.engines.sent.size(), 0, "no intent was read back");
        bench.log.down = false;
        bench.log.beforeIntent = intent -> bench.log.lease = -2;
        holder.run(20_000);
        assertEquals(bench.log.countAccepted(IntentKind.LOAD), 1);
        assertEquals(bench.engines.sent.size(), 0, "the lease was lost between the intent and the order");
    }

    /** Guards against a pause between the start of a tick and the order: the term ends in between. */
    @Test
    public void checks_the_lease_right_before_each_order() {
        PlacementBench bench = new PlacementBench(one(true));
        PlacementBench.Holder holder = bench.holder(1);
        while (bench.state("m") == null) {
            holder.tick();
        }
        bench.leaseChecksLeft = 1;
        holder.tick();
        assertEquals(bench.engines.sent.size(), 0);
        bench.leaseChecksLeft = Integer.MAX_VALUE;
        holder.run(10_000);
        assertEquals(bench.state("m"), ChargeState.READY);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {true, Fate.LOSE},
            {true, Fate.LOSE_REPLY},
            {true, Fate.DOUBLE},
            {true, Fate.HOLD},
            {false, Fate.LOSE},
            {false, Fate.LOSE_REPLY},
            {false, Fate.HOLD},
        };
    }

    @Test(dataProvider = "faults")
    public void load_becomes_ready_though_its_first_copy_meets_a_fault(boolean checks, Fate fate) {
        PlacementBench bench = new PlacementBench(one(checks));
        PlacementBench.Holder holder = bench.holder(1);
        bench.engines.fates.add(fate);
        holder.run(40_000);
        assertEquals(bench.state("m"), ChargeState.READY);
        boolean copyOut = !checks && (fate == Fate.LOSE || fate == Fate.HOLD);
        assertEquals(bench.entry("m").unansweredCopies(), copyOut ? 1 : 0);
    }

    /** Guards against freeing memory that a held load can still take after the model was unloaded. */
    @Test(dataProvider = "checking")
    public void late_load_after_the_unload_never_finds_its_memory_given_away(boolean checks) {
        PlacementBench bench = new PlacementBench(one(checks));
        PlacementBench.Holder holder = bench.holder(1);
        bench.engines.fates.add(Fate.HOLD);
        holder.run(40_000);
        assertEquals(bench.state("m"), ChargeState.READY);
        bench.log.catalogue = new TestCatalogueBuilder(4, 10, 1)
                .runner("r1", "a", 1, 100, checks)
                .model("other", "v1", 90, 1, 1)
                .build();
        holder.run(40_000);
        assertEquals(bench.state("other"), checks ? ChargeState.READY : null);
        bench.engines.deliver(0);
        assertEquals(
                bench.engines.trueMemoryMib(bench.log.catalogue.backendServers().get("r1"), 0), checks ? 90 : 60);
        if (!checks) {
            assertEquals(bench.state("m"), ChargeState.IN_DOUBT);
            bench.engines.crash("r1");
            holder.run(40_000);
            assertNull(bench.state("m"), "the new process has no copies under way");
            assertEquals(bench.state("other"), ChargeState.READY);
        }
    }

    @Test
    public void reordered_orders_to_one_runner_end_in_the_wanted_state() {
        Catalogue catalogue = new TestCatalogueBuilder(4, 10, 1)
                .runner("r1", "a", 2, 100, true)
                .model("m", "v1", 60, 1, 1)
                .model("n", "v1", 60, 1, 1)
                .build();
        PlacementBench bench = new PlacementBench(catalogue);
        PlacementBench.Holder holder = bench.holder(1);
        bench.engines.fates.addAll(List.of(Fate.HOLD, Fate.HOLD));
        holder.run(12_000);
        while (!bench.engines.held.isEmpty()) {
            bench.engines.deliver(bench.engines.held.size() - 1);
        }
        holder.run(60_000);
        assertEquals(bench.state("m"), ChargeState.READY);
        assertEquals(bench.state("n"), ChargeState.READY);
    }

    @Test(dataProvider = "checking")
    public void lagging_inventory_proves_nothing_too_early(boolean checks) {
        PlacementBench bench = new PlacementBench(one(checks));
        PlacementBench.Holder holder = bench.holder(1);
        holder.tick();
        bench.engines.lagVersions = 3;
        holder.run(30_000);
        assertEquals(bench.state("m"), ChargeState.LOADING, "the inventory does not show the load yet");
        assertEquals(sent(bench, OrderKind.LOAD), 1, "an acknowledged load is not repeated");
        bench.engines.lagVersions = 0;
        holder.run(5_000);
        assertEquals(bench.state("m"), ChargeState.READY);
    }

    @Test(dataProvider = "checking")
    public void new_holder_drives_the_former_holders_load_to_an_end(boolean checks) {
        PlacementBench bench = new PlacementBench(one(checks));
        PlacementBench.Holder first = bench.holder(1);
        bench.engines.fates.add(Fate.HOLD);
        first.run(1_000);
        assertEquals(bench.state("m"), ChargeState.LOADING);
        PlacementBench.Holder second = bench.holder(2);
        first.run(10_000);
        assertEquals(bench.engines.sent.size(), 1, "the former holder has stopped");
        second.run(40_000);
        assertEquals(bench.state("m"), ChargeState.READY);
        assertEquals(bench.log.countAccepted(IntentKind.LOAD), 1, "the intent is not repeated");
        assertEquals(bench.entry("m").unansweredCopies(), checks ? 0 : 1, "the former holder's copy is counted");
    }

    @Test
    public void paused_holder_sends_nothing_after_its_lease_went() {
        PlacementBench bench = new PlacementBench(one(true));
        PlacementBench.Holder paused = bench.holder(1);
        paused.tick();
        paused.tick();
        int before = bench.engines.sent.size();
        PlacementBench.Holder second = bench.holder(2);
        bench.pass(60_000);
        paused.tick();
        paused.tick();
        assertEquals(bench.engines.sent.size(), before);
        second.run(10_000);
        assertEquals(bench.state("m"), ChargeState.READY);
    }

    @Test(dataProvider = "checking")
    public void two_holders_in_a_row_lose_neither_loads_nor_unloads(boolean checks) {
        PlacementBench bench = new PlacementBench(one(checks));
        bench.holder(1).run(8_000);
        bench.log.catalogue = without(bench.log.catalogue);
        bench.engines.fates.add(Fate.LOSE);
        bench.holder(2).run(6_000);
        assertEquals(bench.entry("m").unloading(), true);
        bench.holder(3).run(60_000);
        assertTrue(bench.engines.engine("r1").models.isEmpty());
        assertEquals(bench.state("m"), checks ? null : ChargeState.IN_DOUBT, "the lost copy may still arrive");
    }

    @Test
    public void uncharged_resident_is_charged_and_then_unloaded() {
        PlacementBench bench = new PlacementBench(one(true));
        bench.engines.engine("r1").models.put("ghost", new ResidentModel("old", "v0", "ghost", List.of(0), 70, true));
        PlacementBench.Holder holder = bench.holder(1);
        holder.run(20_000);
        assertEquals(bench.log.countAccepted(IntentKind.ADOPT), 1);
        assertFalse(bench.engines.engine("r1").models.containsKey("ghost"));
        assertEquals(bench.state("m"), ChargeState.READY);
        IntentKind firstKind = ((PlacementIntent) bench.log.accepted.get(0)).kind();
        assertEquals(firstKind, IntentKind.ADOPT, "charged before anything else is placed");
    }

    @Test(dataProvider = "checking")
    public void crash_is_settled_by_the_new_epoch_and_the_model_loaded_again(boolean checks) {
        PlacementBench bench = new PlacementBench(one(checks));
        PlacementBench.Holder holder = bench.holder(1);
        holder.run(8_000);
        bench.engines.crash("r1");
        holder.run(15_000);
        assertEquals(bench.state("m"), ChargeState.READY);
        assertEquals(List.copyOf(bench.engines.readyRunners("m").values()), List.of("r1"));
        assertEquals(bench.log.countAccepted(IntentKind.LOAD), 2);
    }

    @Test
    public void lost_append_answer_neither_doubles_nor_loses_the_load() {
        PlacementBench bench = new PlacementBench(one(true));
        bench.log.answersToLose = 1;
        PlacementBench.Holder holder = bench.holder(1);
        holder.run(30_000);
        assertEquals(bench.state("m"), ChargeState.READY);
        assertEquals(bench.log.countAccepted(IntentKind.LOAD), 1);
    }

    /** Guards against a retry storm while the store fails: 600 s with full backoff allow few tries. */
    @Test
    public void failing_store_is_tried_ever_more_seldom() {
        PlacementBench bench = new PlacementBench(one(true));
        bench.engines.engine("r1").refuseLoads = OrderReply.Status.REFUSED;
        PlacementBench.Holder holder = bench.holder(1);
        holder.run(600_000);
        long tries = sent(bench, OrderKind.LOAD);
        assertTrue(tries >= 10 && tries <= 70, "tries: " + tries);
        bench.engines.engine("r1").refuseLoads = null;
        holder.run(60_000);
        assertEquals(bench.state("m"), ChargeState.READY);
    }

    @Test
    public void loads_are_spaced_by_the_stores_rate_and_bounded_at_once() {
        TestCatalogueBuilder estate = new TestCatalogueBuilder(2, 1, 1).runner("r1", "a", 8, 100, true);
        for (int i = 0; i < 8; i++) {
            estate.model("m" + i, "v1", 60, 1, 1);
        }
        PlacementBench bench = new PlacementBench(estate.build());
        bench.engines.loadMillis = 4_000;
        PlacementBench.Holder holder = bench.holder(1);
        for (int i = 0; i < 240; i++) {
            holder.run(250);
            assertTrue(bench.log.ledger.loadsInFlight("pool") <= 2);
        }
        assertEquals(bench.log.ledger.readyRunnersByModel().size(), 8);
        List<Long> offsets =
                bench.engines.sent.stream().map(EngineOrder::fencingNumber).toList();
        assertEquals(offsets, offsets.stream().sorted().toList(), "orders to one runner go out in the log's order");
    }

    /** Guards against settling on an equal number: a second copy of a refused load would still be taken. */
    @Test
    public void refused_load_is_settled_only_after_a_higher_number_was_taken() {
        PlacementBench bench = new PlacementBench(one(true));
        bench.engines.engine("r1").refuseLoads = OrderReply.Status.REFUSED;
        bench.engines.fates.add(Fate.DOUBLE);
        PlacementBench.Holder holder = bench.holder(1);
        for (int i = 0; i < 40 && (bench.engines.sent.isEmpty() || bench.state("m") != null); i++) {
            holder.run(250);
        }
        assertNull(bench.state("m"));
        bench.engines.engine("r1").refuseLoads = null;
        bench.engines.deliver(0);
        assertTrue(bench.engines.engine("r1").models.isEmpty(), "the late copy is refused");
    }

    @Test
    public void charges_on_a_runner_that_moved_to_another_pool_are_still_settled() {
        PlacementBench bench = new PlacementBench(one(true));
        bench.holder(1).run(8_000);
        BackendServer old = bench.log.catalogue.backendServers().get("r1");
        BackendServer moved = new BackendServer("r1", old.address(), "a", "r", "elsewhere", "o", 1, 100, true);
        Catalogue c = without(bench.log.catalogue);
        bench.log.catalogue =
                new Catalogue(3, c.classes(), Map.of(), c.pools(), Map.of("r1", moved), Map.of(), Map.of());
        bench.holder(2).run(20_000);
        assertNull(bench.state("m"));
    }

    @Test
    public void role_that_differs_from_the_ledger_is_set_back() {
        PlacementBench bench = new PlacementBench(one(true));
        bench.engines.engine("r1").role = "prompt";
        bench.holder(1).run(10_000);
        assertEquals(bench.engines.engine("r1").role, "both");
    }
}
