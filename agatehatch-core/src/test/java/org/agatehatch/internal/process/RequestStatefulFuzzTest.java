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

/** Runs random requests and faults on a simulated deployment and checks the results with {@link RequestOracle}. */
class RequestStatefulFuzzTest {
    private static final int SEEDS_PER_FAULT = 4_000;
    private static final int STEPS_PER_SEED = 120;

    /** The seed and the number of steps at which a fault was detected, and the first violation. */
    private record Detection(long seed, int steps, String violation) {}

    @Provide
    Arbitrary<ActionChain<SimulatedDeployment>> chains() {
        Arbitrary<Transformer<SimulatedDeployment>> randomSteps = Combinators.combine(
                        Arbitraries.integers().between(0, SimulatedDeployment.STEP_KINDS - 1),
                        Arbitraries.integers().between(0, 999),
                        Arbitraries.integers().between(0, 999_999))
                .as((kind, firstArgument, secondArgument) -> Transformer.mutate(
                        "step " + kind + ", " + firstArgument + ", " + secondArgument,
                        deployment -> deployment.step(kind, firstArgument, secondArgument)));
        Action.Independent<SimulatedDeployment> step = () -> randomSteps;
        return ActionChain.startWith(() -> new SimulatedDeployment(InjectedFault.NONE, 1))
                .withAction(step)
                .withMaxTransformations(80);
    }

    /** Guards against requests that run twice, false outcomes, and foreign, duplicated or missing parts of answers. */
    @Property(seed = "20261204", tries = 400)
    void reported_outcomes_are_true_under_random_faults(@ForAll("chains") ActionChain<SimulatedDeployment> chain) {
        SimulatedDeployment deployment = chain.withInvariant(
                        "oracle", state -> assertEquals(state.oracle.violations(), List.of()))
                .run();
        deployment.time.advance(2 * SimulatedDeployment.CLAIM_RETENTION_MILLIS);
        assertEquals(deployment.oracle.violations(), List.of());
    }

    /** Guards against an oracle or a simulation that does not detect a fault in the settlement of requests. */
    @Property(tries = 1)
    void the_oracle_detects_each_injected_fault() {
        for (InjectedFault fault : InjectedFault.values()) {
            if (fault == InjectedFault.NONE) {
                continue;
            }
            Optional<Detection> detection = search(fault);
            System.out.println("| " + fault + " | "
                    + detection
                            .map(result -> result.seed() + " | " + result.steps() + " | " + result.violation())
                            .orElse("not found")
                    + " |");
            assertEquals(detection.isPresent(), true, fault.name());
        }
    }

    /** Guards against random steps that leave most callers without an answer, so that the fuzz test would prove nothing. */
    @Property(tries = 1)
    void random_steps_lead_to_all_outcomes() {
        Map<String, Long> reportedCounts = new TreeMap<>();
        for (long seed = 1; seed <= 200; seed++) {
            SimulatedDeployment deployment = new SimulatedDeployment(InjectedFault.NONE, seed);
            Random stepRandom = new Random(seed);
            for (int step = 1; step <= STEPS_PER_SEED; step++) {
                deployment.randomStep(stepRandom);
            }
            for (String outcome : List.of("ran", "not_run", "unknown", "nothing")) {
                reportedCounts.merge(outcome, deployment.oracle.countReported(outcome), Long::sum);
            }
            assertEquals(deployment.oracle.violations(), List.of(), "seed " + seed);
        }
        System.out.println(reportedCounts);
        reportedCounts.forEach((outcome, count) -> assertTrue(count >= 500, reportedCounts.toString()));
    }

    private static Optional<Detection> search(InjectedFault fault) {
        for (long seed = 1; seed <= SEEDS_PER_FAULT; seed++) {
            SimulatedDeployment deployment = new SimulatedDeployment(fault, seed);
            Random stepRandom = new Random(seed);
            for (int step = 1; step <= STEPS_PER_SEED; step++) {
                deployment.randomStep(stepRandom);
                List<String> violations = deployment.oracle.violations();
                if (!violations.isEmpty()) {
                    return Optional.of(new Detection(seed, step, violations.get(0)));
                }
            }
        }
        return Optional.empty();
    }
}
