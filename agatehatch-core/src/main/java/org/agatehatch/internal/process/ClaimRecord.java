package org.agatehatch.internal.process;

import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.request.ClaimAnswer;

/** A record of a stream of claims. */
public sealed interface ClaimRecord {
    /**
     * A claim of an idempotency key, or a repetition of one that would be dropped from the log soon.
     *
     * @param claimId random identity, the same in every repetition
     * @param scope hash of owner, service and key
     * @param fingerprint hash of the entry and the request body
     * @param node address of the claimant
     * @param incarnation identity of the claimant's process
     * @param firstOffset offset at which the claim first appeared; -1 if that is this record's own offset
     * @param ageMillis time that has passed at least since the claim was made, measured on monotonic clocks
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
     * How the run of a claim ended.
     *
     * @param outcome {@code RAN} or {@code UNKNOWN}
     * @param storedAnswer the answer; meaningless unless {@code RAN}
     */
    record Settled(String claimId, String scope, Outcome outcome, ClaimAnswer.Settled storedAnswer)
            implements ClaimRecord {}

    /** The claim was never dispatched and never will be, so it no longer holds its key. */
    record Abandoned(String claimId, String scope) implements ClaimRecord {}

    /**
     * One part of a checkpoint. The batches that contain all its parts repeat every claim up to an offset that may
     * still hold its key.
     *
     * @param partIndex number of this part, from 0
     * @param throughOffset last offset that the checkpoint covers
     */
    record Checkpoint(String checkpointId, int partIndex, int partCount, long throughOffset) implements ClaimRecord {}
}
