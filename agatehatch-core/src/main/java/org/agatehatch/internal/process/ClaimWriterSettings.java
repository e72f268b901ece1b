package org.agatehatch.internal.process;

import org.agatehatch.internal.request.IdempotencyKey;

/**
 * Settings of a {@link ClaimWriter}.
 *
 * @param appendIntervalMillis time in which claims are gathered; there is at most one append per interval
 * @param claimTtlMillis how long a claim holds its key
 * @param logRetentionMillis how long the log keeps records; checkpoints are written at an eighth of it, or of the keep
 *     time if that is shorter
 * @param idlePollMillis time between two reads when nothing waits for a record
 * @param maxReadAgeMillis time without a successful read after which new claims are refused at once
 * @param maxPending most claims and notes that wait at once
 * @param maxClaims most claims kept in memory; beyond, new ones are refused rather than old ones forgotten
 * @param maxTotalBodyBytes most bytes of stored bodies
 * @param maxBatchBytes size of an append from which no more records are added
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
    /** The window, and a minute for the time between the grant of a claim and its run. */
    public static final long DEFAULT_CLAIM_TTL_MILLIS = IdempotencyKey.WINDOW_MILLIS + 60_000;

    public ClaimWriterSettings {
        if (appendIntervalMillis <= 0 || claimTtlMillis <= 0 || logRetentionMillis <= 0 || maxBatchBytes <= 0) {
            throw new IllegalArgumentException("intervals and sizes are positive");
        }
    }

    /** Returns the settings for a deployment, with bounds that fit a node's 64 MB of control memory. */
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
