package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.placement.Charge;
import org.agatehatch.api.placement.ChargeState;
import org.agatehatch.api.placement.PlacementChange;
import org.agatehatch.api.placement.PlacementPolicy;
import org.agatehatch.internal.process.FakeEngines.OrderDelivery;
import org.agatehatch.internal.version.TestCatalogueBuilder;
import org.agatehatch.internal.version.record.StateRecord.PlacementIntent;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Runs random steps of two alternating lease holders against engines with injected faults. The oracle inspects only
 * the engines: resident models and loads in flight never exceed the memory of an accelerator, and no unload is accepted
 * while no other replica of the model is actually ready.
 */
public class PlacementStatefulFuzzTest {
    /**
     * Longest time until the holder detects a crash: an idle poll interval with jitter, a reply timeout, and a step.
     */
    private static final long CRASH_DETECTION_MILLIS = 12_000;

    /** Two lease holders, the engines and the log, with the oracle that checks the engines. */
    static final class SystemUnderTest {
        final PlacementTestHarness harness;
        final List<PlacementTestHarness.Holder> holders = new ArrayList<>();
        final boolean checksFencing;
        PlacementTestHarness.Holder current;
        long lastCrashMillis = Long.MIN_VALUE / 2;
        int version = 1;
        int extraModels;
        boolean randomPlans;

        SystemUnderTest(boolean checks) {
            this.checksFencing = checks;
            harness = new PlacementTestHarness(catalogue(checks, 1, 0));
            PlacementPolicy regularPolicy = harness.policy;
            harness.policy = input -> randomPlans ? randomPlan(input.charges(), harness) : regularPolicy.plan(input);
            harness.log.onUnloadOfReady = this::checkUnload;
            holders.add(harness.holder(1));
            holders.add(harness.holder(2));
            current = holders.get(1);
        }

        static Catalogue catalogue(boolean checks, int version, int extraModels) {
            TestCatalogueBuilder estate = new TestCatalogueBuilder(3, 5, 20)
                    .runner("a1", "a", 2, 100, checks)
                    .runner("b1", "b", 2, 100, checks)
                    .runner("c1", "c", 1, 100, checks)
                    .model("m", "v" + version, 60, 1, 2)
                    .model("n", "v1", 50, 1, 1)
                    .model("w", "v1", 40, 2, 1);
            if (extraModels > 0) {
                estate.model("x", "v" + extraModels, 30, 1, 1);
            }
            return estate.build();
        }

        /**
         * Plans unloads of all models and loads on all runners, so that only the checks below the policy keep the
         * invariants.
         */
        static List<PlacementChange> randomPlan(List<Charge> charges, PlacementTestHarness harness) {
            List<PlacementChange> plan = new ArrayList<>();
            for (Charge c : charges) {
                PlacementChange.Kind kind = c.state() == ChargeState.RESERVED
                        ? PlacementChange.Kind.CANCEL_RESERVE
                        : PlacementChange.Kind.UNLOAD;
                plan.add(new PlacementChange(kind, c.model(), c.runner(), c.accelerators(), "chaos"));
            }
            harness.log
                    .catalogue
                    .models()
                    .values()
                    .forEach(m -> harness.log.catalogue.backendServers().values().stream()
                            .filter(r -> r.accelerators() >= m.accelerators())
                            .forEach(r -> plan.add(new PlacementChange(
                                    (harness.nowMillis() + r.name().hashCode()) % 3 == 0
                                            ? PlacementChange.Kind.RESERVE
                                            : PlacementChange.Kind.LOAD,
                                    m.name(),
                                    r.name(),
                                    m.accelerators() == 2
                                            ? List.of(0, 1)
                                            : List.of((int) (harness.nowMillis() % r.accelerators())),
                                    "chaos"))));
            return plan;
        }

        void checkUnload(PlacementIntent intent) {
            boolean crashUndetected = harness.nowMillis() - lastCrashMillis < CRASH_DETECTION_MILLIS;
            if (crashUndetected || !harness.log.catalogue.models().containsKey(intent.model())) {
                return;
            }
            boolean otherReplicaReady = harness.engines.readyRunners(intent.model()).keySet().stream()
                    .anyMatch(order -> !order.equals(intent.orderId()));
            if (!otherReplicaReady) {
                throw new AssertionError("unload of the last ready replica of " + intent.model() + " by " + intent
                        + "; " + harness.log.ledger.entries() + "; " + harness.engines.describe());
            }
        }

        void step(long millis) {
            for (long passed = 0; passed < millis; passed += 250) {
                current.tick();
                harness.advance(250);
                checkMemory();
            }
        }

        void checkMemory() {
            for (BackendServer runner : harness.log.catalogue.backendServers().values()) {
                for (int accelerator = 0; accelerator < runner.accelerators(); accelerator++) {
                    long used = harness.engines.actualMemoryMib(runner, accelerator);
                    if (used > runner.acceleratorMemoryMib()) {
                        throw new AssertionError(runner.name() + " accelerator " + accelerator + " holds " + used);
                    }
                }
            }
        }

        void switchHolder() {
            current = holders.get(1 - holders.indexOf(current)).takeLease();
        }

        void holdNextOrders(int orders) {
            for (int i = 0; i < orders; i++) {
                harness.engines.nextDeliveries.add(OrderDelivery.HOLD);
            }
        }

        void deliver(int pick) {
            if (!harness.engines.heldOrders.isEmpty()) {
                harness.engines.deliverHeld(pick % harness.engines.heldOrders.size());
            }
            checkMemory();
        }

        void crash(String runner) {
            harness.engines.crash(runner);
            lastCrashMillis = harness.nowMillis();
        }

        void changeCatalogue(int kind) {
            version += kind == 0 ? 1 : 0;
            extraModels = kind == 1 ? extraModels + 1 : kind == 2 ? 0 : extraModels;
            harness.log.catalogue = catalogue(checksFencing, version, extraModels);
        }

        /** Ends all faults and checks that each model in the catalogue gets a ready replica. */
        void assertAllModelsRecover() {
            randomPlans = false;
            harness.engines.nextDeliveries.clear();
            harness.engines.inventoryLagVersions = 0;
            harness.log.responsesToLose = 0;
            while (!harness.engines.heldOrders.isEmpty()) {
                deliver(0);
            }
            if (!checksFencing) {
                // On engines that ignore fencing numbers, only a new process rules out further copies. The holder must
                // have read an inventory after the last copy to recognize the process that the new one replaces.
                step(60_000);
                harness.log.catalogue.backendServers().keySet().forEach(this::crash);
            }
            step(300_000);
            for (String model : harness.log.catalogue.models().keySet()) {
                if (harness.engines.readyRunners(model).isEmpty()) {
                    throw new AssertionError(model + " has no ready replica: " + harness.log.ledger.entries());
                }
            }
        }
    }

    @Provide
    Arbitrary<ActionChain<SystemUnderTest>> systemsWithFencing() {
        return chains(true);
    }

    @Provide
    Arbitrary<ActionChain<SystemUnderTest>> systemsWithoutFencing() {
        return chains(false);
    }

    private static Arbitrary<ActionChain<SystemUnderTest>> chains(boolean checks) {
        return ActionChain.startWith(() -> new SystemUnderTest(checks))
                .withAction(12, action("step", 250, 12_000, SystemUnderTest::step))
                .withAction(2, action("swap", 0, 0, (system, n) -> system.switchHolder()))
                .withAction(
                        4,
                        action(
                                "fate",
                                0,
                                4,
                                (system, n) -> system.harness.engines.nextDeliveries.add(OrderDelivery.values()[n])))
                .withAction(1, action("deliver", 0, 9, SystemUnderTest::deliver))
                .withAction(
                        1,
                        action(
                                "crash",
                                0,
                                2,
                                (system, n) ->
                                        system.crash(List.of("a1", "b1", "c1").get(n))))
                .withAction(1, action("lag", 0, 3, (system, n) -> system.harness.engines.inventoryLagVersions = n))
                .withAction(1, action("lose answer", 1, 2, (system, n) -> system.harness.log.responsesToLose = n))
                .withAction(1, action("catalogue", 0, 2, SystemUnderTest::changeCatalogue))
                .withAction(2, action("chaos", 0, 2, (system, n) -> system.randomPlans = n > 0))
                .withAction(4, action("hold", 1, 2, SystemUnderTest::holdNextOrders))
                .withAction(1, action("demand", 0, 900, (system, n) -> system.harness.demand.put("n", (double) n)))
                .withMaxTransformations(80);
    }

    private interface Step {
        void apply(SystemUnderTest system, int number);
    }

    private static Action.Independent<SystemUnderTest> action(String label, int from, int to, Step step) {
        return () -> Arbitraries.integers()
                .between(from, to)
                .map(n -> Transformer.mutate(label + " " + n, system -> step.apply(system, n)));
    }

    @Property(tries = 150, seed = "20240611", shrinking = ShrinkingMode.OFF)
    void memory_limit_and_last_replica_are_kept_on_runners_that_check_fencing_numbers(
            @ForAll("systemsWithFencing") ActionChain<SystemUnderTest> chain) {
        chain.run().assertAllModelsRecover();
    }

    @Property(tries = 150, seed = "20240612", shrinking = ShrinkingMode.OFF)
    void memory_limit_and_last_replica_are_kept_on_runners_that_ignore_fencing_numbers(
            @ForAll("systemsWithoutFencing") ActionChain<SystemUnderTest> chain) {
        chain.run().assertAllModelsRecover();
    }

    /** Guards against an oracle that detects nothing: engines that accept stale fencing numbers must make it fail. */
    @Test
    public void oracle_detects_an_engine_that_accepts_stale_fencing_numbers() {
        SystemUnderTest system = new SystemUnderTest(true);
        system.harness.engines.acceptsStaleFencingNumbers = true;
        system.harness.engines.nextDeliveries.add(OrderDelivery.HOLD);
        system.step(30_000);
        system.harness.log.catalogue = new Catalogue(
                2,
                Map.of(),
                Map.of(),
                system.harness.log.catalogue.pools(),
                system.harness.log.catalogue.backendServers(),
                new TestCatalogueBuilder(1, 1, 1)
                        .model("big", "v1", 100, 1, 5)
                        .build()
                        .models(),
                Map.of());
        system.step(60_000);
        Assert.assertThrows(AssertionError.class, () -> {
            for (int i = 0; i < 9; i++) {
                system.deliver(0);
            }
        });
    }
}
