package org.agatehatch.internal.process;

/**
 * Status of a claim writer, for operators.
 *
 * @param stream log stream of the writer's partition
 * @param ready whether the writer knows all claims that may hold a key, and thus can grant claims
 * @param readyInMillis time until the writer is ready if it reads no checkpoint; 0 if it is ready, -1 before its first read
 * @param pendingCount claims and resolutions that are not confirmed by the log yet
 * @param retainedCount claims, abandonments and settlements without a known claim in memory
 * @param bodyBytes total size of stored answer bodies in memory
 * @param nextOffset offset of the next record to be read
 * @param malformedRecords records that could not be decoded and were skipped
 */
public record ClaimWriterStatus(
        String stream,
        boolean ready,
        long readyInMillis,
        int pendingCount,
        int retainedCount,
        long bodyBytes,
        long nextOffset,
        long malformedRecords) {}
