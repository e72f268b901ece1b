package org.agatehatch.internal.process;

/**
 * The right to give orders to runners, as a node has it at some moment.
 *
 * @param token fencing token of the node's orders
 * @param confirmed whether no other node can have the right; if not, only runners that check tokens tell
 */
public record PlacementGrant(long token, boolean confirmed) {}
