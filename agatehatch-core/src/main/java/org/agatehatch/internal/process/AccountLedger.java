package org.agatehatch.internal.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiPredicate;

/**
 * The accounts of all nodes. Per incarnation the record with the highest sequence counts, so records may be merged in
 * any order and any number of times, from the log and from the digest. Not safe for use by several threads.
 */
public final class AccountLedger {
    private record IncarnationId(String node, String incarnation) {}

    /**
     * An incarnation that ended without its last record. What it counted after its last known record is not accounted
     * for.
     */
    public record Gap(String node, String incarnation, long lastSequence) {}

    private final Map<IncarnationId, AccountRecord> latestByIncarnation = new HashMap<>();

    /** Merges a record and returns whether it was newer than what was known. */
    public boolean merge(AccountRecord record) {
        IncarnationId source = new IncarnationId(record.node(), record.incarnation());
        AccountRecord previous = latestByIncarnation.get(source);
        if (previous != null && previous.sequence() >= record.sequence()) {
            return false;
        }
        latestByIncarnation.put(source, record);
        return true;
    }

    /** Returns the sums over all incarnations, by owner. */
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
     * @param isLive whether the node with this address and incarnation is alive, as far as is known
     */
    public List<Gap> gaps(BiPredicate<String, String> isLive) {
        return latestByIncarnation.values().stream()
                .filter(record -> !record.last() && !isLive.test(record.node(), record.incarnation()))
                .map(record -> new Gap(record.node(), record.incarnation(), record.sequence()))
                .toList();
    }

    /** Returns the records that count, for appending them again before the log drops them. */
    public List<AccountRecord> latestRecords() {
        return List.copyOf(latestByIncarnation.values());
    }
}
