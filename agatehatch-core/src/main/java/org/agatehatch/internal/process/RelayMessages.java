package org.agatehatch.internal.process;

import java.util.Map;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.version.record.Fields;
import org.agatehatch.internal.version.record.MessagePackValues;

/** Messages by which a node asks another one to relay a connection to a backend server that it does not reach itself. */
public final class RelayMessages {
    /** Message type of an {@link Open}, and of the answer to it. */
    public static final String TYPE = "server_relay";

    private RelayMessages() {}

    /** What became of a relayed connection. The ordinals are written to the wire, so the order of the constants is fixed. */
    public enum Outcome {
        /** The connection is open. */
        OPENED,
        /** The server's host refused the connection of the relay. */
        REFUSED,
        /** The relay could not connect to the server in time. */
        TIMED_OUT,
        /** The relay knows that its own path to the server is cut. */
        CUT_OFF,
        /** The relay has as many relayed connections as it bears. */
        BUSY,
        /** The relay is stopping. */
        LEAVING,
        /** The relay knows no such process of a server, or knows that it takes no requests. */
        UNKNOWN_SERVER,
        /** The relay did not answer. Never sent. */
        NO_ANSWER;

        /** Returns whether the relay tried, so that the outcome says something of the server. */
        public boolean concernsServer() {
            return this == OPENED || this == REFUSED || this == TIMED_OUT;
        }
    }

    /**
     * Asks for a connection to a process of a backend server.
     *
     * @param process the server's id and start time
     * @param maxMillis time after which the relay closes the connection, because nobody waits for it any more
     */
    public record Open(String service, String process, long maxMillis) {}

    /** Encodes a question. */
    public static PeerMessage encode(Open open) {
        return message(Map.of("s", open.service(), "p", open.process(), "d", open.maxMillis()));
    }

    /** Decodes a question. */
    public static Open decodeOpen(PeerMessage message) {
        Fields fields = fields(message);
        return new Open(fields.text("s"), fields.text("p"), fields.integer("d"));
    }

    /** Encodes an answer. */
    public static PeerMessage encode(Outcome outcome) {
        return message(Map.of("o", (long) outcome.ordinal()));
    }

    /** Decodes an answer. */
    public static Outcome decodeOutcome(PeerMessage message) {
        long ordinal = fields(message).integer("o");
        if (ordinal < 0 || ordinal >= Outcome.values().length) {
            throw new IllegalArgumentException("relay outcome " + ordinal + " is unknown");
        }
        return Outcome.values()[(int) ordinal];
    }

    private static PeerMessage message(Map<String, Object> body) {
        return new PeerMessage(TYPE, MessagePackValues.encode(body));
    }

    private static Fields fields(PeerMessage message) {
        try {
            return new Fields(MessagePackValues.decode(message.body()));
        } catch (MessagePackValues.MalformedValueException e) {
            throw new IllegalArgumentException("the body of a '" + message.type() + "' message is malformed", e);
        }
    }
}
