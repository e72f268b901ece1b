package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/** Random requests and faults, checked by {@link RequestOracle}. */
class RequestStatefulFuzzTest {
    private static final int SEEDS_PER_FAULT = 4_000;
    private static final int STEPS_PER_SEED = 120;

    /** Where a fault was found. */
    private record Found(long seed, int steps, String violation) {}

    @Provide
    Arbitrary<ActionChain<SimulatedDeployment>> chains() {
        Arbitrary<Transformer<SimulatedDeployment>> steps = Combinators.combine(
                        Arbitraries.integers().between(0, SimulatedDeployment.STEP_KINDS - 1),
                        Arbitraries.integers().between(0, 999),
                        Arbitraries.integers().between(0, 999_999))
                .as((kind, a, b) ->
                        Transformer.mutate("step " + kind + ", " + a + ", " + b, world -> world.step(kind, a, b)));
        Action.Independent<SimulatedDeployment> step = () -> steps;
        return ActionChain.startWith(() -> new SimulatedDeployment(InjectedFault.NONE, 1))
                .withAction(step)
                .withMaxTransformations(80);
    }

    /** Guards against doubled runs, false outcomes and foreign, doubled or missing parts of answers. */
    @Property(seed = "20261204", tries = 400)
    void callers_can_rely_on_what_they_are_told(@ForAll("chains") ActionChain<SimulatedDeployment> chain) {
        SimulatedDeployment world = chain.withInvariant(
                        "oracle", state -> assertEquals(state.oracle.violations(), List.of()))
                .run();
        world.time.advance(2 * SimulatedDeployment.CLAIM_RETENTION_MILLIS);
        assertEquals(world.oracle.violations(), List.of());
    }

    /** Guards against an oracle or a simulation that would not notice a fault of settlement. */
    @Property(tries = 1)
    void the_oracle_finds_each_fault_that_is_put_in() {
        for (InjectedFault fault : InjectedFault.values()) {
            if (fault == InjectedFault.NONE) {
                continue;
            }
            Optional<Found> found = search(fault);
            System.out.println("| " + fault + " | "
                    + found.map(at -> at.seed() + " | " + at.steps() + " | " + at.violation())
                            .orElse("not found")
                    + " |");
            assertEquals(found.isPresent(), true, fault.name());
        }
    }

    /** Guards against random steps that leave most callers without an answer, which would prove nothing. */
    @Property(tries = 1)
    void random_steps_lead_to_all_outcomes() {
        Map<String, Long> told = new TreeMap<>();
        for (long seed = 1; seed <= 200; seed++) {
            SimulatedDeployment world = new SimulatedDeployment(InjectedFault.NONE, seed);
            Random steps = new Random(seed);
            for (int step = 1; step <= STEPS_PER_SEED; step++) {
                world.randomStep(steps);
            }
            for (String outcome : List.of("ran", "not_run", "unknown", "nothing")) {
                told.merge(outcome, world.oracle.countTold(outcome), Long::sum);
            }
            assertEquals(world.oracle.violations(), List.of(), "seed " + seed);
        }
        System.out.println(told);
        told.forEach((outcome, count) -> assertTrue(count >= 500, told.toString()));
    }

    private static Optional<Found> search(InjectedFault fault) {
        for (long seed = 1; seed <= SEEDS_PER_FAULT; seed++) {
            SimulatedDeployment world = new SimulatedDeployment(fault, seed);
            Random steps = new Random(seed);
            for (int step = 1; step <= STEPS_PER_SEED; step++) {
                world.randomStep(steps);
                List<String> violations = world.oracle.violations();
                if (!violations.isEmpty()) {
                    return Optional.of(new Found(seed, step, violations.get(0)));
                }
            }
        }
        return Optional.empty();
    }
}
