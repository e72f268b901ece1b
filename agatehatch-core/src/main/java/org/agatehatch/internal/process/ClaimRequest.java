package org.agatehatch.internal.process;

/**
 * A request of a claimant to the claim writer of a partition.
 *
 * @param claimId random identity, the same when the claim is sent again or to another writer
 * @param scope hash of owner, service and key
 * @param fingerprint hash of the entry and the request body
 * @param node address of the claimant
 * @param incarnation identity of the claimant's process
 * @param timeoutMillis time after which the claimant no longer waits for the answer
 */
public record ClaimRequest(
        String claimId, String scope, long fingerprint, String node, String incarnation, long timeoutMillis) {
    ClaimRecord.Claimed toRecord() {
        return new ClaimRecord.Claimed(claimId, scope, fingerprint, node, incarnation, -1, 0);
    }
}
