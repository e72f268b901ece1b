package org.agatehatch.internal.process;

import static org.agatehatch.internal.version.TestRecords.adopt;
import static org.agatehatch.internal.version.TestRecords.importOf;
import static org.agatehatch.internal.version.TestRecords.ownerChange;
import static org.agatehatch.internal.version.TestRecords.sampleCatalogue;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.agatehatch.api.log.AppendLog;
import org.agatehatch.internal.process.AppendResult.Status;
import org.agatehatch.internal.version.LeaseTable;
import org.agatehatch.internal.version.record.StateRecord.DrainSet;
import org.agatehatch.internal.version.record.StateRecord.LeaseTake;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against append results that claim more than is known, and against records that take effect twice. */
public final class BatchAppenderTest {
    private VirtualTime time;
    private AppendLog store;
    private TestNode node;

    @BeforeMethod
    public void start_a_node_with_the_sample_catalogue() {
        time = new VirtualTime();
        store = VirtualLog.store(10_000);
        LogTailerTest.appendTo(store, importOf(sampleCatalogue()));
        node = new TestNode("n1", time, store, 1).start();
        time.advance(1_000);
    }

    @Test
    public void records_of_a_short_interval_share_one_append() {
        List<CompletableFuture<AppendResult>> results = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            results.add(node.append(new DrainSet("d" + i, "order-desk-medeu", true, "op"), 5_000));
        }
        time.advance(1_000);

        assertTrue(results.stream().allMatch(result -> result.join().accepted()));
        assertEquals(node.log.appends(), 1);
        assertEquals(results.get(0).join().offset(), 1);
    }

    /** Guards against an operator who is told of a change that the requests of the same node do not follow yet. */
    @Test
    public void an_append_completes_after_all_listeners_have_seen_its_record() {
        List<Long> versionsSeenBefore = new ArrayList<>();
        CompletableFuture<Void> completed = node.append(ownerChange("a", 1, "first"), 5_000)
                .thenAccept(result -> versionsSeenBefore.addAll(node.versions));
        time.advance(5_000);

        assertTrue(completed.isDone());
        assertEquals(versionsSeenBefore, List.of(1L, 2L));
    }

    @Test
    public void lost_responses_are_resolved_by_reading_the_log_and_the_record_takes_effect_once() {
        node.log.loseResponses(2);
        CompletableFuture<AppendResult> result = node.append(ownerChange("a", 1, "first"), 10_000);
        time.advance(10_000);

        assertTrue(result.join().accepted());
        assertEquals(result.join().offset(), 1);
        assertEquals(node.state.view().catalogue().version(), 2);
    }

    @Test
    public void an_append_that_failed_during_an_outage_is_sent_again() {
        node.log.setDown(true);
        CompletableFuture<AppendResult> result = node.append(ownerChange("a", 1, "first"), 20_000);
        time.advance(5_000);
        node.log.setDown(false);
        time.advance(20_000);

        assertTrue(result.join().accepted());
    }

    @Test
    public void an_append_that_is_stored_twice_completes_with_the_first_offset() {
        // The append takes effect 3 s late, after the retry at 2 s was sent.
        node.log.delayAppends(3_000);
        CompletableFuture<AppendResult> result = node.append(ownerChange("a", 1, "first"), 20_000);
        time.advance(20_000);

        assertTrue(node.log.appends() > 1);
        assertEquals(
                result.join(),
                AppendResult.decided(1, result.join().acceptance().orElseThrow()));
        assertEquals(node.state.view().catalogue().version(), 2);
    }

    @Test
    public void a_record_not_read_back_by_its_deadline_is_unknown_even_if_it_appears_later() {
        node.log.delayAppends(30_000);
        CompletableFuture<AppendResult> result = node.append(ownerChange("a", 1, "first"), 1_000);
        time.advance(1_100);
        assertEquals(result.join().status(), Status.UNKNOWN);

        time.advance(40_000);
        assertEquals(node.state.view().catalogue().version(), 2);
        assertEquals(node.appender.counters(AppendPurpose.CONFIGURATION).unknown(), 1);
    }

    @Test
    public void of_two_concurrent_changes_on_two_nodes_one_is_accepted() {
        TestNode secondNode = new TestNode("n2", time, store, 1).start();
        time.advance(1_000);
        CompletableFuture<AppendResult> one = node.append(ownerChange("a", 1, "first"), 5_000);
        CompletableFuture<AppendResult> two = secondNode.append(ownerChange("b", 1, "second"), 5_000);
        time.advance(5_000);

        assertNotEquals(one.join().accepted(), two.join().accepted());
        assertEquals(secondNode.state.view().catalogue(), node.state.view().catalogue());
    }

    @Test
    public void appends_beyond_the_rate_limit_wait_and_unsent_records_are_reported_as_not_sent() {
        List<CompletableFuture<AppendResult>> results = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            results.add(node.append(new DrainSet("d" + i, "order-desk-medeu", true, "op"), 1_000));
            time.advance(30);
        }
        time.advance(2_000);

        // The limit allows a burst of 5 appends, then 5 per second. All records are accepted before their deadline of
        // 1 s, because those that wait share appends.
        BatchAppender.Counters counters = node.appender.counters(AppendPurpose.CONFIGURATION);
        assertTrue(counters.rateLimited() > 0);
        assertTrue(counters.appends() <= 9, counters.toString());
        assertTrue(results.stream().allMatch(result -> result.join().accepted()));

        node.thread.pause();
        CompletableFuture<AppendResult> late = node.append(ownerChange("a", 1, "first"), 100);
        time.advance(1_000);
        node.thread.resume();
        time.advance(1_000);
        assertEquals(late.join().status(), Status.NOT_SENT);
        assertEquals(node.state.view().catalogue().version(), 1);
    }

    @Test
    public void two_intents_for_one_runner_are_sent_in_two_batches() {
        LogTailerTest.appendTo(store, new LeaseTake("t", LeaseTable.poolLeaseName("bench-advisor"), "n2", "i", -1));
        time.advance(1_000);
        CompletableFuture<AppendResult> one = node.append(adopt("o1", 1, "runner-medeu-1"), 5_000);
        CompletableFuture<AppendResult> two = node.append(adopt("o2", 1, "runner-medeu-1"), 5_000);
        time.advance(2_000);

        assertTrue(one.join().accepted());
        assertTrue(two.join().accepted());
        assertTrue(one.join().offset() < two.join().offset());
    }

    @Test
    public void an_oversized_record_fails_at_once_and_is_not_sent() {
        CompletableFuture<AppendResult> result = node.append(new DrainSet("d", "x".repeat(300_000), true, "op"), 5_000);
        time.advance(100);

        assertTrue(result.isCompletedExceptionally());
        assertEquals(node.log.appends(), 0);
        assertFalse(node.state.state().decision("d").isPresent());
    }
}
