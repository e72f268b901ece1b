package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.agatehatch.api.fleet.EngineSpec;
import org.agatehatch.api.fleet.ModelSpec;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.fleet.ResidencyOrder;
import org.agatehatch.api.fleet.ResidencyOrder.Action;
import org.agatehatch.api.fleet.ResidentModel;
import org.agatehatch.api.fleet.RunnerReport;
import org.agatehatch.api.fleet.ServerEntry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a runner that is overloaded by an order that got no reply and is executed late by its next process. */
public final class LateOrdersTest {
    private static final int SEEDS = 60;
    private static final long DAY_MILLIS = 120_000;
    private static final long STEP_MILLIS = 250;
    private static final ResidencyOrder LOAD_C = new ResidencyOrder(Action.LOAD, "c", "");

    private static ResidencyFixture fleet() {
        return new ResidencyFixture()
                .model("a", 72_700, 2)
                .model("b", 72_700, 2)
                .model("c", 72_700, 2)
                .model("d", 72_700, 2);
    }

    // Guards against a late load that a restarted runner accepts because its count of orders matches again.
    @Test
    public void a_restarted_runner_keeps_room_for_a_load_that_is_on_its_way() {
        ResidencyFixture fleet = fleet().runner("r1", "a", "b").start();
        fleet.addDemand("a", 600, 20_000);
        fleet.time.advance(1_500);
        fleet.requestResidency("a", "x");
        fleet.time.advance(500);
        fleet.executesLate = (runner, order) -> order.equals(LOAD_C);
        fleet.addDemand("c", 600, 2_000);
        fleet.requestResidency("c", "");
        fleet.time.advance(2_500);
        fleet.executesLate = (runner, order) -> false;
        long executedBefore = fleet.runners.get("r1").ordersAccepted;
        fleet.restart("r1");
        fleet.addDemand("b", 600, 25_000);
        fleet.time.advance(25_000);
        assertTrue(executedBefore >= 2, "orders accepted before the restart: " + executedBefore);
        assertEquals(fleet.violations, List.of());
        assertEquals(fleet.replicaCount("a"), 1);
        assertEquals(
                fleet.replicaCount("b"), 1, "the late order must not keep the model away for longer than it may come");
    }

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[SEEDS][];
        for (int i = 0; i < SEEDS; i++) {
            seeds[i] = new Object[] {i};
        }
        return seeds;
    }

    // Several late orders at once, crashes in series, and a holder that is cut off and comes back with its own token or
    // a newer one.
    @Test(dataProvider = "seeds")
    public void no_late_order_overloads_a_runner(int seed) {
        Random random = new Random(seed);
        ResidencyFixture fleet =
                fleet().runner("r1", "a", "b").runner("r2", "b").start();
        fleet.lateMillis = () -> 2_000 + random.nextInt(10_000);
        fleet.executesLate = (runner, order) -> {
            boolean late = random.nextInt(order.forAdapter() ? 8 : 2) == 0;
            if (late && !order.forAdapter()) {
                fleet.time.runAfter(200 + random.nextInt(2_000), () -> fleet.restart(runner));
            }
            return late;
        };
        List<String> models = List.of("a", "b", "c", "d");
        long token = 1;
        for (long at = 0; at < DAY_MILLIS; at += STEP_MILLIS) {
            String model = models.get(random.nextInt(models.size()));
            fleet.addDemand(model, 200 + random.nextInt(1_200), 2_000);
            fleet.requestResidency(model, "");
            if (random.nextInt(3) == 0) {
                fleet.requestResidency(model, "x" + random.nextInt(6));
            }
            if (random.nextInt(16) == 0) {
                fleet.restart("r" + (1 + random.nextInt(2)));
            }
            if (random.nextInt(30) == 0) {
                token += random.nextInt(2);
                fleet.grant = Optional.empty();
            } else if (random.nextInt(4) == 0) {
                fleet.grant = Optional.of(new PlacementGrant(token, true));
            }
            fleet.time.advance(STEP_MILLIS);
        }
        assertEquals(fleet.violations, List.of(), "seed " + seed);
        assertTrue(fleet.ordersReceived > 20, "orders: " + fleet.ordersReceived);
    }

    // Guards against an order of the former process's queue that is sent once the new process has the same count.
    @Test
    public void a_queue_of_a_former_process_sends_nothing_more() {
        ResidencyFixture fleet = fleet().runner("r1", "a", "b").start();
        fleet.addDemand("a", 600, 10_000);
        fleet.time.advance(1_500);
        fleet.addDemand("c", 600, 2_000);
        while (fleet.controller.recentChanges().stream().allMatch(ResidencyMessages.Change::present)) {
            fleet.requestResidency("c", "");
            fleet.time.advance(10);
        }
        int before = fleet.ordersReceived;
        fleet.unresponsiveRunners.add("r1");
        fleet.restart("r1");
        fleet.time.advance(3_000);
        assertEquals(fleet.ordersReceived, before, "orders to a process whose state is not known");
    }

    private static final EngineSpec ENGINE = new EngineSpec(
            64,
            232_000,
            200_000,
            2,
            1.1,
            Map.of(
                    "a", new ModelSpec("a", 72_700, 16, 50, 2, 1, 0.3),
                    "b", new ModelSpec("b", 72_700, 16, 50, 2, 1, 0.3),
                    "c", new ModelSpec("c", 72_700, 16, 50, 2, 1, 0.3),
                    "small", new ModelSpec("small", 40_000, 16, 50, 2, 1, 0.3)));

    /** Returns the record of a runner that has accepted one order and holds model a with the given adapters. */
    private static RunnerLedger ledger(String... adapters) {
        ServerEntry entry = new ServerEntry(
                "r", "s", new PeerAddress("10.0.0.1", 80), "d", 64, false, 1, "v1", List.of(), Set.of());
        RunnerLedger ledger = new RunnerLedger(entry);
        List<ResidentModel> models = List.of(new ResidentModel("a", 1, Set.of(adapters)));
        ledger.onReport(new RunnerReport(1, 1, false, 0, 0, 0, 232_000, models, List.of()));
        return ledger;
    }

    private static ResidencyOrder load(String model) {
        return new ResidencyOrder(Action.LOAD, model, "");
    }

    private static ResidencyOrder loadAdapter(String adapter) {
        return new ResidencyOrder(Action.LOAD, "a", adapter);
    }

    private static ResidencyOrder unloadAdapter(String adapter) {
        return new ResidencyOrder(Action.UNLOAD, "a", adapter);
    }

    private static ResidencyOrder unload(String model) {
        return new ResidencyOrder(Action.UNLOAD, model, "");
    }

    @DataProvider
    public Object[][] lateOrders() {
        return new Object[][] {
            // adapters held, next order, late orders by expected count, whether the next order may be sent
            {0, load("b"), Map.of(), true},
            {0, load("b"), Map.of(2L, List.of(load("c"))), false},
            {0, load("b"), Map.of(1L, List.of(load("c"))), true},
            {0, load("b"), Map.of(3L, List.of(load("c"))), true},
            {0, load("b"), Map.of(2L, List.of(loadAdapter("x")), 3L, List.of(load("c"))), false},
            {0, load("b"), Map.of(2L, List.of(unload("a")), 3L, List.of(load("c"))), false},
            {0, load("b"), Map.of(2L, List.of(loadAdapter("x"), load("c"))), false},
            {0, load("b"), Map.of(2L, List.of(load("a"))), true},
            {0, load("b"), Map.of(2L, List.of(load("b"))), true},
            {0, load("b"), Map.of(2L, List.of(load("small"))), true},
            {0, load("b"), Map.of(2L, List.of(load("of unknown size"))), false},
            {0, unload("a"), Map.of(2L, List.of(load("b")), 3L, List.of(load("c"))), true},
            {0, unload("a"), Map.of(2L, List.of(load("a")), 3L, List.of(load("b")), 4L, List.of(load("c"))), false},
            {2, unloadAdapter("x0"), Map.of(2L, List.of(loadAdapter("x0")), 3L, List.of(loadAdapter("z"))), false},
            {2, unloadAdapter("x0"), Map.of(2L, List.of(loadAdapter("x0"))), true},
            {1, loadAdapter("y"), Map.of(2L, List.of(loadAdapter("z"))), false},
            {1, loadAdapter("y"), Map.of(2L, List.of(loadAdapter("x0"))), true},
            {0, loadAdapter("y"), Map.of(2L, List.of(loadAdapter("z"))), true},
            {0, loadAdapter("y"), Map.of(2L, List.of(loadAdapter("z")), 3L, List.of(loadAdapter("w"))), false},
            {2, unload("a"), Map.of(2L, List.of(loadAdapter("z"))), true},
        };
    }

    // Guards against a check of memory alone, of adapters alone, or of one late order where several may follow each
    // other.
    @Test(dataProvider = "lateOrders")
    public void an_order_is_sent_only_if_the_late_orders_that_it_makes_possible_fit_as_well(
            int adapters, ResidencyOrder order, Map<Long, List<ResidencyOrder>> late, boolean expected) {
        String[] names =
                adapters == 0 ? new String[0] : adapters == 1 ? new String[] {"x0"} : new String[] {"x0", "x1"};
        RunnerLedger ledger = ledger(names);
        assertEquals(
                ledger.leavesRoomForLateOrders(order, ENGINE, count -> late.getOrDefault(count, List.of())), expected);
    }

    @DataProvider
    public Object[][] firstOrders() {
        return new Object[][] {
            {load("b"), true},
            {load("of unknown size"), false},
            {loadAdapter("x"), true},
            {unload("a"), true},
        };
    }

    // Guards against a check that always agrees: the planner's own check hides it in tests of the controller.
    @Test(dataProvider = "firstOrders")
    public void an_order_fits_only_into_free_memory_and_slots(ResidencyOrder order, boolean expected) {
        assertEquals(ledger().fits(order, ENGINE), expected);
        assertFalse(ledger("x0", "x1").fits(loadAdapter("x2"), ENGINE));
        RunnerLedger full = ledger();
        full.onAccepted(load("b"), 0);
        assertFalse(full.fits(load("c"), ENGINE));
        assertTrue(full.fits(load("small"), ENGINE));
    }

    @Test
    public void an_order_is_remembered_until_it_is_settled_or_too_old_to_be_executed() {
        VirtualTime time = new VirtualTime();
        UnansweredOrders unanswered = new UnansweredOrders(time.node(1));
        UnansweredOrders.SentOrder first = unanswered.onSent("r1", LOAD_C, 2);
        unanswered.onSent("r1", load("a"), 3);
        assertEquals(unanswered.expecting("r1", 2), List.of(LOAD_C));
        assertEquals(unanswered.expecting("r2", 2), List.of());
        unanswered.onSettled(first);
        assertEquals(unanswered.expecting("r1", 2), List.of());
        time.advance(12_500);
        assertEquals(unanswered.expecting("r1", 3), List.of(load("a")));
        time.advance(10_000);
        assertEquals(unanswered.expecting("r1", 3), List.of());
    }
}
