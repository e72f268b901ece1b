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
import org.agatehatch.internal.process.FakeEngines.Fate;
import org.agatehatch.internal.version.TestCatalogueBuilder;
import org.agatehatch.internal.version.record.StateRecord.PlacementIntent;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Random work of two alternating holders against engines with faults. The oracle looks at the engines only: no
 * accelerator ever has more resident or under way than it has memory, and no unload is accepted while no other
 * residency of the model is truly ready.
 */
public class EstateStatefulFuzzTest {
    /** Longest time from a crash until its holder has seen it: an idle poll with jitter, a reply, and a step. */
    private static final long CRASH_UNSEEN_MILLIS = 12_000;

    /** The system under test with its oracle. */
    static final class Estate {
        final PlacementBench bench;
        final List<PlacementBench.Holder> holders = new ArrayList<>();
        final boolean checks;
        PlacementBench.Holder current;
        long lastCrashMillis = Long.MIN_VALUE / 2;
        int version = 1;
        int extraModels;
        boolean chaos;

        Estate(boolean checks) {
            this.checks = checks;
            bench = new PlacementBench(catalogue(checks, 1, 0));
            PlacementPolicy sensible = bench.policy;
            bench.policy = input -> chaos ? randomPlan(input.charges(), bench) : sensible.plan(input);
            bench.log.onUnloadOfReady = this::checkUnload;
            holders.add(bench.holder(1));
            holders.add(bench.holder(2));
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

        /** Proposes unloads of everything and loads everywhere, so that only the rules below the policy protect. */
        static List<PlacementChange> randomPlan(List<Charge> charges, PlacementBench bench) {
            List<PlacementChange> plan = new ArrayList<>();
            for (Charge c : charges) {
                PlacementChange.Kind kind = c.state() == ChargeState.RESERVED
                        ? PlacementChange.Kind.CANCEL_RESERVE
                        : PlacementChange.Kind.UNLOAD;
                plan.add(new PlacementChange(kind, c.model(), c.runner(), c.accelerators(), "chaos"));
            }
            bench.log
                    .catalogue
                    .models()
                    .values()
                    .forEach(m -> bench.log.catalogue.backendServers().values().stream()
                            .filter(r -> r.accelerators() >= m.accelerators())
                            .forEach(r -> plan.add(new PlacementChange(
                                    (bench.nowMillis() + r.name().hashCode()) % 3 == 0
                                            ? PlacementChange.Kind.RESERVE
                                            : PlacementChange.Kind.LOAD,
                                    m.name(),
                                    r.name(),
                                    m.accelerators() == 2
                                            ? List.of(0, 1)
                                            : List.of((int) (bench.nowMillis() % r.accelerators())),
                                    "chaos"))));
            return plan;
        }

        void checkUnload(PlacementIntent intent) {
            boolean crashUnseen = bench.nowMillis() - lastCrashMillis < CRASH_UNSEEN_MILLIS;
            if (crashUnseen || !bench.log.catalogue.models().containsKey(intent.model())) {
                return;
            }
            boolean elsewhere = bench.engines.readyRunners(intent.model()).keySet().stream()
                    .anyMatch(order -> !order.equals(intent.orderId()));
            if (!elsewhere) {
                throw new AssertionError("unload of the last ready replica of " + intent.model() + " by " + intent
                        + "; " + bench.log.ledger.entries() + "; " + bench.engines.describe());
            }
        }

        void step(long millis) {
            for (long passed = 0; passed < millis; passed += 250) {
                current.tick();
                bench.pass(250);
                checkMemory();
            }
        }

        void checkMemory() {
            for (BackendServer runner : bench.log.catalogue.backendServers().values()) {
                for (int accelerator = 0; accelerator < runner.accelerators(); accelerator++) {
                    long used = bench.engines.trueMemoryMib(runner, accelerator);
                    if (used > runner.acceleratorMemoryMib()) {
                        throw new AssertionError(runner.name() + " accelerator " + accelerator + " holds " + used);
                    }
                }
            }
        }

        void swapHolder() {
            current = holders.get(1 - holders.indexOf(current)).takeLease();
        }

        void holdNext(int orders) {
            for (int i = 0; i < orders; i++) {
                bench.engines.fates.add(Fate.HOLD);
            }
        }

        void deliver(int pick) {
            if (!bench.engines.held.isEmpty()) {
                bench.engines.deliver(pick % bench.engines.held.size());
            }
            checkMemory();
        }

        void crash(String runner) {
            bench.engines.crash(runner);
            lastCrashMillis = bench.nowMillis();
        }

        void changeCatalogue(int kind) {
            version += kind == 0 ? 1 : 0;
            extraModels = kind == 1 ? extraModels + 1 : kind == 2 ? 0 : extraModels;
            bench.log.catalogue = catalogue(checks, version, extraModels);
        }

        /** Without further faults, each model that fits must become reachable. */
        void settleDown() {
            chaos = false;
            bench.engines.fates.clear();
            bench.engines.lagVersions = 0;
            bench.log.answersToLose = 0;
            while (!bench.engines.held.isEmpty()) {
                deliver(0);
            }
            if (!checks) {
                // Only a new process ends the doubt about copies on engines that ignore numbers, and the holder must
                // have read an inventory after the last copy to know which process the new one replaces.
                step(60_000);
                bench.log.catalogue.backendServers().keySet().forEach(this::crash);
            }
            step(300_000);
            for (String model : bench.log.catalogue.models().keySet()) {
                if (bench.engines.readyRunners(model).isEmpty()) {
                    throw new AssertionError(model + " stays unreachable: " + bench.log.ledger.entries());
                }
            }
        }
    }

    @Provide
    Arbitrary<ActionChain<Estate>> checkingEstates() {
        return chains(true);
    }

    @Provide
    Arbitrary<ActionChain<Estate>> ignoringEstates() {
        return chains(false);
    }

    private static Arbitrary<ActionChain<Estate>> chains(boolean checks) {
        return ActionChain.startWith(() -> new Estate(checks))
                .withAction(12, action("step", 250, 12_000, Estate::step))
                .withAction(2, action("swap", 0, 0, (estate, n) -> estate.swapHolder()))
                .withAction(4, action("fate", 0, 4, (estate, n) -> estate.bench.engines.fates.add(Fate.values()[n])))
                .withAction(1, action("deliver", 0, 9, Estate::deliver))
                .withAction(
                        1,
                        action(
                                "crash",
                                0,
                                2,
                                (estate, n) ->
                                        estate.crash(List.of("a1", "b1", "c1").get(n))))
                .withAction(1, action("lag", 0, 3, (estate, n) -> estate.bench.engines.lagVersions = n))
                .withAction(1, action("lose answer", 1, 2, (estate, n) -> estate.bench.log.answersToLose = n))
                .withAction(1, action("catalogue", 0, 2, Estate::changeCatalogue))
                .withAction(2, action("chaos", 0, 2, (estate, n) -> estate.chaos = n > 0))
                .withAction(4, action("hold", 1, 2, Estate::holdNext))
                .withAction(1, action("demand", 0, 900, (estate, n) -> estate.bench.demand.put("n", (double) n)))
                .withMaxTransformations(80);
    }

    private interface Step {
        void apply(Estate estate, int number);
    }

    private static Action.Independent<Estate> action(String label, int from, int to, Step step) {
        return () -> Arbitraries.integers()
                .between(from, to)
                .map(n -> Transformer.mutate(label + " " + n, estate -> step.apply(estate, n)));
    }

    @Property(tries = 150, seed = "20240611", shrinking = ShrinkingMode.OFF)
    void memory_and_last_replicas_hold_on_checking_runners(@ForAll("checkingEstates") ActionChain<Estate> chain) {
        chain.run().settleDown();
    }

    @Property(tries = 150, seed = "20240612", shrinking = ShrinkingMode.OFF)
    void memory_and_last_replicas_hold_on_runners_that_ignore_numbers(
            @ForAll("ignoringEstates") ActionChain<Estate> chain) {
        chain.run().settleDown();
    }

    /** Guards against an oracle that sees nothing: engines that take old numbers must make it fail. */
    @Test
    public void oracle_sees_an_engine_that_takes_old_numbers() {
        Estate estate = new Estate(true);
        estate.bench.engines.acceptsOldNumbers = true;
        estate.bench.engines.fates.add(Fate.HOLD);
        estate.step(30_000);
        estate.bench.log.catalogue = new Catalogue(
                2,
                Map.of(),
                Map.of(),
                estate.bench.log.catalogue.pools(),
                estate.bench.log.catalogue.backendServers(),
                new TestCatalogueBuilder(1, 1, 1).model("big", "v1", 100, 1, 5).build().models(),
                Map.of());
        estate.step(60_000);
        Assert.assertThrows(AssertionError.class, () -> {
            for (int i = 0; i < 9; i++) {
                estate.deliver(0);
            }
        });
    }
}
