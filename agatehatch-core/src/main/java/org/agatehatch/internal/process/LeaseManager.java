package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.version.Acceptance;
import org.agatehatch.internal.version.LeaseTable;
import org.agatehatch.internal.version.LeaseTable.Lease;
import org.agatehatch.internal.version.ReplicatedState;
import org.agatehatch.internal.version.record.StateRecord;
import org.agatehatch.internal.version.record.StateRecord.LeaseRelease;
import org.agatehatch.internal.version.record.StateRecord.LeaseRenew;
import org.agatehatch.internal.version.record.StateRecord.LeaseTake;

/**
 * Takes, renews and releases leases for this node. Performs no I/O: {@link #tick} returns the records to append.
 *
 * <p>Two nodes never consider themselves the holder at the same time. The holder measures its term from before it sent
 * the record that the log accepted. A challenger measures a longer time from after it read that record. The holder's
 * term has therefore expired before the challenger appends, provided that clock rates differ by less than a tenth.
 *
 * <p>Confined to the control thread, except for {@link #isHeld} and {@link #fencingNumber}, which are thread-safe.
 */
public final class LeaseManager implements ReplicatedStateListener {
    private final String node;
    private final String incarnation;
    private final Timings timings;
    private final MonotonicClock clock;
    private final Supplier<String> recordIds;

    private final Map<String, HeldLease> heldByLease = new ConcurrentHashMap<>();
    private final Map<String, PendingRecord> pendingByRecordId = new HashMap<>();
    private final Map<String, ObservedRenewal> lastRenewalByLease = new HashMap<>();
    private final Map<String, Long> lastSentMillisByLease = new HashMap<>();

    /**
     * Fencing numbers for which this node has sent a release. Such a lease never counts as held again: the release may
     * reach the log late, after a renewal, and another node may take the lease immediately afterwards.
     */
    private final Map<String, Long> releasedFencingByLease = new HashMap<>();

    private boolean shuttingDown;

    /**
     * Creates a manager that holds no lease.
     *
     * @param incarnation differs for each start of this node's process
     * @param recordIds generates random record ids
     */
    public LeaseManager(
            String node, String incarnation, Timings terms, MonotonicClock clock, Supplier<String> recordIds) {
        this.node = node;
        this.incarnation = incarnation;
        this.timings = terms;
        this.clock = clock;
        this.recordIds = recordIds;
    }

    /** Returns whether this node holds the lease now. Callers check it immediately before each action that needs it. */
    public boolean isHeld(String lease) {
        return fencingNumber(lease).isPresent();
    }

    /** Returns the fencing number of the lease if this node holds it now, otherwise empty. */
    public OptionalLong fencingNumber(String lease) {
        HeldLease entry = heldByLease.get(lease);
        return entry != null && clock.millis() < entry.untilMillis()
                ? OptionalLong.of(entry.fencingNumber())
                : OptionalLong.empty();
    }

    /**
     * Returns the takes, renewals and releases to append now. Must be called on the control thread, several times a
     * second.
     *
     * @param leases the leases as last read from the log
     * @param wanted leases that some live node should hold; leases held by this node that are not among them are
     *     released
     * @param liveNodes nodes that may hold leases; they determine the order of challengers but do not affect safety
     */
    public List<StateRecord> tick(LeaseTable leases, Set<String> wanted, Collection<String> liveNodes) {
        long nowMillis = clock.millis();
        pendingByRecordId.values().removeIf(sent -> nowMillis - sent.atMillis() > timings.termMillis());
        Set<String> leaseNames = new TreeSet<>(wanted);
        leases.all().stream().filter(this::isHeldByThisProcess).forEach(lease -> leaseNames.add(lease.name()));
        // Once one renewal is due, all leases past half of their interval are renewed, so that they share one append.
        boolean renewalDue = leases.all().stream()
                .anyMatch(lease ->
                        isHeldByThisProcess(lease) && isDue(lease.name(), timings.renewIntervalMillis(), nowMillis));
        long renewAfterMillis = renewalDue ? timings.renewIntervalMillis() / 2 : timings.renewIntervalMillis();
        List<StateRecord> due = new ArrayList<>();
        for (String name : leaseNames) {
            Lease lease = leases.get(name).orElse(null);
            dropIfLost(name, lease);
            observeRenewal(name, lease, nowMillis);
            if (lease != null && isHeldByThisProcess(lease)) {
                if (isDue(name, renewAfterMillis, nowMillis)) {
                    renewOrRelease(lease, wanted.contains(name), nowMillis, due);
                }
            } else if (!shuttingDown) {
                takeIfExpired(name, lease, liveNodes, nowMillis, due);
            }
        }
        lastRenewalByLease.keySet().retainAll(leaseNames);
        lastSentMillisByLease.keySet().retainAll(leaseNames);
        releasedFencingByLease
                .entrySet()
                .removeIf(entry -> leases.get(entry.getKey())
                        .filter(lease -> lease.fencingNumber() == entry.getValue())
                        .isEmpty());
        return due;
    }

    /** Releases all leases for a shutdown and returns the records to append. No lease is taken afterwards. */
    public List<StateRecord> releaseAll(LeaseTable leases) {
        shuttingDown = true;
        heldByLease.clear();
        pendingByRecordId.clear();
        lastSentMillisByLease.clear();
        return tick(leases, Set.of(), List.of(node));
    }

    @Override
    public void onRecordApplied(long offset, StateRecord record, Acceptance acceptance) {
        if (record instanceof LeaseTake take && acceptance.accepted()) {
            heldByLease.remove(take.lease());
        }
        PendingRecord sent = pendingByRecordId.remove(record.recordId());
        if (sent == null || !acceptance.accepted()) {
            return;
        }
        long fencingNumber = record instanceof LeaseRenew renew ? renew.fencingNumber() : offset;
        if (isReleased(sent.lease(), fencingNumber)) {
            return;
        }
        HeldLease latest = new HeldLease(fencingNumber, sent.atMillis() + timings.termMillis());
        heldByLease.merge(
                sent.lease(),
                latest,
                (old, fresh) -> old.fencingNumber() == fresh.fencingNumber() && old.untilMillis() > fresh.untilMillis()
                        ? old
                        : fresh);
    }

    @Override
    public void onStateInstalled(ReplicatedState state) {
        for (String name : List.copyOf(heldByLease.keySet())) {
            dropIfLost(name, state.leases().get(name).orElse(null));
        }
    }

    private void dropIfLost(String name, Lease lease) {
        HeldLease entry = heldByLease.get(name);
        if (entry != null
                && (lease == null || !isHeldByThisProcess(lease) || lease.fencingNumber() != entry.fencingNumber())) {
            heldByLease.remove(name);
        }
    }

    // nowMillis is read after the lease table, so it is later than the time from which the holder measures its term.
    private void observeRenewal(String name, Lease lease, long nowMillis) {
        long renewalOffset = lease == null ? LeaseTable.FREE : lease.renewalOffset();
        ObservedRenewal seen = lastRenewalByLease.get(name);
        if (seen == null || seen.renewalOffset() != renewalOffset) {
            lastRenewalByLease.put(name, new ObservedRenewal(renewalOffset, nowMillis));
        }
    }

    private void renewOrRelease(Lease lease, boolean wanted, long nowMillis, List<StateRecord> due) {
        if (wanted && !shuttingDown && !isReleased(lease.name(), lease.fencingNumber())) {
            due.add(registerSent(
                    new LeaseRenew(recordIds.get(), lease.name(), lease.fencingNumber()), lease.name(), nowMillis));
            return;
        }
        heldByLease.remove(lease.name());
        releasedFencingByLease.put(lease.name(), lease.fencingNumber());
        lastSentMillisByLease.put(lease.name(), nowMillis);
        due.add(new LeaseRelease(recordIds.get(), lease.name(), lease.fencingNumber()));
    }

    private void takeIfExpired(
            String name, Lease lease, Collection<String> liveNodes, long nowMillis, List<StateRecord> due) {
        ObservedRenewal seen = lastRenewalByLease.get(name);
        long waitMillis = RendezvousHash.position(name, node, liveNodes) * timings.rankDelayMillis();
        if (lease != null) {
            waitMillis += timings.takeoverDelayMillis();
        }
        if (nowMillis - seen.atMillis() >= waitMillis && isDue(name, timings.renewIntervalMillis(), nowMillis)) {
            due.add(registerSent(
                    new LeaseTake(recordIds.get(), name, node, incarnation, seen.renewalOffset()), name, nowMillis));
        }
    }

    private StateRecord registerSent(StateRecord record, String lease, long nowMillis) {
        pendingByRecordId.put(record.recordId(), new PendingRecord(lease, nowMillis));
        lastSentMillisByLease.put(lease, nowMillis);
        return record;
    }

    private boolean isDue(String lease, long everyMillis, long nowMillis) {
        Long last = lastSentMillisByLease.get(lease);
        return last == null || nowMillis - last >= everyMillis;
    }

    private boolean isReleased(String lease, long fencingNumber) {
        Long releasedNumber = releasedFencingByLease.get(lease);
        return releasedNumber != null && releasedNumber == fencingNumber;
    }

    private boolean isHeldByThisProcess(Lease lease) {
        return lease.node().equals(node) && lease.incarnation().equals(incarnation);
    }

    /**
     * Lease durations and delays. All nodes must use the same values.
     *
     * @param termMillis time for which a holder may act after it sent its last accepted take or renewal
     * @param renewIntervalMillis interval between two renewals by the holder
     * @param rankDelayMillis extra wait per rank in the order of challengers, so that they do not all take at once
     */
    public record Timings(long termMillis, long renewIntervalMillis, long rankDelayMillis) {
        /** Production values: a term of 15 s, renewed every 5 s; challengers take over 1 s apart. */
        public static final Timings DEFAULT = new Timings(15_000, 5_000, 1_000);

        /** Allows the clock rates of two nodes to differ by a tenth. */
        private static final double CLOCK_RATE_MARGIN = 1.1;

        private static final long FIXED_MARGIN_MILLIS = 1_000;

        public Timings {
            if (renewIntervalMillis < 1 || termMillis < 2 * renewIntervalMillis || rankDelayMillis < 0) {
                throw new IllegalArgumentException("termMillis is " + termMillis + ", renewIntervalMillis is "
                        + renewIntervalMillis + ", rankDelayMillis is " + rankDelayMillis
                        + "; the term must be at least two renewal intervals, the interval at least 1 ms and the"
                        + " delay not negative");
            }
        }

        /** Returns the time after which a challenger may take a lease for which it has read no further renewal. */
        public long takeoverDelayMillis() {
            return (long) (termMillis * CLOCK_RATE_MARGIN) + FIXED_MARGIN_MILLIS;
        }
    }

    private record HeldLease(long fencingNumber, long untilMillis) {}

    private record PendingRecord(String lease, long atMillis) {}

    private record ObservedRenewal(long renewalOffset, long atMillis) {}
}
