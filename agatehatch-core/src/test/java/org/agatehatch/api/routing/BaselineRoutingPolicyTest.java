package org.agatehatch.api.routing;

import static org.agatehatch.api.routing.RoutingSamples.candidate;
import static org.agatehatch.api.routing.RoutingSamples.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;

public class BaselineRoutingPolicyTest {
    private static final List<Candidate> CANDIDATES =
            List.of(candidate("a", 300), candidate("b", 100), candidate("c", 200));

    @Test
    public void round_robin_chooses_every_candidate_in_turn() {
        RoutingPolicy policy = new RoundRobinRoutingPolicy();
        assertEquals(names(policy, 6), List.of("a", "b", "c", "a", "b", "c"));
    }

    @Test
    public void least_load_chooses_the_shortest_queue() {
        assertEquals(names(new LeastLoadRoutingPolicy(), 2), List.of("b", "b"));
    }

    @Test
    public void random_chooses_every_candidate_at_some_time() {
        Set<String> seen = new HashSet<>(names(new RandomRoutingPolicy(new Random(3)::nextInt), 50));
        assertEquals(seen, Set.of("a", "b", "c"));
    }

    @Test
    public void baselines_skip_runners_that_may_not_load_the_adapter() {
        List<Candidate> none = List.of(candidate("x", 0, 0, false, false, 0));
        for (RoutingPolicy policy : List.of(
                new RandomRoutingPolicy(bound -> 0), new RoundRobinRoutingPolicy(), new LeastLoadRoutingPolicy())) {
            assertTrue(policy.choose(request(1), none).isEmpty());
        }
    }

    private static List<String> names(RoutingPolicy policy, int decisions) {
        return java.util.stream.IntStream.range(0, decisions)
                .mapToObj(i -> policy.choose(request(10), CANDIDATES)
                        .orElseThrow()
                        .candidate()
                        .server()
                        .name())
                .toList();
    }
}
