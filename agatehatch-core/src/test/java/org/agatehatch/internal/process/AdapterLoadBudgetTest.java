package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.agatehatch.internal.time.VirtualClock;
import org.testng.annotations.Test;

public class AdapterLoadBudgetTest {
    private final VirtualClock clock = new VirtualClock();

    @Test
    public void slots_of_all_nodes_sum_up_to_the_limit_for_any_demand() {
        Random random = new Random(11);
        for (int run = 0; run < 500; run++) {
            Map<String, Double> demand = new HashMap<>();
            int nodes = 1 + random.nextInt(390);
            for (int i = 0; i < nodes; i++) {
                demand.put("node-" + i, random.nextInt(3) == 0 ? 0 : random.nextDouble() * 100);
            }
            int limit = 1 + random.nextInt(30);
            int sum = AdapterLoadBudget.apportionment(limit, demand).values().stream()
                    .mapToInt(Integer::intValue)
                    .sum();
            assertEquals(sum, limit, nodes + " nodes");
        }
    }

    @Test
    public void unequal_demand_gets_slots_in_proportion() {
        Map<String, Integer> slots = AdapterLoadBudget.apportionment(30, Map.of("a", 60.0, "b", 30.0, "c", 10.0));
        assertEquals(slots, Map.of("a", 17, "b", 9, "c", 4));
    }

    @Test
    public void a_node_without_demand_keeps_a_slot_where_the_limit_allows() {
        Map<String, Integer> slots = AdapterLoadBudget.apportionment(30, Map.of("busy", 50.0, "idle", 0.0));
        assertEquals(slots, Map.of("busy", 29, "idle", 1));
    }

    @Test
    public void a_nan_demand_takes_no_slots_from_other_nodes() {
        Map<String, Integer> slots = AdapterLoadBudget.apportionment(10, Map.of("a", 5.0, "b", Double.NaN));
        assertEquals(slots.get("a") + slots.get("b"), 10);
        assertTrue(slots.get("a") >= 9, slots.toString());
    }

    @Test
    public void loads_in_flight_never_exceed_the_slots_of_the_node() {
        AdapterLoadBudget budget = new AdapterLoadBudget("a", clock);
        assertFalse(budget.tryAcquire(), "no slots before the first apportionment");
        budget.apportion(4, Map.of("a", 1.0, "b", 1.0));
        assertTrue(budget.tryAcquire());
        assertTrue(budget.tryAcquire());
        assertFalse(budget.tryAcquire());
        budget.release();
        assertTrue(budget.hasFreeSlot());
        budget.apportion(1, Map.of("a", 1.0));
        assertFalse(budget.tryAcquire(), "one load is still in flight");
    }

    @Test
    public void demand_follows_the_rate_of_requested_loads() {
        AdapterLoadBudget budget = new AdapterLoadBudget("a", clock);
        for (int i = 0; i < 300; i++) {
            budget.recordDemand();
            clock.advanceMillis(100);
        }
        assertEquals(budget.demandPerSecond(), 10, 0.5);
        clock.advanceMillis(60_000);
        assertEquals(budget.demandPerSecond(), 0, 0.01);
    }
}
