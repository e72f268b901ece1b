package org.agatehatch.internal.process.digest;

/**
 * Heartbeat of a node.
 *
 * @param catalogueVersion version of the catalogue that is in force on the node
 * @param controlOffset last offset of the control stream that the node has applied
 */
public record Heartbeat(NodeState state, long catalogueVersion, long controlOffset) {}
