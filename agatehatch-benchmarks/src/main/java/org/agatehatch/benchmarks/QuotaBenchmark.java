package org.agatehatch.benchmarks;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.agatehatch.api.fleet.QuotaSpec;
import org.agatehatch.api.fleet.TeamSpec;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.process.ControlThread;
import org.agatehatch.internal.process.QuotaKeeper;
import org.agatehatch.internal.process.QuotaMessages;
import org.agatehatch.internal.request.QuotaAdmission;
import org.agatehatch.internal.request.QuotaClient;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Cost of an admission from a node's reserve, and of a question at a keeper of 100 nodes and 16 teams. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class QuotaBenchmark {
    private static final int NODES = 100;
    private static final int TEAMS = 16;
    private static final TeamSpec TEAM = team(0);
    private static final long COST = 1_100;

    private final Random random = new Random(1);
    private QuotaClient client;
    private QuotaKeeper keeper;
    private long questions;

    private static TeamSpec team(int index) {
        return new TeamSpec("team-" + index, List.of(), 0, new QuotaSpec(100, 1e12, 1e15));
    }

    /** Fills a reserve and lets all nodes ask once for each team. */
    @Setup
    public void prepare() {
        MonotonicClock clock = MonotonicClock.system();
        client = new QuotaClient(
                "n",
                QuotaBenchmark::answer,
                () -> NODES,
                () -> true,
                QuotaClient.Bounds.NONE,
                new NoTimers(),
                clock,
                random,
                new NoListener());
        Set<String> members = new HashSet<>();
        for (int i = 0; i < NODES; i++) {
            members.add("n" + i);
        }
        keeper = new QuotaKeeper(() -> members, () -> true, clock);
        keeper.applyConfig(
                IntStream.range(0, TEAMS).mapToObj(QuotaBenchmark::team).toList());
        keeper.start(1);
        for (int team = 0; team < TEAMS; team++) {
            for (int node = 0; node < NODES; node++) {
                keeper.request(question(node, team));
            }
        }
    }

    private static CompletionStage<QuotaMessages.Grant> answer(QuotaMessages.Question question) {
        return CompletableFuture.completedFuture(new QuotaMessages.Grant(
                1,
                question.parts().stream()
                        .map(part -> new QuotaMessages.Answer(
                                part.team(), part.costs().size(), 1e12, 0, 0, 0, 0))
                        .toList()));
    }

    private QuotaMessages.Question question(int node, int team) {
        return new QuotaMessages.Question(
                "n" + node,
                ++questions,
                1,
                List.of(new QuotaMessages.Part("team-" + team, List.of(COST, COST), COST, 0, 0, 100, 1_000)));
    }

    /** Admits from the reserve; the keeper is asked twice a second. */
    @Benchmark
    public CompletionStage<QuotaAdmission.Admission> admitFromReserve() {
        return client.admit(TEAM, COST);
    }

    /** Decides on a question with two requests. */
    @Benchmark
    public QuotaKeeper.Reply decideQuestion() {
        return keeper.request(question(random.nextInt(NODES), random.nextInt(TEAMS)));
    }

    private static final class NoTimers implements ControlThread {
        @Override
        public void execute(Runnable task) {
            task.run();
        }

        @Override
        public ScheduledTask schedule(long delayMillis, Runnable task) {
            return () -> {};
        }
    }

    private static final class NoListener implements QuotaClient.Listener {
        @Override
        public void onAdmitted(String team, long tokens, boolean withoutKeeper) {}

        @Override
        public void onRefused(String team, long tokens, long retryAfterMillis) {}

        @Override
        public void onKeeperLost() {}

        @Override
        public void onKeeperBack(long epoch, long lostMillis, long admitted, long refused) {}
    }
}
