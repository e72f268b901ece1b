package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.Tuple;
import net.jqwik.api.statistics.Statistics;
import org.agatehatch.api.log.AppendLog;

/** Guards against two nodes holding one lease after any sequence of pauses, lost replies, late appends and outages. */
final class LeaseManagerFuzzTest {
    private static final String LEASE = "pool:bench-advisor";
    private static final int TICKS_PER_ACTION = 8;

    @Property(seed = "-8122371906343257416", tries = 400)
    void at_most_one_node_holds_a_lease_at_any_time(
            @ForAll("actions") List<Action> actions, @ForAll("clockRates") double firstClockRate) {
        VirtualTime time = new VirtualTime();
        AppendLog store = VirtualLog.store(100_000);
        // The clock rates differ by less than the tenth that the challenger's margin allows.
        List<TestNode> nodes = List.of(
                new TestNode("n1", time, store, firstClockRate), new TestNode("n2", time, store, 2 - firstClockRate));
        HolderMonitor monitor = new HolderMonitor(nodes);
        time.afterEachTask(monitor::check);
        for (TestNode node : nodes) {
            node.wantedLeases = Set.of(LEASE);
            node.liveNodes = List.of("n1", "n2");
            node.start();
        }
        time.advance(5_000);
        for (Action action : actions) {
            action.change().accept(nodes.get(action.node()));
            for (int i = 0; i < TICKS_PER_ACTION; i++) {
                time.advance(action.thenMillis() / TICKS_PER_ACTION);
                monitor.check();
            }
        }
        Statistics.label("lease was taken over").collect(monitor.holders.size() > 1);
        Statistics.label("lease was taken over")
                .coverage(checker -> checker.check(true).percentage(percentage -> percentage > 50));
    }

    @Provide
    Arbitrary<Double> clockRates() {
        return Arbitraries.of(1.0, 0.96, 1.04);
    }

    @Provide
    Arbitrary<List<Action>> actions() {
        Arbitrary<Change> changes = Arbitraries.frequency(
                weighted(3, new Change("pause", node -> node.thread.pause())),
                weighted(3, new Change("resume", node -> node.thread.resume())),
                weighted(2, new Change("lose 3 answers", node -> node.log.loseResponses(3))),
                weighted(1, new Change("delay appends 9 s", node -> node.log.delayAppends(9_000))),
                weighted(1, new Change("delay appends 40 s", node -> node.log.delayAppends(40_000))),
                weighted(2, new Change("delay reads 7 s", node -> node.log.delayReads(7_000))),
                weighted(2, new Change("do not delay appends", node -> node.log.delayAppends(0))),
                weighted(1, new Change("do not delay reads", node -> node.log.delayReads(0))),
                weighted(1, new Change("log down", node -> node.log.setDown(true))),
                weighted(3, new Change("log up", node -> node.log.setDown(false))),
                weighted(1, new Change("want no lease", node -> node.wantedLeases = Set.of())),
                weighted(3, new Change("want the lease", node -> node.wantedLeases = Set.of(LEASE))));
        Arbitrary<Action> action = Combinators.combine(
                        changes,
                        Arbitraries.integers().between(0, 1),
                        Arbitraries.longs().between(8, 24_000).withDistribution(RandomDistribution.uniform()))
                .as(Action::new);
        return action.list().ofMinSize(15).ofMaxSize(40);
    }

    private static Tuple.Tuple2<Integer, Change> weighted(int weight, Change change) {
        return Tuple.of(weight, change);
    }

    private record Change(String name, Consumer<TestNode> effect) implements Consumer<TestNode> {
        @Override
        public void accept(TestNode node) {
            effect.accept(node);
        }
    }

    private record Action(Change change, int node, long thenMillis) {
        @Override
        public String toString() {
            return change.name() + " at node " + (node + 1) + ", then " + thenMillis + " ms";
        }
    }

    private static final class HolderMonitor {
        private final List<TestNode> nodes;
        private final List<String> holders = new ArrayList<>();

        HolderMonitor(List<TestNode> nodes) {
            this.nodes = nodes;
        }

        void check() {
            List<String> currentHolders = nodes.stream()
                    .filter(node -> node.keeper.isHeld(LEASE))
                    .map(node -> node.name)
                    .toList();
            if (currentHolders.size() > 1) {
                throw new AssertionError("nodes " + currentHolders + " hold the lease at the same time");
            }
            if (!currentHolders.isEmpty()
                    && (holders.isEmpty() || !holders.get(holders.size() - 1).equals(currentHolders.get(0)))) {
                holders.add(currentHolders.get(0));
            }
        }
    }
}
