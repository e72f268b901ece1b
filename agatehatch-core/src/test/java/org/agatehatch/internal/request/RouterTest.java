package org.agatehatch.internal.request;

import static org.agatehatch.internal.request.RouterFixture.chosen;
import static org.agatehatch.internal.request.RouterFixture.request;
import static org.agatehatch.internal.request.RouterFixture.requestAfterAttemptsAt;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import org.agatehatch.api.engine.LoadReport;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.api.routing.Candidate;
import org.agatehatch.api.routing.PromptBlocks;
import org.agatehatch.api.routing.RoutingRequest;
import org.agatehatch.internal.connection.CacheEvents;
import org.agatehatch.internal.connection.LeavingSource;
import org.agatehatch.internal.connection.LoadEstimate;
import org.agatehatch.internal.connection.RunnerLoadTracker;
import org.testng.annotations.Test;

public class RouterTest {
    private static final Set<String> NONE = Set.of();

    @Test
    public void drained_leaving_ejected_tried_and_answer_only_runners_are_excluded() {
        RouterFixture fixture = new RouterFixture(8);
        fixture.unavailable.add("r0");
        fixture.health.setLeaving("r1", LeavingSource.SERVER, true);
        for (int i = 0; i < 3; i++) {
            fixture.health.recordFailure("r2");
        }
        fixture.roles.put("r3", "answer");
        assertEquals(chosenRunners(fixture, NONE), Set.of("r4", "r5", "r6", "r7"));
        assertEquals(chosenRunners(fixture, Set.of("r4", "r5")), Set.of("r6", "r7"));
    }

    @Test
    public void a_second_attempt_goes_to_another_failure_domain() {
        assertEquals(chosenRunners(new RouterFixture(6), Set.of("r4")), Set.of("r1", "r3", "r5"));
    }

    private static Set<String> chosenRunners(RouterFixture fixture, Set<String> tried) {
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            seen.add(chosen(fixture.router().route(requestAfterAttemptsAt(tried))));
        }
        return seen;
    }

    @Test
    public void without_any_usable_runner_there_is_no_decision() {
        RouterFixture fixture = new RouterFixture(1);
        fixture.unavailable.add("r0");
        RoutingResult route = fixture.router().route(request(100));
        assertTrue(route.decision().isEmpty());
        assertTrue(route.logLine().endsWith("known=1 scored=0 server=none"), route.logLine());
        assertFalse(fixture.router().hasRoom("model"));
    }

    @Test
    public void an_unknown_model_fails_with_model_not_found() {
        Router router = new RouterFixture(1).router();
        RoutingRequest unknown = new RoutingRequest("x", Optional.empty(), "owner", 50, 1, 0, 0);
        AgatehatchException error = expectThrows(
                AgatehatchException.class,
                () -> router.route(new AttemptRoutingRequest(unknown, new long[0], 0, NONE)));
        assertEquals(error.code(), ErrorCode.MODEL_NOT_FOUND);
    }

    @Test
    public void a_request_for_a_model_that_no_runner_can_load_is_refused_instead_of_queued() {
        RouterFixture fixture = new RouterFixture(2);
        fixture.modelIsLoaded = false;
        Router router = fixture.router();

        AgatehatchException error = expectThrows(AgatehatchException.class, () -> router.load(request(100)));

        assertEquals(error.code(), ErrorCode.NO_BACKEND_SERVER);
        assertEquals(error.outcome(), Outcome.NOT_RUN);
        assertTrue(error.retryAfterMillis() > 0, "the error has no retry-after time");
    }

    @Test
    public void a_request_waits_for_a_model_that_a_reporting_runner_may_load() {
        RouterFixture fixture = new RouterFixture(2);
        fixture.modelIsLoaded = false;
        fixture.reportAll(1, 0, Set.of());

        assertEquals(fixture.router().load(request(100)).bestFirstTokenMillis(), 0, 0.1);
    }

    @Test
    public void at_most_32_of_many_replicas_are_scored_and_all_get_requests() {
        RouterFixture fixture = new RouterFixture(200);
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < 4_000; i++) {
            RoutingResult route = fixture.router().route(request(100));
            assertEquals(route.scoredServers(), Router.MAX_SCORED_SERVERS);
            seen.add(chosen(route));
        }
        assertEquals(seen.size(), 200);
    }

    @Test
    public void a_burst_at_one_node_spreads_because_local_sends_adjust_the_reported_load() {
        assertTrue(mostTokensAfterBurst(RunnerLoadTracker::estimate) <= 60_000);
        assertTrue(mostTokensAfterBurst(RunnerLoadTracker::reportedLoad) > 100_000, "the baseline does not spread");
    }

    /**
     * The report of one runner shows a shorter queue, and 60 requests of 4,000 tokens arrive before the next report.
     */
    private static long mostTokensAfterBurst(Function<RunnerLoadTracker, LoadEstimate> load) {
        RouterFixture fixture = new RouterFixture(6);
        fixture.reportAll(1, 3_000, NONE);
        fixture.trackers.getOrCreate("r2").applyReport(new LoadReport("epoch", 2, 0, 0, 0, 0, 0, 10_000, 50, 0, NONE));
        Router router = fixture.router(load);
        Map<String, Long> tokens = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            String runner = chosen(router.route(request(4_000)));
            fixture.trackers.getOrCreate(runner).recordSent(4_000);
            tokens.merge(runner, 4_000L, Long::sum);
        }
        return tokens.values().stream().mapToLong(Long::longValue).max().orElseThrow();
    }

    @Test
    public void requests_with_a_shared_long_prefix_go_to_its_home() {
        RouterFixture fixture = new RouterFixture(6);
        fixture.reportAll(1, 0, NONE);
        Set<String> seen = new HashSet<>();
        for (int seed = 0; seed < 30; seed++) {
            seen.add(chosen(fixture.router().route(requestWithSharedPrefix(seed))));
        }
        assertEquals(seen.size(), 1);
    }

    @Test
    public void a_hot_prefix_spreads_before_its_home_is_overloaded() {
        RouterFixture fixture = new RouterFixture(6);
        Set<String> early = new HashSet<>();
        Set<String> late = new HashSet<>();
        for (int i = 0; i < 400; i++) {
            fixture.reportAll(i + 1, 0, NONE);
            AttemptRoutingRequest request = requestWithSharedPrefix(i % 30);
            String runner = chosen(fixture.router().route(request));
            fixture.affinity.recordRequest(
                    request.request().prefixHash(), request.request().promptTokens());
            (i < 5 ? early : late).add(runner);
            fixture.clock.advanceMillis(500);
        }
        assertEquals(early.size(), 1);
        assertTrue(late.size() > 1, "all requests went to " + late);
    }

    @Test
    public void adapter_requests_go_to_runners_where_the_adapter_is_resident_or_may_be_loaded() {
        RouterFixture fixture = new RouterFixture(4);
        fixture.reportAll(1, 0, NONE);
        AttemptRoutingRequest request = request(100, new long[0], 0, Optional.of("adapter"), NONE);
        assertTrue(
                fixture.router().route(request).decision().isEmpty(),
                "the adapter is not resident and no load slot is free");
        assertTrue(fixture.budget.demandPerSecond() > 0, "the demand must be counted for the next apportionment");
        fixture.budget.apportion(15, Map.of("node", 1.0));
        RoutingResult load = fixture.router().route(request);
        assertTrue(load.logLine().contains(" adapter=load "), load.logLine());
        fixture.reportAll(2, 0, Set.of("adapter"));
        fixture.budget.apportion(0, Map.of());
        assertTrue(fixture.router().route(request).logLine().contains(" adapter=resident "));
    }

    @Test
    public void a_service_call_goes_to_the_server_with_the_fewest_calls_in_flight_at_this_node() {
        RouterFixture fixture = new RouterFixture(3);
        fixture.trackers.getOrCreate("r0").recordSent(1);
        fixture.trackers.getOrCreate("r2").recordSent(1);
        RoutingRequest call = new RoutingRequest("desk", Optional.empty(), "owner", 50, 0, 0, 0);
        assertEquals(chosen(fixture.router().routeService(call, NONE)), "r1");
        fixture.health.setLeaving("r1", LeavingSource.DRAIN, true);
        assertEquals(chosen(fixture.router().routeService(call, Set.of("r0"))), "r2");
    }

    @Test
    public void admission_sees_the_best_wait_and_when_all_runners_are_full() {
        RouterFixture fixture = new RouterFixture(2);
        fixture.reportAll(1, 1_000, NONE);
        PoolLoad load = fixture.router().load(request(100));
        assertEquals(load.bestFirstTokenMillis(), 2 + 110, 0.1);
        assertEquals(load.tokensPerSecond(), PoolLoad.NO_QUEUE_DELAY);
        assertTrue(fixture.router().hasRoom("model"));
        fixture.reportAll(2, 5_000, NONE);
        // Two runners with 10,000 tokens per second each, shared by four nodes.
        assertEquals(fixture.router().load(request(100)).tokensPerSecond(), 5_000, 0.1);
        assertFalse(fixture.router().hasRoom("model"));
        assertEquals(fixture.router().saturation(RouterFixture.POOL), 2, 0.01);
    }

    /**
     * Guards against refusing a request with a long prompt that a runner has cached and could therefore answer in time.
     */
    @Test
    public void admission_does_not_count_prompt_tokens_that_a_runner_has_cached() {
        RouterFixture fixture = new RouterFixture(2);
        fixture.reportAll(1, 0, NONE);
        long[] blocks = new long[64];
        Arrays.setAll(blocks, i -> i + 1);
        AttemptRoutingRequest longPrompt = request(4_096, blocks, 0, Optional.empty(), NONE);
        double before = fixture.router().load(longPrompt).bestFirstTokenMillis();
        fixture.prefixIndex.apply(
                "r1",
                CacheEvents.snapshot("epoch", 1, Arrays.stream(blocks).boxed().toList()));
        double after = fixture.router().load(longPrompt).bestFirstTokenMillis();
        assertEquals(before, 2 + 409.6, 0.1);
        assertEquals(after, 2, 0.1);
    }

    /** Guards against counting cached prompt tokens as load, which makes the home of a shared prefix appear busy. */
    @Test
    public void requests_at_the_home_of_their_prefix_count_only_uncached_tokens() {
        RouterFixture fixture = new RouterFixture(2);
        fixture.reportAll(1, 0, NONE);
        long[] blocks = new long[64];
        Arrays.setAll(blocks, i -> i + 1);
        fixture.prefixIndex.apply(
                "r1",
                CacheEvents.snapshot("epoch", 1, Arrays.stream(blocks).boxed().toList()));
        AttemptRoutingRequest longPrompt = request(4_196, blocks, 0, Optional.empty(), NONE);
        for (int i = 0; i < 10; i++) {
            Candidate candidate =
                    fixture.router().route(longPrompt).decision().orElseThrow().candidate();
            assertEquals(candidate.server().name(), "r1");
            fixture.trackers.getOrCreate("r1").recordSent(candidate.uncachedTokens(4_196));
        }
        assertEquals(fixture.trackers.getOrCreate("r1").estimate().queuedTokens(), 1_000, 1_000 * 0.01);
    }

    @Test
    public void the_log_line_contains_the_figures_of_the_decision() {
        RouterFixture fixture = new RouterFixture(1);
        fixture.reportAll(1, 1_000, NONE);
        assertEquals(
                fixture.router().route(request(100)).logLine(),
                "route entry=model owner=owner priority=50 prompt_tokens=100 known=1 scored=1 server=r0"
                        + " first_token_ms=112 distance_ms=1 queued_tokens=1000 running=0 cached_tokens=0"
                        + " adapter=none report_age_ms=0 best_score_ms=112 near_best=1 of=1");
    }

    /** Returns a request whose prompt starts with a 5 KiB prefix shared by all seeds. */
    private static AttemptRoutingRequest requestWithSharedPrefix(int seed) {
        byte[] prompt = new byte[8_000];
        new Random(seed).nextBytes(prompt);
        byte[] sharedPrefix = new byte[5_120];
        new Random(1_000).nextBytes(sharedPrefix);
        System.arraycopy(sharedPrefix, 0, prompt, 0, sharedPrefix.length);
        long[] blocks = PromptBlocks.hashes(prompt);
        return request(2_000, blocks, PromptBlocks.prefixHash(blocks), Optional.empty(), NONE);
    }
}
