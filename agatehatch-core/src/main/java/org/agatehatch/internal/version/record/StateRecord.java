package org.agatehatch.internal.version.record;

import java.util.List;
import java.util.Map;

/**
 * A log record of the replicated state. Every node applies the records of a stream in log order, and therefore all
 * nodes accept the same ones.
 */
public sealed interface StateRecord {
    /** Random id for deduplication. Of records with the same id, only the first in log order takes effect. */
    String recordId();

    /**
     * Changes the catalogue.
     *
     * @param baseVersion catalogue version to which the change applies
     * @param operator who made the change
     * @param upserts changed entries: section name, then entry name, then fields as in the YAML catalogue
     * @param removals removed entry names by section
     */
    record CatalogueChange(
            String recordId,
            long baseVersion,
            String operator,
            Map<String, Map<String, Map<String, Object>>> upserts,
            Map<String, List<String>> removals)
            implements StateRecord {}

    /**
     * Acquires a lease that is free or that its holder no longer renews.
     *
     * @param expectedRenewalOffset offset of the last accepted take or renewal that the challenger has read; -1 if the
     *     lease is free
     */
    record LeaseTake(String recordId, String lease, String node, String incarnation, long expectedRenewalOffset)
            implements StateRecord {}

    /** Renews a lease. Accepted only with the current fencing number. */
    record LeaseRenew(String recordId, String lease, long fencingNumber) implements StateRecord {}

    /** Releases a lease. Accepted only with the current fencing number. */
    record LeaseRelease(String recordId, String lease, long fencingNumber) implements StateRecord {}

    /**
     * Intent to change the models or the role of a runner. Its acceptance charges the memory, before any order is sent.
     *
     * @param leaseFencingNumber fencing number of the pool's lease
     * @param kind {@code LOAD}, {@code UNLOAD}, {@code RESERVE}, {@code CANCEL_RESERVE}, {@code ADOPT} or
     *     {@code SET_ROLE}
     * @param orderId new id; for {@code UNLOAD} and {@code CANCEL_RESERVE} the id of the order whose charge is to end
     * @param role new role for {@code SET_ROLE}; otherwise empty
     */
    record PlacementIntent(
            String recordId,
            String pool,
            long leaseFencingNumber,
            IntentKind kind,
            String orderId,
            String model,
            String version,
            String runner,
            List<Integer> accelerators,
            long memoryMib,
            String role,
            String reason)
            implements StateRecord {}

    /** Kind of a {@link PlacementIntent}. */
    enum IntentKind {
        LOAD,
        UNLOAD,
        RESERVE,
        CANCEL_RESERVE,
        ADOPT,
        SET_ROLE
    }

    /**
     * Records the outcome of an order.
     *
     * @param unansweredCopies number of sent copies of orders for this model and runner that have no answer
     */
    record OrderSettled(
            String recordId,
            String pool,
            long leaseFencingNumber,
            String orderId,
            SettledOutcome outcome,
            String runnerEpoch,
            long inventorySequence,
            int unansweredCopies)
            implements StateRecord {}

    /** Outcome of an order as far as the evidence shows. */
    enum SettledOutcome {
        /** The model is resident and answers. */
        READY,
        /** The model is not resident, and no order can make it resident later. */
        ABSENT,
        /** The outcome is unknown; the memory stays charged. */
        IN_DOUBT
    }

    /** Takes a backend server out of service, or puts it back. */
    record DrainSet(String recordId, String backendServer, boolean draining, String operator) implements StateRecord {}

    /**
     * Records that a request was in flight on a backend server when its process crashed.
     *
     * @param fingerprint hash of the entry and the request body
     */
    record Strike(String recordId, long fingerprint, String backendServer, String runnerEpoch) implements StateRecord {}
}
