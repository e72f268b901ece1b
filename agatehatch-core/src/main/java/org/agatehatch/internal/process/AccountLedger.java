package org.agatehatch.internal.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * Usage accounts of all nodes. The ledger keeps the record with the highest sequence of each incarnation, so merging
 * is commutative and idempotent: records from the log and from peer digests may arrive in any order and repeatedly. Not
 * thread-safe.
 */
public final class AccountLedger {
    private record IncarnationId(String node, String incarnation) {}

    /**
     * An incarnation that ended without its last record. Usage that it counted after the record {@code lastSequence} is
     * lost.
     */
    public record Gap(String node, String incarnation, long lastSequence) {}

    private final Map<IncarnationId, AccountRecord> latestByIncarnation = new HashMap<>();

    /** Merges a record and returns whether it was newer than the known record of its incarnation. */
    public boolean merge(AccountRecord record) {
        IncarnationId source = new IncarnationId(record.node(), record.incarnation());
        AccountRecord previous = latestByIncarnation.get(source);
        if (previous != null && previous.sequence() >= record.sequence()) {
            return false;
        }
        latestByIncarnation.put(source, record);
        return true;
    }

    /** Returns the counters summed over all incarnations, by owner. */
    public Map<String, AccountCounters> totals() {
        Map<String, AccountCounters> totals = new TreeMap<>();
        latestByIncarnation
                .values()
                .forEach(record -> record.countersByOwner()
                        .forEach((owner, counters) -> totals.merge(owner, counters, AccountCounters::plus)));
        return totals;
    }

    /**
     * Returns the incarnations that ended without a last record.
     *
     * @param isLive tells whether the node with this address and incarnation is considered alive
     */
    public List<Gap> gaps(BiPredicate<String, String> isLive) {
        return latestByIncarnation.values().stream()
                .filter(record -> !record.last() && !isLive.test(record.node(), record.incarnation()))
                .map(record -> new Gap(record.node(), record.incarnation(), record.sequence()))
                .toList();
    }

    /** Returns the latest record of each incarnation, to be appended again as a checkpoint before the log drops it. */
    public List<AccountRecord> latestRecords() {
        return List.copyOf(latestByIncarnation.values());
    }
}
