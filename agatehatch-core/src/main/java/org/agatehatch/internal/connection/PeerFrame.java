package org.agatehatch.internal.connection;

import org.agatehatch.api.peer.PeerMessage;

/**
 * One frame of a link between nodes.
 *
 * @param kind whether the frame is a notice, a question or an answer
 * @param correlationId number that ties an answer to its question; 0 for a notice
 */
public record PeerFrame(Kind kind, long correlationId, PeerMessage message) {
    /** What a frame is for. */
    public enum Kind {
        NOTICE,
        QUESTION,
        ANSWER,
        FAILURE
    }
}
