package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.agatehatch.api.log.AppendLog;
import org.agatehatch.internal.version.ReplicatedState;
import org.agatehatch.internal.version.record.StateRecord;
import org.agatehatch.internal.version.record.StateRecord.LeaseRelease;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against two simultaneous holders of a lease, and against leases that no node takes over. */
public final class LeaseManagerTest {
    private static final String LEASE = "pool:bench-advisor";

    private VirtualTime time;
    private TestNode first;
    private TestNode second;

    @BeforeMethod
    public void start_two_nodes_and_let_one_take_the_lease() {
        time = new VirtualTime();
        AppendLog store = VirtualLog.store(10_000);
        first = new TestNode("n1", time, store, 1).start();
        first.wantedLeases = Set.of(LEASE);
        time.advance(3_000);
        second = new TestNode("n2", time, store, 1).start();
        second.wantedLeases = Set.of(LEASE);
        second.liveNodes = List.of("n1", "n2");
        first.liveNodes = second.liveNodes;
        time.advance(10_000);
        assertTrue(first.keeper.isHeld(LEASE));
        assertFalse(second.keeper.isHeld(LEASE));
    }

    @Test
    public void a_holder_keeps_its_lease_and_fencing_number_while_it_renews() {
        long fencingNumber = first.keeper.fencingNumber(LEASE).orElseThrow();
        for (int i = 0; i < 600; i++) {
            time.advance(100);
            assertTrue(first.keeper.isHeld(LEASE));
        }
        assertEquals(first.keeper.fencingNumber(LEASE).orElseThrow(), fencingNumber);
    }

    @Test
    public void the_lease_of_a_paused_holder_expires_before_another_node_takes_over() {
        long oldNumber = first.keeper.fencingNumber(LEASE).orElseThrow();
        first.thread.pause();
        int takenAfterMillis = 0;
        while (!second.keeper.isHeld(LEASE)) {
            takenAfterMillis += 10;
            time.advance(10);
            assertFalse(first.keeper.isHeld(LEASE) && second.keeper.isHeld(LEASE));
            assertTrue(takenAfterMillis < 30_000, "no node took the lease over");
        }
        assertTrue(takenAfterMillis > 10_000, "taken over after " + takenAfterMillis + " ms");
        first.thread.resume();
        time.advance(10_000);

        assertFalse(first.keeper.isHeld(LEASE));
        assertTrue(second.keeper.fencingNumber(LEASE).orElseThrow() > oldNumber);
    }

    @Test
    public void a_late_renewal_of_a_former_holder_has_no_effect() {
        first.log.delayAppends(40_000);
        time.advance(30_000);
        assertTrue(second.keeper.isHeld(LEASE));
        long newNumber = second.keeper.fencingNumber(LEASE).orElseThrow();

        first.log.delayAppends(0);
        for (int i = 0; i < 600; i++) {
            time.advance(100);
            assertFalse(first.keeper.isHeld(LEASE));
            assertEquals(second.keeper.fencingNumber(LEASE).orElseThrow(), newNumber);
        }
    }

    @Test
    public void a_holder_that_reads_late_counts_its_term_from_before_it_sent_the_renewal() {
        // The outage starts at 25 points of the renewal interval, so that some renewals are read back just before it.
        for (int phase = 0; phase < 25; phase++) {
            start_two_nodes_and_let_one_take_the_lease();
            time.afterEachTask(this::assertOneHolder);
            first.log.delayReads(7_000);
            time.advance(14_000 + phase * 200L);
            first.log.setDown(true);
            time.advance(40_000);
            assertTrue(second.keeper.isHeld(LEASE));
        }
    }

    @Test
    public void a_lease_whose_release_was_sent_is_neither_held_nor_renewed() {
        ReplicatedState state = new ReplicatedState();
        AtomicInteger ids = new AtomicInteger();
        LeaseManager keeper =
                new LeaseManager("n3", "i", LeaseManager.Timings.DEFAULT, time, () -> "r" + ids.getAndIncrement());
        StateRecord take = onlyRecord(keeper.tick(state.leases(), Set.of(LEASE), List.of("n3")));
        keeper.onRecordApplied(1, take, state.apply(1, take));
        assertTrue(keeper.isHeld(LEASE));
        time.advance(5_000);
        StateRecord renewal = onlyRecord(keeper.tick(state.leases(), Set.of(LEASE), List.of("n3")));
        time.advance(5_000);
        StateRecord release = onlyRecord(keeper.tick(state.leases(), Set.of(), List.of("n3")));
        assertTrue(release instanceof LeaseRelease);

        // The renewal is read back late. The release may reach the log even later, after which the lease is free.
        keeper.onRecordApplied(2, renewal, state.apply(2, renewal));
        assertFalse(keeper.isHeld(LEASE));
        time.advance(5_000);
        StateRecord next = onlyRecord(keeper.tick(state.leases(), Set.of(LEASE), List.of("n3")));
        assertTrue(next instanceof LeaseRelease, next.toString());
    }

    @Test
    public void all_holders_stop_during_an_outage_and_one_node_holds_afterwards() {
        first.log.setDown(true);
        second.log.setDown(true);
        time.advance(15_100);
        assertFalse(first.keeper.isHeld(LEASE) || second.keeper.isHeld(LEASE));

        time.advance(60_000);
        first.log.setDown(false);
        second.log.setDown(false);
        time.advance(30_000);
        assertTrue(first.keeper.isHeld(LEASE) ^ second.keeper.isHeld(LEASE));
    }

    @Test
    public void a_released_lease_is_taken_at_once_and_not_by_the_leaving_node() {
        first.thread.execute(() -> first.sendLeaseRecords(
                first.keeper.releaseAll(first.state.state().leases())));
        time.advance(1);
        assertFalse(first.keeper.isHeld(LEASE));

        time.advance(3_000);
        assertTrue(second.keeper.isHeld(LEASE));
        int appendsBefore = first.log.appends();
        second.wantedLeases = Set.of();
        time.advance(60_000);
        assertFalse(second.keeper.isHeld(LEASE));
        assertEquals(first.log.appends(), appendsBefore);
    }

    @Test
    public void renewals_of_several_leases_share_an_append() {
        Set<String> leases =
                Set.copyOf(IntStream.range(0, 20).mapToObj(i -> "pool:p" + i).toList());
        first.wantedLeases = leases;
        second.wantedLeases = Set.of();
        time.advance(15_000);
        int before = first.log.appends();
        time.advance(50_000);

        assertTrue(leases.stream().allMatch(first.keeper::isHeld));
        assertTrue(first.log.appends() - before <= 12, "appends in 50 s: " + (first.log.appends() - before));
    }

    @Test
    public void leases_spread_over_nodes_and_ranks_differ() {
        List<String> nodes = IntStream.range(0, 8).mapToObj(i -> "node-" + i).toList();
        Map<String, Integer> firstPlaces = new HashMap<>();
        for (int lease = 0; lease < 400; lease++) {
            List<Integer> ranks = new ArrayList<>();
            for (String node : nodes) {
                int rank = RendezvousHash.position("pool:" + lease, node, nodes);
                ranks.add(rank);
                firstPlaces.merge(node, rank == 0 ? 1 : 0, Integer::sum);
            }
            assertEquals(
                    ranks.stream().sorted().toList(),
                    IntStream.range(0, 8).boxed().toList());
        }
        assertTrue(firstPlaces.values().stream().allMatch(count -> count > 20 && count < 90), "" + firstPlaces);
    }

    private static StateRecord onlyRecord(List<StateRecord> records) {
        assertEquals(records.size(), 1);
        return records.get(0);
    }

    private void assertOneHolder() {
        assertFalse(first.keeper.isHeld(LEASE) && second.keeper.isHeld(LEASE), "both nodes hold the lease");
    }
}
