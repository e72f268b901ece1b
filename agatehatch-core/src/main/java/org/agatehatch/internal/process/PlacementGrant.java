package org.agatehatch.internal.process;

/**
 * A node's permission to send residency orders to runners, as of the moment of the query.
 *
 * @param token fencing token for the node's orders
 * @param confirmed whether no other node can have a grant; otherwise another node may, and only the runners' token check
 *     keeps stale orders out
 */
public record PlacementGrant(long token, boolean confirmed) {}
