package org.agatehatch.daemon.links;

import java.util.concurrent.CompletionStage;
import org.agatehatch.api.peer.PeerMessage;

/** Receives events and messages of peer links. Methods are called on the links' stream threads and must not block. */
public interface PeerHandler {
    /** Called when a link is authenticated. */
    void onOpen(PeerLink link);

    /** Called for a one-way message. */
    void onNotice(PeerLink link, PeerMessage message);

    /** Called for a message that expects an answer. If the stage fails, the peer receives the failure's message. */
    CompletionStage<PeerMessage> onQuestion(PeerLink link, PeerMessage message);

    /** Called when an authenticated link is closed. */
    void onClose(PeerLink link);
}
