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
import org.agatehatch.internal.process.FakeEngines.OrderDelivery;
import org.agatehatch.internal.version.TestCatalogueBuilder;
import org.agatehatch.internal.version.record.StateRecord.IntentKind;
import org.agatehatch.internal.version.record.StateRecord.PlacementIntent;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class PlacementExecutorTest {
    private static Catalogue catalogueWithOneModel(boolean checks) {
        return new TestCatalogueBuilder(4, 10, 1)
                .runner("r1", "a", 1, 100, checks)
                .model("m", "v1", 60, 1, 1)
                .build();
    }

    private static Catalogue withoutModels(Catalogue catalogue) {
        return new Catalogue(
                2, catalogue.classes(), Map.of(), catalogue.pools(), catalogue.backendServers(), Map.of(), Map.of());
    }

    @DataProvider
    public Object[][] checking() {
        return new Object[][] {{true}, {false}};
    }

    private static long countSentOrders(PlacementTestHarness harness, OrderKind kind) {
        return harness.engines.sentOrders.stream()
                .filter(order -> order.kind() == kind)
                .count();
    }

    @Test(dataProvider = "checking")
    public void orders_carry_the_offset_of_their_intent_as_fencing_number(boolean checks) {
        PlacementTestHarness harness = new PlacementTestHarness(catalogueWithOneModel(checks));
        PlacementTestHarness.Holder holder = harness.holder(1);
        holder.runFor(8_000);
        assertEquals(harness.chargeState("m"), ChargeState.READY);
        assertEquals(
                harness.engines.sentOrders.get(0).fencingNumber(),
                harness.ledgerEntry("m").fencingNumber());
        harness.log.catalogue = withoutModels(harness.log.catalogue);
        holder.runFor(8_000);
        assertNull(harness.chargeState("m"), "the memory is free again");
        assertTrue(harness.engines.engine("r1").models.isEmpty());
        assertEquals(harness.engines.sentOrders.size(), 2);
    }

    @Test
    public void sends_nothing_without_an_accepted_intent_or_a_held_lease() {
        PlacementTestHarness harness = new PlacementTestHarness(catalogueWithOneModel(true));
        PlacementTestHarness.Holder holder = harness.holder(1);
        harness.log.down = true;
        holder.runFor(10_000);
        assertEquals(harness.engines.sentOrders.size(), 0, "no intent was read back");
        harness.log.down = false;
        harness.log.beforeIntent = intent -> harness.log.leaseFencingNumber = -2;
        holder.runFor(20_000);
        assertEquals(harness.log.countAccepted(IntentKind.LOAD), 1);
        assertEquals(harness.engines.sentOrders.size(), 0, "the lease was lost between the intent and the order");
    }

    /**
     * Guards against sending an order after the lease expired in a pause between the start of the tick and the send.
     */
    @Test
    public void checks_the_lease_right_before_each_order() {
        PlacementTestHarness harness = new PlacementTestHarness(catalogueWithOneModel(true));
        PlacementTestHarness.Holder holder = harness.holder(1);
        while (harness.chargeState("m") == null) {
            holder.tick();
        }
        harness.leaseChecksLeft = 1;
        holder.tick();
        assertEquals(harness.engines.sentOrders.size(), 0);
        harness.leaseChecksLeft = Integer.MAX_VALUE;
        holder.runFor(10_000);
        assertEquals(harness.chargeState("m"), ChargeState.READY);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {true, OrderDelivery.LOSE},
            {true, OrderDelivery.LOSE_REPLY},
            {true, OrderDelivery.DUPLICATE},
            {true, OrderDelivery.HOLD},
            {false, OrderDelivery.LOSE},
            {false, OrderDelivery.LOSE_REPLY},
            {false, OrderDelivery.HOLD},
        };
    }

    @Test(dataProvider = "faults")
    public void load_becomes_ready_despite_a_fault_of_its_first_copy(boolean checks, OrderDelivery fate) {
        PlacementTestHarness harness = new PlacementTestHarness(catalogueWithOneModel(checks));
        PlacementTestHarness.Holder holder = harness.holder(1);
        harness.engines.nextDeliveries.add(fate);
        holder.runFor(40_000);
        assertEquals(harness.chargeState("m"), ChargeState.READY);
        boolean copyUnanswered = !checks && (fate == OrderDelivery.LOSE || fate == OrderDelivery.HOLD);
        assertEquals(harness.ledgerEntry("m").unansweredCopies(), copyUnanswered ? 1 : 0);
    }

    /** Guards against freeing memory that a delayed load order can still occupy after its model was unloaded. */
    @Test(dataProvider = "checking")
    public void memory_is_not_reused_while_a_late_load_can_still_occupy_it(boolean checks) {
        PlacementTestHarness harness = new PlacementTestHarness(catalogueWithOneModel(checks));
        PlacementTestHarness.Holder holder = harness.holder(1);
        harness.engines.nextDeliveries.add(OrderDelivery.HOLD);
        holder.runFor(40_000);
        assertEquals(harness.chargeState("m"), ChargeState.READY);
        harness.log.catalogue = new TestCatalogueBuilder(4, 10, 1)
                .runner("r1", "a", 1, 100, checks)
                .model("other", "v1", 90, 1, 1)
                .build();
        holder.runFor(40_000);
        assertEquals(harness.chargeState("other"), checks ? ChargeState.READY : null);
        harness.engines.deliverHeld(0);
        assertEquals(
                harness.engines.actualMemoryMib(
                        harness.log.catalogue.backendServers().get("r1"), 0),
                checks ? 90 : 60);
        if (!checks) {
            assertEquals(harness.chargeState("m"), ChargeState.IN_DOUBT);
            harness.engines.crash("r1");
            holder.runFor(40_000);
            assertNull(harness.chargeState("m"), "no copy is in flight to the new process");
            assertEquals(harness.chargeState("other"), ChargeState.READY);
        }
    }

    @Test
    public void reordered_orders_to_one_runner_converge_to_the_planned_state() {
        Catalogue catalogue = new TestCatalogueBuilder(4, 10, 1)
                .runner("r1", "a", 2, 100, true)
                .model("m", "v1", 60, 1, 1)
                .model("n", "v1", 60, 1, 1)
                .build();
        PlacementTestHarness harness = new PlacementTestHarness(catalogue);
        PlacementTestHarness.Holder holder = harness.holder(1);
        harness.engines.nextDeliveries.addAll(List.of(OrderDelivery.HOLD, OrderDelivery.HOLD));
        holder.runFor(12_000);
        while (!harness.engines.heldOrders.isEmpty()) {
            harness.engines.deliverHeld(harness.engines.heldOrders.size() - 1);
        }
        holder.runFor(60_000);
        assertEquals(harness.chargeState("m"), ChargeState.READY);
        assertEquals(harness.chargeState("n"), ChargeState.READY);
    }

    @Test(dataProvider = "checking")
    public void a_lagging_inventory_does_not_settle_a_load(boolean checks) {
        PlacementTestHarness harness = new PlacementTestHarness(catalogueWithOneModel(checks));
        PlacementTestHarness.Holder holder = harness.holder(1);
        holder.tick();
        harness.engines.inventoryLagVersions = 3;
        holder.runFor(30_000);
        assertEquals(harness.chargeState("m"), ChargeState.LOADING, "the inventory does not show the load yet");
        assertEquals(countSentOrders(harness, OrderKind.LOAD), 1, "an acknowledged load is not repeated");
        harness.engines.inventoryLagVersions = 0;
        holder.runFor(5_000);
        assertEquals(harness.chargeState("m"), ChargeState.READY);
    }

    @Test(dataProvider = "checking")
    public void new_holder_completes_the_load_of_the_former_holder(boolean checks) {
        PlacementTestHarness harness = new PlacementTestHarness(catalogueWithOneModel(checks));
        PlacementTestHarness.Holder first = harness.holder(1);
        harness.engines.nextDeliveries.add(OrderDelivery.HOLD);
        first.runFor(1_000);
        assertEquals(harness.chargeState("m"), ChargeState.LOADING);
        PlacementTestHarness.Holder second = harness.holder(2);
        first.runFor(10_000);
        assertEquals(harness.engines.sentOrders.size(), 1, "the former holder sends nothing more");
        second.runFor(40_000);
        assertEquals(harness.chargeState("m"), ChargeState.READY);
        assertEquals(harness.log.countAccepted(IntentKind.LOAD), 1, "the intent is not repeated");
        assertEquals(
                harness.ledgerEntry("m").unansweredCopies(), checks ? 0 : 1, "the former holder's copy is counted");
    }

    @Test
    public void paused_holder_sends_nothing_after_losing_its_lease() {
        PlacementTestHarness harness = new PlacementTestHarness(catalogueWithOneModel(true));
        PlacementTestHarness.Holder paused = harness.holder(1);
        paused.tick();
        paused.tick();
        int before = harness.engines.sentOrders.size();
        PlacementTestHarness.Holder second = harness.holder(2);
        harness.advance(60_000);
        paused.tick();
        paused.tick();
        assertEquals(harness.engines.sentOrders.size(), before);
        second.runFor(10_000);
        assertEquals(harness.chargeState("m"), ChargeState.READY);
    }

    @Test(dataProvider = "checking")
    public void successive_holders_lose_neither_loads_nor_unloads(boolean checks) {
        PlacementTestHarness harness = new PlacementTestHarness(catalogueWithOneModel(checks));
        harness.holder(1).runFor(8_000);
        harness.log.catalogue = withoutModels(harness.log.catalogue);
        harness.engines.nextDeliveries.add(OrderDelivery.LOSE);
        harness.holder(2).runFor(6_000);
        assertEquals(harness.ledgerEntry("m").unloading(), true);
        harness.holder(3).runFor(60_000);
        assertTrue(harness.engines.engine("r1").models.isEmpty());
        assertEquals(harness.chargeState("m"), checks ? null : ChargeState.IN_DOUBT, "the lost copy may still arrive");
    }

    @Test
    public void uncharged_resident_is_charged_and_then_unloaded() {
        PlacementTestHarness harness = new PlacementTestHarness(catalogueWithOneModel(true));
        harness.engines.engine("r1").models.put("ghost", new ResidentModel("old", "v0", "ghost", List.of(0), 70, true));
        PlacementTestHarness.Holder holder = harness.holder(1);
        holder.runFor(20_000);
        assertEquals(harness.log.countAccepted(IntentKind.ADOPT), 1);
        assertFalse(harness.engines.engine("r1").models.containsKey("ghost"));
        assertEquals(harness.chargeState("m"), ChargeState.READY);
        IntentKind firstKind = ((PlacementIntent) harness.log.accepted.get(0)).kind();
        assertEquals(firstKind, IntentKind.ADOPT, "charged before anything else is placed");
    }

    @Test(dataProvider = "checking")
    public void crash_is_settled_by_the_new_epoch_and_the_model_loaded_again(boolean checks) {
        PlacementTestHarness harness = new PlacementTestHarness(catalogueWithOneModel(checks));
        PlacementTestHarness.Holder holder = harness.holder(1);
        holder.runFor(8_000);
        harness.engines.crash("r1");
        holder.runFor(15_000);
        assertEquals(harness.chargeState("m"), ChargeState.READY);
        assertEquals(List.copyOf(harness.engines.readyRunners("m").values()), List.of("r1"));
        assertEquals(harness.log.countAccepted(IntentKind.LOAD), 2);
    }

    @Test
    public void lost_append_answer_neither_doubles_nor_loses_the_load() {
        PlacementTestHarness harness = new PlacementTestHarness(catalogueWithOneModel(true));
        harness.log.responsesToLose = 1;
        PlacementTestHarness.Holder holder = harness.holder(1);
        holder.runFor(30_000);
        assertEquals(harness.chargeState("m"), ChargeState.READY);
        assertEquals(harness.log.countAccepted(IntentKind.LOAD), 1);
    }

    /** Guards against a retry storm while the weight store fails: with full backoff, 600 s allow 10 to 70 attempts. */
    @Test
    public void loads_back_off_while_the_store_fails() {
        PlacementTestHarness harness = new PlacementTestHarness(catalogueWithOneModel(true));
        harness.engines.engine("r1").refuseLoads = OrderReply.Status.REFUSED;
        PlacementTestHarness.Holder holder = harness.holder(1);
        holder.runFor(600_000);
        long attempts = countSentOrders(harness, OrderKind.LOAD);
        assertTrue(attempts >= 10 && attempts <= 70, "tries: " + attempts);
        harness.engines.engine("r1").refuseLoads = null;
        holder.runFor(60_000);
        assertEquals(harness.chargeState("m"), ChargeState.READY);
    }

    @Test
    public void loads_keep_the_stores_rate_and_concurrency_limits() {
        TestCatalogueBuilder estate = new TestCatalogueBuilder(2, 1, 1).runner("r1", "a", 8, 100, true);
        for (int i = 0; i < 8; i++) {
            estate.model("m" + i, "v1", 60, 1, 1);
        }
        PlacementTestHarness harness = new PlacementTestHarness(estate.build());
        harness.engines.loadMillis = 4_000;
        PlacementTestHarness.Holder holder = harness.holder(1);
        for (int i = 0; i < 240; i++) {
            holder.runFor(250);
            assertTrue(harness.log.ledger.loadsInFlight("pool") <= 2);
        }
        assertEquals(harness.log.ledger.readyRunnersByModel().size(), 8);
        List<Long> offsets = harness.engines.sentOrders.stream()
                .map(EngineOrder::fencingNumber)
                .toList();
        assertEquals(offsets, offsets.stream().sorted().toList(), "orders to one runner are sent in log order");
    }

    /** Guards against settling a refused load at an equal fencing number: a second copy would still be accepted. */
    @Test
    public void refused_load_is_settled_only_after_a_higher_fencing_number_was_accepted() {
        PlacementTestHarness harness = new PlacementTestHarness(catalogueWithOneModel(true));
        harness.engines.engine("r1").refuseLoads = OrderReply.Status.REFUSED;
        harness.engines.nextDeliveries.add(OrderDelivery.DUPLICATE);
        PlacementTestHarness.Holder holder = harness.holder(1);
        for (int i = 0; i < 40 && (harness.engines.sentOrders.isEmpty() || harness.chargeState("m") != null); i++) {
            holder.runFor(250);
        }
        assertNull(harness.chargeState("m"));
        harness.engines.engine("r1").refuseLoads = null;
        harness.engines.deliverHeld(0);
        assertTrue(harness.engines.engine("r1").models.isEmpty(), "the late copy is refused");
    }

    @Test
    public void charges_on_a_runner_that_moved_to_another_pool_are_still_settled() {
        PlacementTestHarness harness = new PlacementTestHarness(catalogueWithOneModel(true));
        harness.holder(1).runFor(8_000);
        BackendServer current = harness.log.catalogue.backendServers().get("r1");
        BackendServer moved = new BackendServer("r1", current.address(), "a", "r", "elsewhere", "o", 1, 100, true);
        Catalogue c = withoutModels(harness.log.catalogue);
        harness.log.catalogue =
                new Catalogue(3, c.classes(), Map.of(), c.pools(), Map.of("r1", moved), Map.of(), Map.of());
        harness.holder(2).runFor(20_000);
        assertNull(harness.chargeState("m"));
    }

    @Test
    public void role_that_differs_from_the_ledger_is_set_back() {
        PlacementTestHarness harness = new PlacementTestHarness(catalogueWithOneModel(true));
        harness.engines.engine("r1").role = "prompt";
        harness.holder(1).runFor(10_000);
        assertEquals(harness.engines.engine("r1").role, "both");
    }
}
