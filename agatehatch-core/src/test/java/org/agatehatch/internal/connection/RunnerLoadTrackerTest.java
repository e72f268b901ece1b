package org.agatehatch.internal.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.agatehatch.api.engine.LoadReport;
import org.agatehatch.internal.connection.RunnerLoadTracker.SentRequest;
import org.agatehatch.internal.time.VirtualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class RunnerLoadTrackerTest {
    private VirtualClock clock;
    private RunnerLoadTracker tracker;

    @BeforeMethod
    public void create_tracker() {
        clock = new VirtualClock();
        tracker = new RunnerLoadTracker(clock, 500);
    }

    @Test
    public void requests_sent_since_the_report_are_added() {
        tracker.recordSent(900);
        clock.advanceMillis(1_000);
        tracker.applyReport(report("e1", 1, 0, 900, 1, 0));
        tracker.recordSent(300);
        tracker.recordSent(200);
        assertEquals(tracker.estimate().queuedTokens(), 1_400, 1);
        assertEquals(tracker.estimate().runningRequests(), 3, 0.01);
        assertEquals(tracker.reportedLoad().queuedTokens(), 900, 0);
    }

    @Test
    public void requests_sent_before_a_late_report_was_taken_are_not_counted_twice() {
        tracker.recordSent(900);
        clock.advanceMillis(1_000);
        tracker.recordSent(300);
        clock.advanceMillis(500);
        // Taken before the 300 tokens were sent; the engine processed 10,000 tokens since.
        tracker.applyReport(report("e1", 1, 1_000, 90_000, 1, 0));
        assertEquals(tracker.estimate().queuedTokens(), 80_300, 1);
    }

    @Test
    public void the_first_token_removes_a_request_from_the_queue_and_its_end_removes_it_from_the_batch() {
        tracker.applyReport(report("e1", 1, 0, 0, 0, 0));
        SentRequest request = tracker.recordSent(400);
        request.markStarted();
        assertEquals(tracker.estimate().queuedTokens(), 0, 0);
        assertEquals(tracker.estimate().runningRequests(), 1, 0);
        request.markFinished();
        request.markFinished();
        assertEquals(tracker.estimate().runningRequests(), 0, 0);
    }

    @Test
    public void others_arrivals_are_extrapolated_over_the_age_of_the_report() {
        tracker.applyReport(report("e1", 1, 0, 1_000, 0, 0));
        for (int i = 0; i < 4; i++) {
            tracker.recordSent(500);
        }
        clock.advanceMillis(1_000);
        // Of 10 arrivals, this node sent 4. The queue grew by all 5,000 arrived tokens, so its drain rate is 0.
        tracker.applyReport(report("e1", 2, 0, 6_000, 0, 10));
        assertEquals(tracker.estimate().queuedTokens(), 6_000, 1);
        clock.advanceMillis(1_000);
        assertEquals(tracker.estimate().queuedTokens(), 7_500, 1);
    }

    @Test
    public void the_queue_drains_at_the_observed_rate() {
        tracker.applyReport(report("e1", 1, 0, 5_000, 0, 0));
        clock.advanceMillis(1_000);
        tracker.applyReport(report("e1", 2, 0, 3_000, 0, 0));
        clock.advanceMillis(500);
        assertEquals(tracker.estimate().queuedTokens(), 2_000, 1);
    }

    @Test
    public void a_new_engine_process_resets_the_counts_of_the_previous_one() {
        tracker.applyReport(report("e1", 5, 0, 0, 0, 100));
        SentRequest lost = tracker.recordSent(800);
        assertTrue(tracker.applyReport(report("e2", 1, 0, 0, 0, 0)));
        assertEquals(tracker.estimate().queuedTokens(), 0, 0);
        lost.markFinished();
        assertEquals(tracker.estimate().runningRequests(), 0, 0);
        assertFalse(tracker.applyReport(report("e1", 6, 0, 9_000, 0, 120)), "late report of the replaced process");
    }

    @Test
    public void an_older_report_does_not_replace_a_newer_one() {
        tracker.applyReport(report("e1", 2, 0, 200, 0, 0));
        assertFalse(tracker.applyReport(report("e1", 1, 0, 100, 0, 0)));
        assertEquals(tracker.estimate().queuedTokens(), 200, 0);
    }

    @Test
    public void without_a_report_the_estimate_covers_only_own_requests() {
        tracker.recordSent(700);
        assertEquals(tracker.estimate().queuedTokens(), 700, 0);
        assertEquals(tracker.estimate().reportAgeMillis(), Long.MAX_VALUE);
    }

    @Test
    public void concurrent_sends_are_all_counted() {
        CompletableFuture<?>[] senders = IntStream.range(0, 4)
                .mapToObj(thread -> CompletableFuture.runAsync(() -> {
                    for (int i = 0; i < 10_000; i++) {
                        tracker.recordSent(2).markFinished();
                        tracker.recordSent(1);
                    }
                }))
                .toArray(CompletableFuture<?>[]::new);
        CompletableFuture.allOf(senders).join();
        assertEquals(tracker.estimate().queuedTokens(), 40_000, 0);
        assertEquals(tracker.ownInFlight(), 40_000);
    }

    private static LoadReport report(
            String epoch, long sequence, long ageMillis, long queuedTokens, int running, long arrivals) {
        return new LoadReport(
                epoch, sequence, ageMillis, queuedTokens, running, arrivals, 0.5, 10_000, 50, 0, Set.of());
    }
}
