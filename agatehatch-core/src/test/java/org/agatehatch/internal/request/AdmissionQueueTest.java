package org.agatehatch.internal.request;

import static org.agatehatch.internal.request.AdmissionFixture.IDLE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.agatehatch.api.catalogue.Owner;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.process.OwnerUsage.Usage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class AdmissionQueueTest {
    private AdmissionFixture fixture;
    private AdmissionQueue queue;

    @BeforeMethod
    public void create_queue() {
        fixture = new AdmissionFixture().owner(new Owner("mason", 1, 1_000, 0)).owner(new Owner("school", 1, 1_000, 0));
        queue = fixture.queue(100);
    }

    @Test
    public void higher_priorities_are_dispatched_first() {
        queue.offer(fixture.request("mason", 10, 500), IDLE);
        queue.offer(fixture.request("mason", 90, 5_000), IDLE);
        queue.offer(fixture.request("mason", 50, 100), IDLE);
        assertEquals(priorities(), List.of(90, 50, 10));
    }

    @Test
    public void the_earliest_deadline_of_an_owner_is_dispatched_first() {
        queue.offer(fixture.request("late", "mason", 50, 10, 900), IDLE);
        queue.offer(fixture.request("early", "mason", 50, 10, 300), IDLE);
        queue.offer(fixture.request("middle", "mason", 50, 10, 600), IDLE);
        List<String> entries = new ArrayList<>();
        drain().forEach(ticket -> entries.add(ticket.request().entry()));
        assertEquals(entries, List.of("early", "middle", "late"));
    }

    @Test
    public void an_entry_without_capacity_does_not_block_other_entries() {
        queue.offer(fixture.request("full", "mason", 90, 10, 300), IDLE);
        queue.offer(fixture.request("free", "mason", 10, 10, 900), IDLE);
        QueueTicket next =
                queue.poll(request -> request.entry().equals("free"), 0).orElseThrow();
        assertEquals(next.request().entry(), "free");
        assertTrue(queue.poll(request -> request.entry().equals("free"), 0).isEmpty());
        assertEquals(queue.waitingRequests(), 1);
    }

    @Test
    public void the_queue_is_bounded_in_count_and_bytes() {
        AdmissionQueue byCount = fixture.queue(2);
        byCount.offer(fixture.request("mason", 50, 500), IDLE);
        byCount.offer(fixture.request("mason", 50, 500), IDLE);
        AgatehatchException refused =
                expectThrows(AgatehatchException.class, () -> byCount.offer(fixture.request("mason", 50, 500), IDLE));
        assertEquals(refused.code(), ErrorCode.OVERLOADED);
        assertEquals(refused.outcome(), Outcome.NOT_RUN);
        assertTrue(refused.retryAfterMillis() > 0);

        AdmissionQueue byBytes = fixture.queue(100, 250, HoldbackPolicy.none());
        byBytes.offer(fixture.request("mason", 50, 500), IDLE);
        byBytes.offer(fixture.request("mason", 50, 500), IDLE);
        assertThrows(AgatehatchException.class, () -> byBytes.offer(fixture.request("mason", 50, 500), IDLE));
        assertEquals(byBytes.waitingBytes(), 200);
    }

    @Test
    public void a_full_queue_displaces_or_refuses_the_lower_priority() {
        AdmissionQueue small = fixture.queue(2);
        small.offer(fixture.request("mason", 10, 500), IDLE);
        small.offer(fixture.request("mason", 10, 900), IDLE);
        small.offer(fixture.request("mason", 90, 500), IDLE);
        assertEquals(fixture.refusals.size(), 1);
        assertEquals(fixture.refusals.get(0).code(), ErrorCode.OVERLOADED);
        assertEquals(small.waitingRequests(), 2);
        assertThrows(AgatehatchException.class, () -> small.offer(fixture.request("mason", 5, 500), IDLE));
    }

    /** Guards against retries that a full queue or the limit of their owner refuses, which ends a response in the middle. */
    @Test
    public void an_admitted_request_is_neither_refused_nor_displaced() {
        fixture.owner(new Owner("limited", 1, 1, 0));
        AdmissionQueue small = fixture.queue(1);
        small.offerAdmitted(fixture.request("limited", 10, 500));
        small.offerAdmitted(fixture.request("limited", 10, 900));
        assertEquals(small.waitingRequests(), 2);

        assertThrows(AgatehatchException.class, () -> small.offer(fixture.request("mason", 90, 500), IDLE));

        assertEquals(fixture.refusals.size(), 0);
        assertEquals(small.waitingRequests(), 2);
    }

    @Test
    public void a_queue_filled_by_one_owner_makes_room_for_another_owner() {
        AdmissionQueue small = fixture.queue(10);
        for (int i = 0; i < 10; i++) {
            small.offer(fixture.request("mason", 50, 500), IDLE);
        }
        for (int i = 0; i < 5; i++) {
            small.offer(fixture.request("school", 50, 500), IDLE);
        }
        assertEquals(fixture.refusals.size(), 5);
        assertThrows(AgatehatchException.class, () -> small.offer(fixture.request("school", 50, 500), IDLE));
    }

    @Test
    public void a_request_predicted_to_miss_its_deadline_is_refused_with_retry_after() {
        PoolLoad load = new PoolLoad(100, 2_000);
        queue.offer(fixture.request("mason", 50, 700), load);
        AgatehatchException refused =
                expectThrows(AgatehatchException.class, () -> queue.offer(fixture.request("mason", 50, 500), load));
        assertEquals(refused.code(), ErrorCode.OVERLOADED);
        assertTrue(refused.getMessage().contains("predicted in 600 ms"), refused.getMessage());
        assertEquals(refused.retryAfterMillis(), 1_000);
        queue.offer(fixture.request("mason", 90, 500), load);
    }

    @Test
    public void a_burst_of_one_owner_does_not_cause_refusals_for_another_owner() {
        PoolLoad load = new PoolLoad(100, 2_000);
        for (int i = 0; i < 50; i++) {
            queue.offer(fixture.request("mason", 50, 100_000), load);
        }
        queue.offer(fixture.request("school", 50, 500), load);
    }

    @Test
    public void max_queued_requests_of_an_owner_is_enforced() {
        fixture.owner(new Owner("small", 1, 1, 0));
        AdmissionQueue limited = fixture.queue(100);
        limited.offer(fixture.request("small", 50, 500), IDLE);
        AgatehatchException refused =
                expectThrows(AgatehatchException.class, () -> limited.offer(fixture.request("small", 50, 500), IDLE));
        assertEquals(refused.code(), ErrorCode.OWNER_LIMIT_REACHED);
    }

    @Test
    public void max_tokens_per_second_of_an_owner_counts_usage_of_all_nodes() {
        fixture.owner(new Owner("small", 1, 10, 100));
        AdmissionQueue limited = fixture.queue(100);
        fixture.usage.updatePeer("node-2", Map.of("small", new Usage(0, 90)));
        limited.offer(fixture.request("small", 50, 500), IDLE);
        fixture.usage.recordUsage("small", 0, 500);
        fixture.clock.advanceMillis(200);
        AgatehatchException refused =
                expectThrows(AgatehatchException.class, () -> limited.offer(fixture.request("small", 50, 500), IDLE));
        assertEquals(refused.code(), ErrorCode.OWNER_LIMIT_REACHED);
        assertTrue(refused.retryAfterMillis() >= 3_000, "retry after " + refused.retryAfterMillis());
    }

    @Test
    public void a_request_is_refused_at_its_queue_deadline() {
        QueueTicket ticket = queue.offer(fixture.request("mason", 50, 500), IDLE);
        queue.offer(fixture.request("mason", 50, 900), IDLE);
        fixture.clock.advanceMillis(500);
        queue.expire();
        assertEquals(fixture.refusals.size(), 1);
        assertEquals(fixture.refusals.get(0).code(), ErrorCode.DEADLINE_EXCEEDED);
        assertFalse(queue.remove(ticket));
        assertEquals(queue.waitingRequests(), 1);
    }

    @Test
    public void a_cancelled_request_is_never_dispatched_even_if_not_yet_removed() {
        QueuedRequest request = fixture.request("mason", 50, 500);
        queue.offer(new QueuedRequest(request.request(), request.queueDeadlineNanos(), () -> false, e -> {}), IDLE);
        assertTrue(queue.poll(any -> true, 0).isEmpty());
        assertEquals(queue.waitingRequests(), 0);
    }

    @Test
    public void concurrent_dispatch_and_cancel_have_exactly_one_winner() {
        AdmissionQueue large = fixture.queue(5_000);
        List<AtomicBoolean> attempts = new ArrayList<>();
        List<QueueTicket> tickets = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            AtomicBoolean settled = new AtomicBoolean();
            QueuedRequest request = fixture.request("mason", 50, 60_000);
            attempts.add(settled);
            tickets.add(large.offer(
                    new QueuedRequest(
                            request.request(),
                            request.queueDeadlineNanos(),
                            () -> settled.compareAndSet(false, true),
                            refusal -> {}),
                    IDLE));
        }
        AtomicInteger dispatched = new AtomicInteger();
        CompletableFuture<Void> dispatcher = CompletableFuture.runAsync(() -> {
            while (large.poll(any -> true, 0).isPresent()) {
                dispatched.incrementAndGet();
            }
        });
        int cancelled = 0;
        for (int i = 999; i >= 0; i--) {
            if (attempts.get(i).compareAndSet(false, true)) {
                cancelled++;
                large.remove(tickets.get(i));
            }
        }
        dispatcher.join();
        assertEquals(dispatched.get() + cancelled, 1_000);
        assertEquals(large.waitingRequests(), 0);
    }

    private List<QueueTicket> drain() {
        List<QueueTicket> tickets = new ArrayList<>();
        for (var next = queue.poll(any -> true, 0); next.isPresent(); next = queue.poll(any -> true, 0)) {
            tickets.add(next.get());
        }
        return tickets;
    }

    private List<Integer> priorities() {
        return drain().stream().map(ticket -> ticket.request().priority()).toList();
    }
}
