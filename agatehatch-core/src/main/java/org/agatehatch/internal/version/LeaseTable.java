package org.agatehatch.internal.version;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.internal.version.record.StateRecord.LeaseRelease;
import org.agatehatch.internal.version.record.StateRecord.LeaseRenew;
import org.agatehatch.internal.version.record.StateRecord.LeaseTake;

/**
 * Holders of leases, as decided by the order of records in the log. The table uses no clock: the holder decides itself
 * whether its lease has expired, and a challenger decides when to try a take.
 */
public final class LeaseTable {
    /** Expected renewal offset in a {@link LeaseTake} of a free lease. */
    public static final long FREE = -1;

    private static final String POOL_PREFIX = "pool:";

    private final Map<String, Lease> leases = new TreeMap<>();

    /** Returns the name of a pool's lease. */
    public static String poolLeaseName(String pool) {
        return POOL_PREFIX + pool;
    }

    /** Returns a held lease; empty if it is free. */
    public Optional<Lease> get(String lease) {
        return Optional.ofNullable(leases.get(lease));
    }

    /** Returns all held leases, sorted by name. */
    public List<Lease> all() {
        return List.copyOf(leases.values());
    }

    Acceptance apply(long offset, LeaseTake take) {
        Lease current = leases.get(take.lease());
        long lastRenewalOffset = current == null ? FREE : current.renewalOffset();
        if (take.expectedRenewalOffset() != lastRenewalOffset) {
            return Acceptance.refused(
                    ErrorCode.VERSION_CONFLICT,
                    "lease " + take.lease() + " was last renewed at offset " + lastRenewalOffset + ", not at "
                            + take.expectedRenewalOffset() + "; wait until it expires before the next take");
        }
        leases.put(take.lease(), new Lease(take.lease(), take.node(), take.incarnation(), offset, offset));
        return Acceptance.ACCEPTED;
    }

    Acceptance apply(long offset, LeaseRenew renew) {
        Acceptance acceptance = checkFencing(renew.lease(), renew.fencingNumber());
        if (acceptance.accepted()) {
            leases.computeIfPresent(renew.lease(), (name, lease) -> lease.renewedAt(offset));
        }
        return acceptance;
    }

    Acceptance apply(LeaseRelease release) {
        Acceptance acceptance = checkFencing(release.lease(), release.fencingNumber());
        if (acceptance.accepted()) {
            leases.remove(release.lease());
        }
        return acceptance;
    }

    /** Accepts only the current fencing number of a held lease. */
    Acceptance checkFencing(String leaseName, long fencingNumber) {
        Lease lease = leases.get(leaseName);
        if (lease != null && lease.fencingNumber() == fencingNumber) {
            return Acceptance.ACCEPTED;
        }
        String holder = lease == null
                ? "is free"
                : "is held by node " + lease.node() + " with fencing number " + lease.fencingNumber();
        return Acceptance.refused(
                ErrorCode.VERSION_CONFLICT,
                "lease " + leaseName + " " + holder + ", not with " + fencingNumber + "; act only as its holder");
    }

    void restore(Collection<Lease> restored) {
        restored.forEach(lease -> leases.put(lease.name(), lease));
    }

    /**
     * A held lease.
     *
     * @param incarnation identifies the holder's process; a restarted node no longer holds the lease
     * @param fencingNumber offset of the accepted take
     * @param renewalOffset offset of the last accepted take or renewal
     */
    public record Lease(String name, String node, String incarnation, long fencingNumber, long renewalOffset) {
        Lease renewedAt(long offset) {
            return new Lease(name, node, incarnation, fencingNumber, offset);
        }
    }
}
