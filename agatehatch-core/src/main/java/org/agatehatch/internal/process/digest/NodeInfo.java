package org.agatehatch.internal.process.digest;

/**
 * Identity and addresses of a node.
 *
 * @param incarnation random identity of the process
 * @param callerAddress IP number and port for callers and operators
 * @param peerAddress IP number and port for links
 */
public record NodeInfo(
        String name,
        String incarnation,
        String callerAddress,
        String peerAddress,
        String failureDomain,
        String region) {}
