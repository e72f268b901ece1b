package org.agatehatch.internal.connection;

import org.agatehatch.api.peer.PeerMessage;

/**
 * A frame on a link between two nodes.
 *
 * @param kind role of the frame in the exchange
 * @param correlationId matches an answer to its question; 0 for a notice
 */
public record PeerFrame(Kind kind, long correlationId, PeerMessage message) {
    /** Role of a frame. The ordinals are written to the wire, so the order of the constants is fixed. */
    public enum Kind {
        NOTICE,
        QUESTION,
        ANSWER,
        FAILURE
    }
}
