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
 * Takes, renews and releases leases for this node. Does no input or output: {@link #tick} returns the records to append.
 *
 * <p>Why two nodes never believe at once that they hold a lease: the holder counts its term from before it sent the
 * record that the log accepted. A challenger counts a longer time from after it read that record. So the holder has
 * stopped before the challenger appends, as long as clocks run alike within a tenth.
 *
 * <p>Belongs to the control thread, but for {@link #isHeld} and {@link #fencingNumber}, which any thread may call.
 */
public final class LeaseManager implements AppliedListener {
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
     * Fencing numbers for which a release was sent. Such a term is never believed in again: the release may reach the
     * log late, after a renewal, and another node may take the lease right after it.
     */
    private final Map<String, Long> releasedFencingByLease = new HashMap<>();

    private boolean shuttingDown;

    /**
     * Creates a keeper that holds nothing.
     *
     * @param incarnation differs for each start of this node's process
     * @param recordIds makes random record ids
     */
    public LeaseManager(String node, String incarnation, Timings terms, MonotonicClock clock, Supplier<String> recordIds) {
        this.node = node;
        this.incarnation = incarnation;
        this.timings = terms;
        this.clock = clock;
        this.recordIds = recordIds;
    }

    /** Returns whether this node holds the lease now. To be asked right before each act that needs the lease. */
    public boolean isHeld(String lease) {
        return fencingNumber(lease).isPresent();
    }

    /** Returns the fencing number of a lease that this node holds now; empty if it does not hold it. */
    public OptionalLong fencingNumber(String lease) {
        HeldLease entry = heldByLease.get(lease);
        return entry != null && clock.millis() < entry.untilMillis()
                ? OptionalLong.of(entry.fencingNumber())
                : OptionalLong.empty();
    }

    /**
     * Returns the records that are due. To be called on the control thread, several times a second.
     *
     * @param leases the leases as last read from the log
     * @param wanted leases that some live node should hold
     * @param liveNodes nodes that may hold leases; the order of challengers rests on them, but not safety
     */
    public List<StateRecord> tick(LeaseTable leases, Set<String> wanted, Collection<String> liveNodes) {
        long nowMillis = clock.millis();
        pendingByRecordId.values().removeIf(sent -> nowMillis - sent.atMillis() > timings.termMillis());
        Set<String> leaseNames = new TreeSet<>(wanted);
        leases.all().stream().filter(this::isHeldByThisProcess).forEach(lease -> leaseNames.add(lease.name()));
        // All renewals move to the time of the first one that is due, so that they share one append.
        boolean renewalDue = leases.all().stream()
                .anyMatch(lease -> isHeldByThisProcess(lease) && isDue(lease.name(), timings.renewIntervalMillis(), nowMillis));
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

    /** Gives all leases back for a shutdown and returns the records to append. No lease is taken afterwards. */
    public List<StateRecord> releaseAll(LeaseTable leases) {
        shuttingDown = true;
        heldByLease.clear();
        pendingByRecordId.clear();
        lastSentMillisByLease.clear();
        return tick(leases, Set.of(), List.of(node));
    }

    @Override
    public void applied(long offset, StateRecord record, Acceptance acceptance) {
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
    public void installed(ReplicatedState state) {
        for (String name : List.copyOf(heldByLease.keySet())) {
            dropIfLost(name, state.leases().get(name).orElse(null));
        }
    }

    private void dropIfLost(String name, Lease lease) {
        HeldLease entry = heldByLease.get(name);
        if (entry != null && (lease == null || !isHeldByThisProcess(lease) || lease.fencingNumber() != entry.fencingNumber())) {
            heldByLease.remove(name);
        }
    }

    // The time is read after the table, so it is later than the moment at which the holder started to count.
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
     * Times of leases. All nodes must use the same.
     *
     * @param termMillis how long a holder may act after it sent its last accepted record
     * @param renewIntervalMillis how often a holder renews
     * @param rankDelayMillis how much longer each next challenger waits
     */
    public record Timings(long termMillis, long renewIntervalMillis, long rankDelayMillis) {
        /** Terms for production: 15 s, renewed every 5 s. */
        public static final Timings DEFAULT = new Timings(15_000, 5_000, 1_000);

        /** A tenth for clocks that run at different speeds. */
        private static final double CLOCK_RATE_MARGIN = 1.1;

        private static final long FIXED_MARGIN_MILLIS = 1_000;

        public Timings {
            if (renewIntervalMillis < 1 || termMillis < 2 * renewIntervalMillis || rankDelayMillis < 0) {
                throw new IllegalArgumentException("termMillis is " + termMillis + ", renewEveryMillis is "
                        + renewIntervalMillis + ", rankStepMillis is " + rankDelayMillis
                        + "; the term must be at least two renewals, and no time negative");
            }
        }

        /** Returns how long a challenger waits after it read the last renewal. */
        public long takeoverDelayMillis() {
            return (long) (termMillis * CLOCK_RATE_MARGIN) + FIXED_MARGIN_MILLIS;
        }
    }

    private record HeldLease(long fencingNumber, long untilMillis) {}

    private record PendingRecord(String lease, long atMillis) {}

    private record ObservedRenewal(long renewalOffset, long atMillis) {}
}
