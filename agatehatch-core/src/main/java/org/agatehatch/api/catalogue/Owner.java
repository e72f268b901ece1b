package org.agatehatch.api.catalogue;

/**
 * A team that owns catalogue entries and accelerators.
 *
 * @param share guaranteed share of the accelerator time of all pools, as a weight relative to the other owners
 * @param maxQueuedRequests maximum number of this owner's requests in the queues of one node
 * @param maxTokensPerSecond maximum output tokens per second over all nodes; 0 for no limit
 */
public record Owner(String name, double share, int maxQueuedRequests, long maxTokensPerSecond) {}
