package org.agatehatch.daemon.settings;

import java.net.URI;

/**
 * Settings of one node.
 *
 * @param nodeName name of this node, unique among the live nodes
 * @param listenHost IP number on which callers and operators connect
 * @param listenPort port for callers and operators; 0 for any free port
 * @param peerPort port for links from other nodes; 0 for any free port
 * @param advertisedHost IP number that callers and other nodes use to reach this node
 * @param logUrl base URL of the append-only log
 * @param vmListUrl base URL of the VM list
 * @param peerKey shared key with which nodes authenticate each other
 * @param claimPartitions number of claim streams; must be the same on all nodes
 * @param claimIntervalMillis time for which a claim writer batches claims into one append
 * @param entryAnswerMillis time for which callers may cache an answer of {@code /v1/entry-nodes}
 * @param drainLimitMillis longest time for which a graceful stop waits for requests in flight
 * @param maxBodyBytes largest accepted request body
 * @param logFormat {@code text} or {@code json}
 * @param embedded whether the stand-ins of the platform run inside this process
 */
public record NodeSettings(
        String nodeName,
        String failureDomain,
        String region,
        String listenHost,
        int listenPort,
        int peerPort,
        String advertisedHost,
        URI logUrl,
        URI vmListUrl,
        String peerKey,
        int claimPartitions,
        long claimIntervalMillis,
        long entryAnswerMillis,
        long drainLimitMillis,
        int maxBodyBytes,
        String logFormat,
        boolean embedded) {
    /** Minimum length of the shared key, in characters. */
    public static final int MIN_PEER_KEY_LENGTH = 16;
}
