package org.agatehatch.internal.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.Outcome;
import org.testng.annotations.Test;

/**
 * Guards against an attempt that is both dispatched and cancelled or timed out, and against outcomes that claim more
 * than is known.
 */
public class AttemptStateTest {
    @Test
    public void exactly_one_of_dispatch_cancel_and_timeout_wins() throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(3);
        try {
            for (int round = 0; round < 500; round++) {
                AttemptState state = new AttemptState();
                CyclicBarrier start = new CyclicBarrier(3);
                List<Callable<Boolean>> transitions = List.of(state::commit, state::cancel, state::timeOut);
                List<Future<Boolean>> results = new ArrayList<>();
                for (Callable<Boolean> transition : transitions) {
                    results.add(threads.submit(() -> {
                        start.await();
                        return transition.call();
                    }));
                }
                int winners = 0;
                for (Future<Boolean> result : results) {
                    winners += result.get() ? 1 : 0;
                }
                assertEquals(winners, 1, "round " + round + " ended as " + state.phase());
            }
        } finally {
            threads.shutdownNow();
        }
    }

    @Test
    public void outcome_is_not_run_before_the_commit_point_and_unknown_after_it() {
        AttemptState state = new AttemptState();
        assertEquals(state.outcome(), Outcome.NOT_RUN);
        assertTrue(state.commit());
        assertEquals(state.outcome(), Outcome.UNKNOWN);
        assertFalse(state.cancel());
        assertTrue(state.settle(Outcome.RAN));
        assertEquals(state.outcome(), Outcome.RAN);
    }

    @Test
    public void only_the_first_settlement_counts_and_only_after_the_commit_point() {
        AttemptState state = new AttemptState();
        assertFalse(state.settle(Outcome.RAN));
        assertTrue(state.commit());
        assertTrue(state.settle(Outcome.NOT_RUN));
        assertFalse(state.settle(Outcome.RAN));
        assertEquals(state.outcome(), Outcome.NOT_RUN);
    }

    @Test
    public void a_cancelled_attempt_cannot_be_dispatched() {
        AttemptState state = new AttemptState();
        assertTrue(state.cancel());
        assertFalse(state.commit());
        assertEquals(state.outcome(), Outcome.NOT_RUN);
    }

    @Test
    public void attempt_ids_round_trip_through_text_and_malformed_ones_are_rejected() {
        AttemptId id = AttemptId.random(new Random(7));
        assertEquals(AttemptId.parse(id.toString()), id);
        assertEquals(AttemptId.parse("f".repeat(32)), new AttemptId(-1, -1));
        for (String bad : List.of("", "0".repeat(31), "0".repeat(33), "-" + "0".repeat(31), "\u0660".repeat(32))) {
            org.testng.Assert.expectThrows(AgatehatchException.class, () -> AttemptId.parse(bad));
        }
    }
}
