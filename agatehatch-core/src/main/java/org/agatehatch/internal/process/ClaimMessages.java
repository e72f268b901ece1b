package org.agatehatch.internal.process;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.agatehatch.api.peer.PeerMessage;
import org.agatehatch.internal.request.ClaimAnswer;

/**
 * Encodes and decodes the messages between claimants and claim writers. The body of each {@link PeerMessage} is a batch of
 * one record.
 */
final class ClaimMessages {
    static final String CLAIM = "claim";
    static final String CLAIM_ANSWER = "claim_answer";

    /** Reports that a claim was settled or abandoned. */
    static final String CLAIM_RESOLUTION = "claim_note";

    static final String CLAIM_RESOLUTION_ANSWER = "claim_note_answer";

    private static final int VERSION = 1;
    private static final String PARTITION = "partition";

    private ClaimMessages() {}

    /** A payload and the claim partition that its sender computed. */
    record Partitioned<T>(int partition, T payload) {}

    static PeerMessage encodeClaim(int partition, ClaimRequest request) {
        Map<String, Object> body =
                new LinkedHashMap<>(ClaimRecordCodec.toTyped(request.toRecord()).body());
        body.put(PARTITION, partition);
        body.put("timeout_millis", request.timeoutMillis());
        return message(CLAIM, body);
    }

    static Partitioned<ClaimRequest> decodeClaim(PeerMessage message) {
        TypedRecord typed = singleRecord(message, CLAIM);
        ClaimRecord.Claimed claimed = ClaimRecordCodec.decodeClaimed(typed);
        return new Partitioned<>(
                typed.smallNumber(PARTITION),
                new ClaimRequest(
                        claimed.claimId(),
                        claimed.scope(),
                        claimed.fingerprint(),
                        claimed.node(),
                        claimed.incarnation(),
                        typed.number("timeout_millis")));
    }

    static PeerMessage encodeResolution(int partition, ClaimRecord resolution) {
        byte[] encodedRecords = ClaimRecordCodec.encode(List.of(resolution));
        return message(CLAIM_RESOLUTION, Map.of(PARTITION, partition, "records", encodedRecords));
    }

    static Partitioned<List<ClaimRecord>> decodeResolution(PeerMessage message) {
        TypedRecord typed = singleRecord(message, CLAIM_RESOLUTION);
        return new Partitioned<>(typed.smallNumber(PARTITION), ClaimRecordCodec.decode(typed.bytes("records")));
    }

    static PeerMessage encodeResolutionAnswer(boolean recorded) {
        return message(CLAIM_RESOLUTION_ANSWER, Map.of("recorded", recorded));
    }

    static boolean decodeResolutionAnswer(PeerMessage message) {
        return singleRecord(message, CLAIM_RESOLUTION_ANSWER).flag("recorded");
    }

    static PeerMessage encodeAnswer(ClaimAnswer answer) {
        Map<String, Object> body = new LinkedHashMap<>();
        if (answer instanceof ClaimAnswer.Granted granted) {
            body.put("kind", "granted");
            body.put("claim_id", granted.claimId());
        } else if (answer instanceof ClaimAnswer.InFlight) {
            body.put("kind", "in_flight");
        } else if (answer instanceof ClaimAnswer.OutcomeUnknown) {
            body.put("kind", "unknown");
        } else if (answer instanceof ClaimAnswer.Reused) {
            body.put("kind", "reused");
        } else if (answer instanceof ClaimAnswer.Settled settled) {
            body.put("kind", "settled");
            ClaimRecordCodec.putStoredAnswer(body, settled);
        } else if (answer instanceof ClaimAnswer.Unavailable unavailable) {
            body.put("kind", "unavailable");
            body.put("retry_after_millis", unavailable.retryAfterMillis());
            body.put("reason", unavailable.reason());
            body.put("in_doubt", unavailable.inDoubt());
        }
        return message(CLAIM_ANSWER, body);
    }

    /**
     * Decodes an answer. Fails with {@code BAD_FRAME} on malformed input and on an unknown kind, so that an answer of a
     * newer version never counts as a grant.
     */
    static ClaimAnswer decodeAnswer(PeerMessage message, long sentAtMillis) {
        TypedRecord typed = singleRecord(message, CLAIM_ANSWER);
        return switch (typed.text("kind")) {
            case "granted" -> new ClaimAnswer.Granted(typed.text("claim_id"), sentAtMillis);
            case "in_flight" -> new ClaimAnswer.InFlight();
            case "unknown" -> new ClaimAnswer.OutcomeUnknown();
            case "reused" -> new ClaimAnswer.Reused();
            case "settled" -> ClaimRecordCodec.decodeStoredAnswer(typed);
            case "unavailable" ->
                new ClaimAnswer.Unavailable(
                        typed.number("retry_after_millis"), typed.text("reason"), typed.flag("in_doubt"));
            default -> throw TypedRecord.badFrame("a claim answer has an unknown kind", null);
        };
    }

    private static PeerMessage message(String type, Map<String, Object> body) {
        return new PeerMessage(type, BatchCodec.encode(List.of(new TypedRecord(type, VERSION, body))));
    }

    private static TypedRecord singleRecord(PeerMessage message, String type) {
        List<TypedRecord> records = BatchCodec.decode(message.body());
        if (records.size() != 1 || !records.get(0).type().equals(type)) {
            throw TypedRecord.badFrame("the message body is not one record of type '" + type + "'", null);
        }
        return records.get(0);
    }
}
