package org.agatehatch.benchmarks;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.routing.PromptBlocks;
import org.agatehatch.internal.request.RoutingResult;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Cost of a routing decision, of its log line, and of hashing a prompt. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 5, time = 2)
@Fork(1)
public class RoutingBenchmark {
    private static final int MODELS = 1_200;

    /** Number of runners, one of them the design size. */
    @Param({"60", "200", "600"})
    public int runners;

    private final byte[] prompt = new byte[8_000];
    private RoutingScenario scenario;
    private RoutingResult route;
    private int next;

    /** Builds the router and one decision for the log line. */
    @Setup
    public void prepare() {
        scenario = new RoutingScenario(runners, MODELS);
        route = scenario.router().route(scenario.request(0));
        new Random(1).nextBytes(prompt);
    }

    /** Decides for requests of which a tenth score 32 candidates and the others at most 6. */
    @Benchmark
    public RoutingResult decide() {
        return scenario.router().route(scenario.request(next++));
    }

    /** Decides for requests that all score 32 candidates. */
    @Benchmark
    public RoutingResult decideAmongMost() {
        return scenario.router().route(scenario.request(10 * next++));
    }

    /** Builds the text of the decision log line. */
    @Benchmark
    public String logLine() {
        return route.logLine();
    }

    /** Hashes the blocks of a prompt of 8,000 bytes. */
    @Benchmark
    public long[] hashPrompt() {
        return PromptBlocks.hashes(prompt);
    }
}
