package org.agatehatch.internal.connection;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.agatehatch.api.fleet.GenerationRequest;
import org.agatehatch.api.fleet.PromptPart;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against requests that are sent to runners for prompts which these do not keep. */
public final class PromptCacheEstimatorTest {
    private PromptCacheEstimator cache;

    @BeforeMethod
    public void create() {
        cache = new PromptCacheEstimator();
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
        cache.recordPrefill("r", request("", "a", "b", "c"), 100_000);
        assertEquals(cache.cachedTokens("r", request("", "a", "b", "x")), 2_000);
        assertEquals(cache.cachedTokens("r", request("", "x", "b", "c")), 0);
    }

    @Test
    public void parts_are_kept_for_one_model_and_adapter() {
        cache.recordPrefill("r", request("a1", "a"), 100_000);
        assertEquals(cache.cachedTokens("r", request("a1", "a")), 1_000);
        assertEquals(cache.cachedTokens("r", request("a2", "a")), 0);
        assertEquals(cache.cachedTokens("r", request("", "a")), 0);
    }

    @Test
    public void the_least_recently_used_parts_go_first_and_beginnings_last() {
        cache.recordPrefill("r", request("", "old", "1"), 8_000);
        cache.recordPrefill("r", request("", "new", "2"), 8_000);
        cache.recordPrefill("r", request("", "new", "3"), 8_000);
        assertEquals(cache.cachedTokens("r", request("", "new", "3")), 2_000);
        assertEquals(cache.cachedTokens("r", request("", "old", "1")), 1_000);
    }

    @Test
    public void a_dropped_model_or_a_restart_leaves_nothing() {
        cache.recordPrefill("r", request("a1", "a"), 100_000);
        cache.invalidate("r", "m");
        assertEquals(cache.cachedTokens("r", request("a1", "a")), 0);
        cache.recordPrefill("r", request("", "a"), 100_000);
        cache.invalidate("r");
        assertEquals(cache.cachedTokens("r", request("", "a")), 0);
    }
}
