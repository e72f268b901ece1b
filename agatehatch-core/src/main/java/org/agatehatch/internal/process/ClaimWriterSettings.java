package org.agatehatch.internal.process;

import org.agatehatch.internal.request.IdempotencyKey;

/**
 * Settings of a {@link ClaimWriter}.
 *
 * @param appendIntervalMillis minimum time between appends, in which claims are collected into a batch
 * @param claimTtlMillis how long a claim holds its key
 * @param logRetentionMillis how long the log keeps records; a checkpoint is written every eighth of the retention, or of
 *     the claims' time to live if that is shorter
 * @param idlePollMillis interval between reads while nothing is pending
 * @param maxReadAgeMillis time without a successful read after which new claims are refused immediately
 * @param maxPending maximum number of pending claims, and also of pending resolutions
 * @param maxClaims maximum number of claims, abandonments and settlements without a known claim in memory; beyond it new
 *     claims are refused, because evicting old claims would free their keys early
 * @param maxTotalBodyBytes maximum total size of stored answer bodies
 * @param maxBatchBytes estimated size of an append at which no more records are added
 */
public record ClaimWriterSettings(
        long appendIntervalMillis,
        long claimTtlMillis,
        long logRetentionMillis,
        long idlePollMillis,
        long maxReadAgeMillis,
        int maxPending,
        int maxClaims,
        long maxTotalBodyBytes,
        int maxBatchBytes) {
    /** The window of idempotency keys plus one minute for the time between the grant of a claim and its run. */
    public static final long DEFAULT_CLAIM_TTL_MILLIS = IdempotencyKey.WINDOW_MILLIS + 60_000;

    public ClaimWriterSettings {
        if (appendIntervalMillis <= 0 || claimTtlMillis <= 0 || logRetentionMillis <= 0 || maxBatchBytes <= 0) {
            throw new IllegalArgumentException("intervals, retention times and the batch size must be positive");
        }
    }

    /** Returns the settings for a deployment, with limits that fit into a node's 64 MB of memory for control state. */
    public static ClaimWriterSettings of(long appendIntervalMillis, long logRetentionMillis) {
        return new ClaimWriterSettings(
                appendIntervalMillis,
                DEFAULT_CLAIM_TTL_MILLIS,
                logRetentionMillis,
                1_000,
                2_000,
                2_000,
                40_000,
                8 << 20,
                128 << 10);
    }
}
