package org.agatehatch.internal.process;

import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.request.ClaimAnswer;

/** A record in the log stream of a claim partition. */
public sealed interface ClaimRecord {
    /**
     * A claim of an idempotency key. A checkpoint repeats it before the log drops the original record.
     *
     * @param claimId random identity, the same in every repetition
     * @param scope hash of owner, service and key
     * @param fingerprint hash of the entry and the request body
     * @param node address of the claimant
     * @param incarnation identity of the claimant's process
     * @param firstOffset offset at which the claim first appeared; -1 if that is this record's own offset
     * @param ageMillis lower bound of the time since the claim was made, measured on monotonic clocks
     */
    record Claimed(
            String claimId,
            String scope,
            long fingerprint,
            String node,
            String incarnation,
            long firstOffset,
            long ageMillis)
            implements ClaimRecord {}

    /**
     * The outcome of a claim's run.
     *
     * @param outcome {@code RAN} or {@code UNKNOWN}
     * @param storedAnswer answer for repeats of the key; only meaningful if the outcome is {@code RAN}
     */
    record Settled(String claimId, String scope, Outcome outcome, ClaimAnswer.Settled storedAnswer)
            implements ClaimRecord {}

    /** The claim's request did not run and will not be dispatched any more, so the claim no longer holds its key. */
    record Abandoned(String claimId, String scope) implements ClaimRecord {}

    /**
     * Marks a batch as one part of a checkpoint. The batches of all parts together repeat every claim up to
     * {@code throughOffset} that may still hold its key.
     *
     * @param partIndex index of this part, from 0
     * @param throughOffset last offset that the checkpoint covers
     */
    record Checkpoint(String checkpointId, int partIndex, int partCount, long throughOffset) implements ClaimRecord {}
}
