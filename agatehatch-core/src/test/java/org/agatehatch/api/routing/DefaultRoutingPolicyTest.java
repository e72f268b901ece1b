package org.agatehatch.api.routing;

import static org.agatehatch.api.routing.RoutingSamples.candidate;
import static org.agatehatch.api.routing.RoutingSamples.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;

public class DefaultRoutingPolicyTest {
    private final Random random = new Random(7);
    private final RoutingPolicy policy = new DefaultRoutingPolicy(FirstTokenModel.DEFAULT, random::nextDouble);

    @Test
    public void nodes_with_the_same_stale_view_spread_over_runners_with_near_best_scores() {
        List<Candidate> staleView = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            staleView.add(candidate("runner-" + i, 1_000 + i));
        }
        Map<String, Integer> chosen = new HashMap<>();
        for (int node = 0; node < 60; node++) {
            chosen.merge(choose(request(100), staleView), 1, Integer::sum);
        }
        int most = chosen.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        assertEquals(chosen.size(), 6, "runners used: " + chosen);
        assertTrue(most <= 20, "one runner got more than a third: " + chosen);
    }

    @Test
    public void runners_with_much_higher_scores_are_never_chosen() {
        List<Candidate> candidates = List.of(candidate("idle", 0), candidate("busy", 5_000));
        for (int i = 0; i < 200; i++) {
            assertEquals(choose(request(100), candidates), "idle");
        }
    }

    @Test
    public void a_cached_prefix_outweighs_a_short_queue() {
        List<Candidate> candidates =
                List.of(candidate("cold", 0, 0, true, true, 100), candidate("warm", 1_000, 7_900, true, true, 100));
        for (int i = 0; i < 50; i++) {
            assertEquals(choose(request(8_000), candidates), "warm");
        }
    }

    /** Guards against runners with large batches, which delay all tokens, while other runners have small batches. */
    @Test
    public void with_equal_queues_the_runner_with_the_much_smaller_batch_is_chosen() {
        List<Candidate> candidates = List.of(withBatch("full", 60), withBatch("small", 10));
        for (int i = 0; i < 200; i++) {
            assertEquals(choose(request(100), candidates), "small");
        }
    }

    /** Guards against the score, which includes the batch penalty, being reported as the predicted time. */
    @Test
    public void the_predicted_time_to_first_token_excludes_the_batch_penalty() {
        Candidate only = withBatch("only", 10);
        double predicted =
                policy.choose(request(100), List.of(only)).orElseThrow().predictedFirstTokenMillis();
        assertEquals(predicted, FirstTokenModel.DEFAULT.predictMillis(request(100), only), 1e-9);
    }

    private static Candidate withBatch(String name, int running) {
        return new Candidate(RoutingSamples.server(name, "domain"), 1, 0, running, 10_000, 0, true, true, 100);
    }

    @Test
    public void a_runner_without_the_adapter_is_excluded_if_a_load_is_not_allowed() {
        Candidate without = candidate("without", 0, 0, false, false, 100);
        Candidate with = candidate("with", 50_000, 0, true, false, 100);
        assertEquals(choose(request(10), List.of(without, with)), "with");
        assertTrue(policy.choose(request(10), List.of(without)).isEmpty());
    }

    @Test
    public void a_runner_without_a_report_does_not_count_as_idle() {
        Candidate silent = candidate("silent", 0, 0, true, true, Long.MAX_VALUE);
        List<Candidate> candidates = List.of(silent, candidate("short", 1_000), candidate("long", 20_000));
        for (int i = 0; i < 50; i++) {
            assertEquals(choose(request(10), candidates), "short");
        }
    }

    @Test
    public void prediction_sums_distance_queue_prompt_and_adapter() {
        Candidate candidate = candidate("only", 1_000, 40, false, true, 100);
        double predicted =
                policy.choose(request(140), List.of(candidate)).orElseThrow().predictedFirstTokenMillis();
        assertEquals(predicted, 2 + 100 + 10 + 10, 0.001);
    }

    @Test
    public void no_candidate_gives_no_decision() {
        assertTrue(policy.choose(request(10), List.of()).isEmpty());
    }

    private String choose(RoutingRequest request, List<Candidate> candidates) {
        return policy.choose(request, candidates)
                .orElseThrow()
                .candidate()
                .server()
                .name();
    }
}
