package org.agatehatch.internal.process;

/**
 * State of a claim writer, for operators.
 *
 * @param ready whether all claims that may hold a key are known, so that claims can be granted
 * @param readyInMillis time until the writer is ready if no checkpoint arrives; 0 if it is, -1 before its first read
 * @param pendingCount claims and notes that wait for the log
 * @param retainedCount claims, abandoned claims and settlements in memory
 * @param bodyBytes bytes of stored bodies in memory
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
