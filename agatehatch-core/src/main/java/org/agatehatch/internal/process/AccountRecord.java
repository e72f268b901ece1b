package org.agatehatch.internal.process;

import java.util.Map;

/**
 * Snapshot of the usage counters of one incarnation of a node.
 *
 * @param sequence increases with each record of the incarnation; the record with the highest sequence replaces the others
 * @param last whether the node stopped gracefully after this record, so that no usage is missing
 * @param countersByOwner counters since the start of the incarnation
 */
public record AccountRecord(
        String node, String incarnation, long sequence, boolean last, Map<String, AccountCounters> countersByOwner) {
    public AccountRecord {
        countersByOwner = Map.copyOf(countersByOwner);
    }
}
