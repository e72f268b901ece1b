package org.agatehatch.internal.connection;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.agatehatch.api.fleet.GenerationRequest;
import org.agatehatch.api.fleet.PromptPart;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against requests that are routed to a runner for a cached prompt that the runner does not hold. */
public final class PromptCacheEstimatorTest {
    private PromptCacheEstimator estimator;

    @BeforeMethod
    public void create_estimator() {
        estimator = new PromptCacheEstimator();
    }

    private static GenerationRequest request(String adapter, String... parts) {
        List<PromptPart> list = new ArrayList<>();
        for (String part : parts) {
            list.add(new PromptPart(part, 1_000));
        }
        return new GenerationRequest("m", adapter, 1_000 * parts.length, 10, list);
    }

    @Test
    public void a_part_counts_only_with_all_parts_before_it() {
        estimator.recordPrefill("r", request("", "a", "b", "c"), 100_000);
        assertEquals(estimator.cachedTokens("r", request("", "a", "b", "x")), 2_000);
        assertEquals(estimator.cachedTokens("r", request("", "x", "b", "c")), 0);
    }

    @Test
    public void parts_are_cached_per_model_and_adapter() {
        estimator.recordPrefill("r", request("a1", "a"), 100_000);
        assertEquals(estimator.cachedTokens("r", request("a1", "a")), 1_000);
        assertEquals(estimator.cachedTokens("r", request("a2", "a")), 0);
        assertEquals(estimator.cachedTokens("r", request("", "a")), 0);
    }

    @Test
    public void least_recently_used_parts_are_evicted_first_and_leading_parts_last() {
        estimator.recordPrefill("r", request("", "old", "1"), 8_000);
        estimator.recordPrefill("r", request("", "new", "2"), 8_000);
        estimator.recordPrefill("r", request("", "new", "3"), 8_000);
        assertEquals(estimator.cachedTokens("r", request("", "new", "3")), 2_000);
        assertEquals(estimator.cachedTokens("r", request("", "old", "1")), 1_000);
    }

    @Test
    public void unloading_a_model_or_restarting_a_runner_invalidates_its_parts() {
        estimator.recordPrefill("r", request("a1", "a"), 100_000);
        estimator.invalidate("r", "m");
        assertEquals(estimator.cachedTokens("r", request("a1", "a")), 0);
        estimator.recordPrefill("r", request("", "a"), 100_000);
        estimator.invalidate("r");
        assertEquals(estimator.cachedTokens("r", request("", "a")), 0);
    }
}
