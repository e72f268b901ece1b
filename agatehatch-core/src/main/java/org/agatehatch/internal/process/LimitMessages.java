package org.agatehatch.internal.process;

import java.util.Map;
import java.util.OptionalDouble;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.request.RequestPacer;
import org.agatehatch.internal.version.record.Fields;
import org.agatehatch.internal.version.record.MessagePackValues;

/** Messages by which nodes share the limits that backend servers name. */
public final class LimitMessages {
    /** Message type of a {@link Notice}. */
    public static final String NOTICE_TYPE = "server_limit";
    /** Message type of a {@link PermitRequest}. */
    public static final String PERMIT_REQUEST_TYPE = "permit_wanted";
    /** Message type of the reply to a {@link PermitRequest}. */
    public static final String PERMIT_TYPE = "permit";

    /** Message type of a {@link TurnedAway}. */
    public static final String TURNED_AWAY_TYPE = "turned_away";

    private LimitMessages() {}

    /**
     * A request that a server has turned away for want of room.
     *
     * @param process the server's id and start time
     * @param maxPerSecond requests that it can turn away in a second
     */
    public record TurnedAway(String process, double maxPerSecond) {}

    /** Encodes a notice of a request that was turned away. */
    public static PeerMessage encode(TurnedAway turnedAway) {
        return message(TURNED_AWAY_TYPE, Map.of("p", turnedAway.process(), "r", turnedAway.maxPerSecond()));
    }

    /** Decodes a notice of a request that was turned away. */
    public static TurnedAway decodeTurnedAway(PeerMessage message) {
        Fields fields = fields(message);
        return new TurnedAway(fields.text("p"), fields.number("r"));
    }

    /**
     * A limit that a server's answer named, or that has ended.
     *
     * @param process the server's id and start time
     * @param perSecond requests per second, 0 or more; empty if the limit has ended
     */
    public record Notice(String process, OptionalDouble perSecond) {}

    /**
     * Asks the node that grants a server's permits for one.
     *
     * @param perSecond the server's limit as the asking node knows it
     * @param maxDelayMillis longest time that the request can wait
     */
    public record PermitRequest(String process, double perSecond, long maxDelayMillis) {}

    /** Encodes a notice. */
    public static PeerMessage encode(Notice notice) {
        return message(
                NOTICE_TYPE,
                Map.of(
                        "p",
                        notice.process(),
                        "l",
                        notice.perSecond().isPresent(),
                        "r",
                        notice.perSecond().orElse(0)));
    }

    /** Decodes a notice. */
    public static Notice decodeNotice(PeerMessage message) {
        Fields fields = fields(message);
        OptionalDouble perSecond = fields.flag("l") ? OptionalDouble.of(fields.number("r")) : OptionalDouble.empty();
        return new Notice(fields.text("p"), perSecond);
    }

    /** Encodes a request for a permit. */
    public static PeerMessage encode(PermitRequest request) {
        return message(
                PERMIT_REQUEST_TYPE,
                Map.of("p", request.process(), "r", request.perSecond(), "d", request.maxDelayMillis()));
    }

    /** Decodes a request for a permit. */
    public static PermitRequest decodePermitRequest(PeerMessage message) {
        Fields fields = fields(message);
        return new PermitRequest(fields.text("p"), fields.number("r"), fields.integer("d"));
    }

    /** Encodes the answer to a request for a permit. */
    public static PeerMessage encode(RequestPacer.Permit permit) {
        return message(PERMIT_TYPE, Map.of("g", permit.granted(), "d", permit.delayMillis()));
    }

    /** Decodes the answer to a request for a permit. */
    public static RequestPacer.Permit decodePermit(PeerMessage message) {
        Fields fields = fields(message);
        return new RequestPacer.Permit(fields.flag("g"), fields.integer("d"));
    }

    private static PeerMessage message(String type, Map<String, Object> body) {
        return new PeerMessage(type, MessagePackValues.encode(body));
    }

    private static Fields fields(PeerMessage message) {
        try {
            return new Fields(MessagePackValues.decode(message.body()));
        } catch (MessagePackValues.MalformedValueException e) {
            throw new IllegalArgumentException("the body of a '" + message.type() + "' message is malformed", e);
        }
    }
}
