package org.agatehatch.internal.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.agatehatch.internal.request.KvImportDecision.Costs;
import org.testng.annotations.Test;

public class KvImportDecisionTest {
    private static final double GIGABYTE = 1e9;

    @Test
    public void a_fast_link_and_an_overloaded_source_make_import_worthwhile() {
        KvImportDecision decision = decide(8_000, 0, GIGABYTE, 2_000);
        assertTrue(decision.importCache());
        assertEquals(decision.copyMillis(), 2 + 400, 0.001);
        assertEquals(decision.computeMillis(), 800, 0.001);
    }

    @Test
    public void a_slow_link_makes_recomputation_cheaper() {
        assertFalse(decide(8_000, 0, GIGABYTE / 10, 20_000).importCache());
    }

    @Test
    public void a_source_that_is_not_overloaded_serves_the_request_itself() {
        assertFalse(decide(8_000, 0, GIGABYTE, 100).importCache());
    }

    @Test
    public void tokens_that_the_target_holds_are_not_copied() {
        assertFalse(decide(8_000, 8_000, GIGABYTE, 2_000).importCache());
    }

    private static KvImportDecision decide(int source, int target, double linkBytesPerSecond, double sourceWaitMillis) {
        return KvImportDecision.decide(
                new Costs(source, target, 50_000, linkBytesPerSecond, 1, 10_000, sourceWaitMillis, 50));
    }
}
