package org.agatehatch.gateway.process;

import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.process.RelayedTopic;
import org.agatehatch.internal.process.TopicMessages;

/** Answers questions of nodes that read a topic through this node. */
record TopicQuestions(RelayedTopic config, RelayedTopic servers) {
    static final String CONFIG_TOPIC = "config";
    static final String SERVER_TOPIC = "servers";

    PeerMessage answer(TopicMessages.Request question) {
        return switch (question.topic()) {
            case CONFIG_TOPIC -> config.answer(question);
            case SERVER_TOPIC -> servers.answer(question);
            default ->
                throw new IllegalArgumentException(
                        "topic '" + question.topic() + "' is not relayed; the asking node runs another version");
        };
    }
}
