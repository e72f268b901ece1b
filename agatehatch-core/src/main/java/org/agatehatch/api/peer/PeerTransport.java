package org.agatehatch.api.peer;

import java.util.concurrent.CompletionStage;

/** Sends messages to other nodes over authenticated links. */
public interface PeerTransport {
    /** Sends a message without waiting for a reply. Delivery is best effort: a message may be lost without an error. */
    void send(String nodeAddress, PeerMessage message);

    /**
     * Sends a message and returns a stage that completes with the reply. The stage fails with an error that names the
     * peer's address if the link breaks or no reply arrives within {@code timeoutMillis}.
     */
    CompletionStage<PeerMessage> ask(String nodeAddress, PeerMessage message, long timeoutMillis);
}
