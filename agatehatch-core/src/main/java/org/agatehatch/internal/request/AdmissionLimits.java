package org.agatehatch.internal.request;

/**
 * Limits of the queue of one pool at one node.
 *
 * @param maxRequests maximum number of waiting requests
 * @param maxBytes maximum total size of the waiting requests
 * @param quantumTokens tokens credited to an owner of weight 1 in each round of deficit round robin
 */
public record AdmissionLimits(int maxRequests, long maxBytes, long quantumTokens) {
    /** The queue may take 16 MiB of a node's 64 MB; the quantum is about the size of a short request. */
    public static final AdmissionLimits DEFAULT = new AdmissionLimits(4_096, 16L << 20, 500);
}
