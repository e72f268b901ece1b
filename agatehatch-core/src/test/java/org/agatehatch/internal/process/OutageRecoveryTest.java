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
import org.agatehatch.internal.process.FakeEngines.Fate;
import org.agatehatch.internal.version.PlacementLedger;
import org.agatehatch.internal.version.TestCatalogueBuilder;
import org.agatehatch.internal.version.record.StateRecord.IntentKind;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class OutageRecoveryTest {
    private PlacementBench bench;
    private PlacementBench.Holder holder;
    private final Set<String> dead = new HashSet<>();

    @BeforeMethod
    public void place_a_model_with_a_standby() {
        Catalogue catalogue = new TestCatalogueBuilder(2, 10, 1)
                .runners(true, "a1", "b1")
                .model("m", "v1", 60, 1, 1)
                .build();
        dead.clear();
        bench = new PlacementBench(catalogue);
        holder = bench.holder(1);
        holder.run(20_000);
        assertEquals(bench.state("m"), ChargeState.READY);
        assertEquals(bench.log.countAccepted(IntentKind.RESERVE), 1);
    }

    private OutageRecovery node(long seed, PlacementLedger ledger) {
        return new OutageRecovery(
                new OutageRecovery.Sources(
                        () -> bench.log.catalogue, () -> ledger, () -> bench.log.down, dead::contains),
                bench.engines,
                bench.engines.clock,
                new Random(seed),
                PlacementBench.TIMES);
    }

    private void run(List<OutageRecovery> nodes, long millis) {
        for (long end = bench.nowMillis() + millis; bench.nowMillis() < end; bench.pass(250)) {
            nodes.forEach(OutageRecovery::tick);
        }
    }

    private void killOnlyRunner() {
        bench.engines.crash("a1");
        bench.engines.engine("a1").down = true;
        dead.add("a1");
    }

    @Test
    public void reserved_load_is_ordered_by_several_nodes_and_is_one_residency() {
        List<OutageRecovery> nodes = IntStream.range(0, 3)
                .mapToObj(i -> node(i, PlacementLedger.restore(bench.log.ledger.snapshot())))
                .toList();
        bench.log.down = true;
        run(nodes, 5_000);
        assertEquals(bench.engines.sent.size(), 1, "nothing is ordered while the runner lives");
        killOnlyRunner();
        bench.engines.fates.add(Fate.LOSE);
        run(nodes, 20_000);
        assertEquals(bench.engines.engine("b1").models.size(), 1);
        nodes.forEach(node -> assertEquals(node.readyStandbys(), Map.of("m", List.of("b1"))));
        bench.log.down = false;
        holder.run(30_000);
        assertEquals(bench.log.ledger.readyRunnersByModel().get("m"), List.of("a1", "b1"));
        bench.engines.engine("a1").down = false;
        holder.run(30_000);
        assertEquals(bench.log.ledger.readyRunnersByModel().get("m"), List.of("b1"), "a1's replica died");
    }

    /** Guards against freeing a cancelled reservation before its runner refuses the reserved load. */
    @Test
    public void cancelled_reservation_cannot_be_loaded_by_a_node_that_missed_the_cancellation() {
        PlacementLedger before = PlacementLedger.restore(bench.log.ledger.snapshot());
        bench.log.catalogue = new TestCatalogueBuilder(2, 10, 1)
                .runners(true, "a1", "b1")
                .model("m", "v1", 60, 1, 1)
                .model("n", "v1", 90, 1, 1)
                .build();
        holder.run(30_000);
        assertEquals(bench.state("n"), ChargeState.READY);
        bench.log.down = true;
        dead.add("a1");
        run(List.of(node(5, before)), 30_000);
        assertTrue(bench.engines.sent.size() > 3, "the stale node has ordered the load");
        assertEquals(
                bench.engines.trueMemoryMib(bench.log.catalogue.backendServers().get("b1"), 0), 90);
    }

    /** Guards against a record in every tick when the store's limit refuses the load that an outage left behind. */
    @Test
    public void refused_takeover_of_a_reserved_load_is_not_repeated_in_every_tick() {
        bench.log.down = true;
        killOnlyRunner();
        run(List.of(node(1, bench.log.ledger)), 20_000);
        bench.log.down = false;
        bench.log.catalogue = new TestCatalogueBuilder(0, 10, 1)
                .runners(true, "a1", "b1")
                .model("m", "v1", 60, 1, 1)
                .build();
        long before = bench.log.offset;
        holder.run(20_000);
        long refused = bench.log.offset - before;
        assertTrue(refused >= 2 && refused <= 12, "records in 20 s: " + refused);
    }

    @Test
    public void nothing_is_ordered_while_the_log_is_up() {
        OutageRecovery node = node(1, bench.log.ledger);
        killOnlyRunner();
        int before = bench.engines.sent.size();
        run(List.of(node), 20_000);
        assertEquals(bench.engines.sent.size(), before);
        assertEquals(node.readyStandbys(), Map.of());
    }
}
