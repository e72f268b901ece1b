package org.agatehatch.api.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.placement.PlacementChange.Kind;
import org.agatehatch.internal.version.TestCatalogueBuilder;
import org.testng.annotations.Test;

public class PlacementPlannerTest {
    private static final PlacementSettings SETTINGS = PlacementSettings.withReplicaRate(100);
    private final PlacementPolicy policy = new DefaultPlacementPolicy(SETTINGS);

    private static TestCatalogueBuilder catalogueBuilder(int loadsAtOnce, double moveWeight) {
        return new TestCatalogueBuilder(loadsAtOnce, 100, moveWeight);
    }

    private static Catalogue twoModelsOnThreeRunners(double moveWeight) {
        return catalogueBuilder(8, moveWeight)
                .runners(false, "a1", "b1", "c1")
                .model("m", "v1", 60, 1, 1)
                .model("n", "v1", 60, 1, 1)
                .build();
    }

    private static Charge charge(String model, String runner, int accelerator, long mib, ChargeState state) {
        return charge(model, "v1", runner, accelerator, mib, state);
    }

    private static Charge charge(
            String model, String version, String runner, int accelerator, long mib, ChargeState state) {
        String order = model + version + "@" + runner;
        return new Charge(order, model, version, runner, List.of(accelerator), mib, state);
    }

    private static PlacementInput input(
            Catalogue catalogue, List<Charge> charges, Map<String, Double> demand, Set<String> unavailable) {
        int loading = (int)
                charges.stream().filter(c -> c.state() == ChargeState.LOADING).count();
        return new PlacementInput(
                catalogue, "pool", charges, demand, unavailable, Map.of(), loading, 1_000_000, Map.of());
    }

    private List<PlacementChange> plan(Catalogue catalogue, List<Charge> charges, Map<String, Double> demand) {
        return policy.plan(input(catalogue, charges, demand, Set.of()));
    }

    private static List<String> summaries(List<PlacementChange> changes) {
        return changes.stream()
                .map(c -> c.kind() + " " + c.model() + " " + c.runner())
                .toList();
    }

    /** Applies a plan at once, as if each order were settled before the next planning round. */
    private static List<Charge> carryOut(Catalogue catalogue, List<Charge> charges, List<PlacementChange> changes) {
        List<Charge> result = new ArrayList<>(charges);
        for (PlacementChange c : changes) {
            var model = catalogue.models().get(c.model());
            switch (c.kind()) {
                case LOAD, RESERVE -> {
                    ChargeState state = c.kind() == Kind.LOAD ? ChargeState.READY : ChargeState.RESERVED;
                    result.removeIf(o -> o.state() == ChargeState.RESERVED
                            && o.model().equals(c.model())
                            && o.runner().equals(c.runner()));
                    String order = c.model() + model.version() + "@" + c.runner();
                    result.add(new Charge(
                            order, c.model(), model.version(), c.runner(), c.accelerators(), model.memoryMib(), state));
                }
                default -> {
                    ChargeState ended = c.kind() == Kind.UNLOAD ? ChargeState.READY : ChargeState.RESERVED;
                    result.stream()
                            .filter(o -> o.state() == ended
                                    && o.model().equals(c.model())
                                    && o.runner().equals(c.runner()))
                            .min((a, b) -> Boolean.compare(
                                    a.version().equals(model == null ? "" : model.version()),
                                    b.version().equals(model == null ? "" : model.version())))
                            .ifPresent(result::remove);
                }
            }
        }
        return result;
    }

    @Test
    public void models_without_a_replica_are_loaded_by_priority_then_demand() {
        Catalogue catalogue = catalogueBuilder(2, 1)
                .runner("r1", "a", 4, 100, true)
                .model("busy", "v1", 100, 1, 1)
                .model("idle", "v1", 100, 1, 1)
                .model("premium", "v1", 100, 1, 1, "premium")
                .build();
        List<PlacementChange> changes = plan(catalogue, List.of(), Map.of("busy", 500.0));
        assertEquals(summaries(changes), List.of("LOAD premium r1", "LOAD busy r1"), "two loads at once are allowed");
    }

    @Test
    public void replicas_go_to_different_failure_domains() {
        Catalogue catalogue = catalogueBuilder(4, 1)
                .runners(true, "a1", "a2", "b1")
                .model("m", "v1", 50, 1, 2)
                .build();
        assertEquals(summaries(plan(catalogue, List.of(), Map.of())), List.of("LOAD m a1", "LOAD m b1"));
    }

    @Test
    public void memory_shortage_evicts_surplus_replicas_but_never_the_last_replica_of_a_model() {
        TestCatalogueBuilder catalogueBuilder = catalogueBuilder(4, 1)
                .runner("r1", "a", 1, 100, true)
                .runner("r2", "b", 1, 100, true)
                .runner("r3", "b", 1, 100, true)
                .model("new", "v1", 100, 1, 1)
                .model("extra", "v1", 100, 1, 1)
                .model("other", "v1", 100, 1, 1);
        Catalogue catalogue = catalogueBuilder.build();
        List<Charge> charges = new ArrayList<>(List.of(
                charge("extra", "r1", 0, 100, ChargeState.READY),
                charge("extra", "r2", 0, 100, ChargeState.READY),
                charge("other", "r3", 0, 100, ChargeState.RESERVED)));
        Map<String, Double> demand = Map.of("extra", 150.0);
        List<PlacementChange> first = plan(catalogue, charges, demand);
        assertTrue(summaries(first).contains("LOAD other r3"), "a reservation is used for its own model: " + first);
        charges.set(2, charge("other", "r3", 0, 100, ChargeState.READY));
        List<PlacementChange> second = plan(catalogue, charges, demand);
        assertEquals(summaries(second), List.of("UNLOAD extra r1"));
        charges.set(0, charge("extra", "r1", 0, 100, ChargeState.UNLOADING));
        assertEquals(
                plan(catalogue, charges, demand),
                List.of(),
                "waits for the memory that is being released and evicts no second replica");
        charges.set(0, charge("new", "r1", 0, 100, ChargeState.READY));
        Catalogue larger = catalogueBuilder.model("fourth", "v1", 100, 1, 1).build();
        assertEquals(plan(larger, charges, demand), List.of(), "every model has a single replica");
    }

    @Test
    public void cancels_a_reservation_when_a_model_without_replica_needs_the_memory() {
        Catalogue catalogue = catalogueBuilder(4, 1)
                .runner("r1", "a", 1, 100, true)
                .runner("r2", "b", 1, 100, true)
                .model("m", "v1", 100, 1, 1)
                .model("n", "v1", 100, 1, 1)
                .build();
        List<Charge> charges =
                List.of(charge("m", "r1", 0, 100, ChargeState.READY), charge("m", "r2", 0, 100, ChargeState.RESERVED));
        assertEquals(summaries(plan(catalogue, charges, Map.of())), List.of("CANCEL_RESERVE m r2"));
    }

    @Test
    public void reserves_a_standby_in_another_failure_domain_only_on_runners_that_check_fencing() {
        TestCatalogueBuilder catalogueBuilder = catalogueBuilder(4, 1)
                .runner("a1", "a", 1, 100, true)
                .runner("a2", "a", 1, 100, true)
                .runner("b1", "b", 1, 100, false)
                .model("m", "v1", 50, 1, 1);
        List<Charge> charges = List.of(charge("m", "a1", 0, 50, ChargeState.READY));
        assertEquals(plan(catalogueBuilder.build(), charges, Map.of()), List.of());
        Catalogue checking = catalogueBuilder.runner("b2", "b", 1, 100, true).build();
        assertEquals(summaries(plan(checking, charges, Map.of())), List.of("RESERVE m b2"));
    }

    @Test
    public void after_a_runner_crash_reservations_are_used_and_models_reloaded_by_priority() {
        Catalogue catalogue = catalogueBuilder(2, 1)
                .runner("a1", "a", 2, 100, true)
                .runner("b1", "b", 2, 100, true)
                .model("cheap", "v1", 60, 1, 1)
                .model("gold", "v1", 60, 1, 1, "premium")
                .build();
        List<Charge> charges = List.of(
                charge("cheap", "a1", 0, 60, ChargeState.READY),
                charge("gold", "a1", 1, 60, ChargeState.READY),
                charge("gold", "b1", 1, 60, ChargeState.RESERVED));
        List<PlacementChange> changes = policy.plan(input(catalogue, charges, Map.of("cheap", 900.0), Set.of("a1")));
        assertEquals(summaries(changes), List.of("LOAD gold b1", "LOAD cheap b1"));
        assertEquals(changes.get(0).accelerators(), List.of(1));
    }

    @Test
    public void replicas_on_a_drained_runner_are_replaced_without_an_unload() {
        Catalogue catalogue = catalogueBuilder(2, 1)
                .runners(true, "a1", "b1")
                .model("m", "v1", 60, 1, 1)
                .build();
        List<Charge> charges = List.of(charge("m", "a1", 0, 60, ChargeState.READY));
        assertEquals(summaries(policy.plan(input(catalogue, charges, Map.of(), Set.of("a1")))), List.of("LOAD m b1"));
    }

    @Test
    public void new_version_is_loaded_before_the_old_one_is_unloaded() {
        Catalogue catalogue = catalogueBuilder(2, 1)
                .runners(false, "a1", "b1")
                .model("m", "v2", 50, 1, 1)
                .build();
        List<Charge> charges = List.of(charge("m", "v1", "a1", 0, 50, ChargeState.READY));
        List<PlacementChange> first = plan(catalogue, charges, Map.of());
        assertEquals(summaries(first), List.of("LOAD m b1"));
        List<Charge> loading = new ArrayList<>(charges);
        loading.add(charge("m", "v2", "b1", 0, 50, ChargeState.LOADING));
        assertEquals(plan(catalogue, loading, Map.of()), List.of());
        loading.set(1, charge("m", "v2", "b1", 0, 50, ChargeState.READY));
        assertEquals(summaries(plan(catalogue, loading, Map.of())), List.of("UNLOAD m a1"));
    }

    @Test
    public void fragmented_memory_is_freed_by_first_copying_a_single_replica_elsewhere() {
        Catalogue catalogue = catalogueBuilder(2, 1)
                .runners(false, "a1", "b1")
                .model("big", "v1", 80, 1, 1)
                .model("s1", "v1", 40, 1, 1)
                .model("s2", "v1", 40, 1, 1)
                .build();
        List<Charge> charges =
                List.of(charge("s1", "a1", 0, 40, ChargeState.READY), charge("s2", "b1", 0, 40, ChargeState.READY));
        List<Charge> now = charges;
        for (int round = 0; round < 4; round++) {
            List<PlacementChange> changes = plan(catalogue, now, Map.of());
            now = carryOut(catalogue, now, changes);
            Set<String> reachable = new HashSet<>();
            now.forEach(c -> reachable.add(c.model()));
            assertTrue(reachable.containsAll(List.of("s1", "s2")), "round " + round + ": " + now);
        }
        assertTrue(now.stream().anyMatch(c -> c.model().equals("big")), now.toString());
    }

    @Test
    public void a_demand_driven_move_needs_a_gain_above_its_cost() {
        Catalogue catalogue = twoModelsOnThreeRunners(300);
        List<Charge> charges = List.of(
                charge("m", "a1", 0, 60, ChargeState.READY),
                charge("n", "b1", 0, 60, ChargeState.READY),
                charge("n", "c1", 0, 60, ChargeState.READY));
        // Moving c1 from n to m costs two moves of 300 s; the shortfall of 0.17 replicas gains 102 s in 10 min.
        assertEquals(plan(catalogue, charges, Map.of("m", 90.0, "n", 20.0)), List.of());
        // Ten times the demand gains 600 s, which does not exceed two moves either.
        assertEquals(plan(catalogue, charges, Map.of("m", 900.0, "n", 20.0)), List.of());
        Catalogue cheaper = twoModelsOnThreeRunners(200);
        assertEquals(summaries(plan(cheaper, charges, Map.of("m", 900.0, "n", 20.0))), List.of("UNLOAD n b1"));
    }

    @Test
    public void demand_that_alternates_between_two_models_causes_few_moves() {
        Catalogue catalogue = twoModelsOnThreeRunners(60);
        DemandTracker tracker = DemandTracker.withDefaults();
        List<Charge> charges = List.of();
        int loads = 0;
        for (int round = 0; round < 720; round++) {
            boolean burst = round % 24 < 12;
            tracker.observe(round * 5_000L, Map.of("m", burst ? 300.0 : 30.0, "n", burst ? 30.0 : 300.0));
            Map<String, Long> lastChangeMillis = new HashMap<>();
            PlacementInput roundInput = new PlacementInput(
                    catalogue,
                    "pool",
                    charges,
                    tracker.tokensPerSecond(),
                    Set.of(),
                    Map.of(),
                    0,
                    round * 5_000L,
                    lastChangeMillis);
            List<PlacementChange> changes = policy.plan(roundInput);
            loads += (int) changes.stream().filter(c -> c.kind() == Kind.LOAD).count();
            charges = carryOut(catalogue, charges, changes);
        }
        // Following each of the 60 one-minute swings would need one load per swing; three loads fill the pool.
        assertTrue(loads <= 6, "loads in an hour: " + loads);
    }

    @Test
    public void tenfold_demand_adds_replicas_until_capacity_covers_it() {
        TestCatalogueBuilder catalogueBuilder = catalogueBuilder(2, 60).model("m", "v1", 60, 1, 1);
        IntStream.range(0, 12).forEach(i -> catalogueBuilder.runner("r" + i, "d" + i % 3, 1, 100, false));
        Catalogue catalogue = catalogueBuilder.build();
        List<Charge> charges = List.of();
        for (int round = 0; round < 8; round++) {
            charges = carryOut(catalogue, charges, plan(catalogue, charges, Map.of("m", round < 2 ? 60.0 : 600.0)));
        }
        assertEquals(charges.size(), 8, "600 tokens/s with 30% headroom at 100 tokens/s a replica");
    }

    @Test
    public void a_replica_may_span_several_accelerators() {
        Catalogue catalogue = catalogueBuilder(4, 1)
                .runner("small", "a", 1, 100, true)
                .runner("wide", "b", 4, 100, true)
                .model("m", "v1", 80, 3, 1)
                .build();
        List<Charge> charges = List.of(charge("x", "wide", 1, 40, ChargeState.IN_DOUBT));
        List<PlacementChange> changes = plan(catalogue, charges, Map.of());
        assertEquals(summaries(changes), List.of("LOAD m wide"));
        assertEquals(changes.get(0).accelerators(), List.of(0, 2, 3), "memory in doubt is not used");
    }

    @Test
    public void the_plan_does_not_depend_on_map_iteration_order() {
        Catalogue one = catalogueOfTwentyRunners(false);
        Catalogue two = catalogueOfTwentyRunners(true);
        List<PlacementChange> first = plan(one, List.of(), Map.of("m3", 700.0, "m4", 200.0));
        List<PlacementChange> second = new DefaultPlacementPolicy(SETTINGS)
                .plan(input(two, List.of(), Map.of("m4", 200.0, "m3", 700.0), Set.of()));
        assertNotEquals(first.size(), 0);
        assertEquals(second, first);
    }

    private static Catalogue catalogueOfTwentyRunners(boolean reversed) {
        TestCatalogueBuilder catalogueBuilder = catalogueBuilder(16, 10);
        for (int i = 0; i < 20; i++) {
            int n = reversed ? 19 - i : i;
            catalogueBuilder
                    .runner("r" + n, "d" + n % 3, 2, 100, n % 2 == 0)
                    .model("m" + n, "v1", 20 + n, 1, 1 + n % 2);
        }
        return catalogueBuilder.build();
    }

    @Test
    public void static_policy_never_changes_existing_placements() {
        Catalogue catalogue = catalogueBuilder(4, 1)
                .runners(true, "a1", "b1")
                .model("m", "v1", 60, 1, 1)
                .build();
        PlacementPolicy fixed = new StaticPlacementPolicy(SETTINGS);
        List<PlacementChange> changes = fixed.plan(input(catalogue, List.of(), Map.of("m", 900.0), Set.of()));
        assertEquals(summaries(changes), List.of("LOAD m a1"));
        List<Charge> charges = carryOut(catalogue, List.of(), changes);
        assertEquals(fixed.plan(input(catalogue, charges, Map.of("m", 900.0), Set.of())), List.of());
    }

    @Test
    public void demand_tracker_rises_fast_and_falls_slowly() {
        DemandTracker tracker = new DemandTracker(10_000, 300_000);
        tracker.observe(0, Map.of("m", 10.0));
        assertEquals(tracker.tokensPerSecond().get("m"), 10.0, 1e-9);
        tracker.observe(30_000, Map.of("m", 100.0));
        assertTrue(tracker.tokensPerSecond().get("m") > 95, "30 s are three time constants of a rise");
        tracker.observe(60_000, Map.of());
        assertTrue(tracker.tokensPerSecond().get("m") > 85, "30 s are a tenth of the time constant of a fall");
        tracker.observe(50_000, Map.of("m", 1e9));
        assertTrue(tracker.tokensPerSecond().get("m") < 1e9, "a measurement without elapsed time adds nothing");
    }
}
