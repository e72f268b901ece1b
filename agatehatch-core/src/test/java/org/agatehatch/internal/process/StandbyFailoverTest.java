package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.placement.ChargeState;
import org.agatehatch.internal.process.FakeEngines.OrderDelivery;
import org.agatehatch.internal.version.PlacementLedger;
import org.agatehatch.internal.version.TestCatalogueBuilder;
import org.agatehatch.internal.version.record.StateRecord.IntentKind;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class StandbyFailoverTest {
    private PlacementTestHarness harness;
    private PlacementTestHarness.Holder holder;
    private final Set<String> dead = new HashSet<>();

    @BeforeMethod
    public void place_a_model_with_a_reserved_standby() {
        Catalogue catalogue = new TestCatalogueBuilder(2, 10, 1)
                .runners(true, "a1", "b1")
                .model("m", "v1", 60, 1, 1)
                .build();
        dead.clear();
        harness = new PlacementTestHarness(catalogue);
        holder = harness.holder(1);
        holder.runFor(20_000);
        assertEquals(harness.chargeState("m"), ChargeState.READY);
        assertEquals(harness.log.countAccepted(IntentKind.RESERVE), 1);
    }

    private StandbyFailover newFailover(long seed, PlacementLedger ledger) {
        return new StandbyFailover(
                new StandbyFailover.Sources(
                        () -> harness.log.catalogue, () -> ledger, () -> harness.log.down, dead::contains),
                harness.engines,
                harness.engines.clock,
                new Random(seed),
                PlacementTestHarness.TIMES);
    }

    private void runFor(List<StandbyFailover> nodes, long millis) {
        for (long end = harness.nowMillis() + millis; harness.nowMillis() < end; harness.advance(250)) {
            nodes.forEach(StandbyFailover::tick);
        }
    }

    private void killOnlyRunner() {
        harness.engines.crash("a1");
        harness.engines.engine("a1").down = true;
        dead.add("a1");
    }

    @Test
    public void a_reserved_load_ordered_by_several_nodes_yields_one_residency() {
        List<StandbyFailover> nodes = IntStream.range(0, 3)
                .mapToObj(i -> newFailover(i, PlacementLedger.restore(harness.log.ledger.snapshot())))
                .toList();
        harness.log.down = true;
        runFor(nodes, 5_000);
        assertEquals(harness.engines.sentOrders.size(), 1, "nothing is ordered while the runner is alive");
        killOnlyRunner();
        harness.engines.nextDeliveries.add(OrderDelivery.LOSE);
        runFor(nodes, 20_000);
        assertEquals(harness.engines.engine("b1").models.size(), 1);
        nodes.forEach(node -> assertEquals(node.readyStandbys(), Map.of("m", List.of("b1"))));
        harness.log.down = false;
        holder.runFor(30_000);
        assertEquals(harness.log.ledger.readyRunnersByModel().get("m"), List.of("a1", "b1"));
        harness.engines.engine("a1").down = false;
        holder.runFor(30_000);
        assertEquals(harness.log.ledger.readyRunnersByModel().get("m"), List.of("b1"), "a1's replica died");
    }

    /**
     * Guards against freeing the memory of a cancelled reservation while its runner still accepts the reserved load.
     */
    @Test
    public void cancelled_reservation_cannot_be_loaded_by_a_node_that_missed_the_cancellation() {
        PlacementLedger before = PlacementLedger.restore(harness.log.ledger.snapshot());
        harness.log.catalogue = new TestCatalogueBuilder(2, 10, 1)
                .runners(true, "a1", "b1")
                .model("m", "v1", 60, 1, 1)
                .model("n", "v1", 90, 1, 1)
                .build();
        holder.runFor(30_000);
        assertEquals(harness.chargeState("n"), ChargeState.READY);
        harness.log.down = true;
        dead.add("a1");
        runFor(List.of(newFailover(5, before)), 30_000);
        assertTrue(harness.engines.sentOrders.size() > 3, "the stale node has ordered the load");
        assertEquals(
                harness.engines.actualMemoryMib(
                        harness.log.catalogue.backendServers().get("b1"), 0),
                90);
    }

    /**
     * Guards against a log record in each tick while the store limit refuses the load that was started in an outage.
     */
    @Test
    public void a_refused_intent_for_a_reserved_load_is_not_repeated_in_each_tick() {
        harness.log.down = true;
        killOnlyRunner();
        runFor(List.of(newFailover(1, harness.log.ledger)), 20_000);
        harness.log.down = false;
        harness.log.catalogue = new TestCatalogueBuilder(0, 10, 1)
                .runners(true, "a1", "b1")
                .model("m", "v1", 60, 1, 1)
                .build();
        long before = harness.log.lastOffset;
        holder.runFor(20_000);
        long refused = harness.log.lastOffset - before;
        assertTrue(refused >= 2 && refused <= 12, "records in 20 s: " + refused);
    }

    @Test
    public void nothing_is_ordered_while_the_log_is_up() {
        StandbyFailover node = newFailover(1, harness.log.ledger);
        killOnlyRunner();
        int before = harness.engines.sentOrders.size();
        runFor(List.of(node), 20_000);
        assertEquals(harness.engines.sentOrders.size(), before);
        assertEquals(node.readyStandbys(), Map.of());
    }
}
