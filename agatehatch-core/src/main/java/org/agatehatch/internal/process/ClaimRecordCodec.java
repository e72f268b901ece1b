package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.request.ClaimAnswer;

/** Encodes and decodes claim records as MessagePack batches. Decoding skips unknown record types and fields. */
public final class ClaimRecordCodec {
    private static final int VERSION = 1;
    private static final String CLAIM_ID = "claim_id";
    private static final String SCOPE = "scope";

    private ClaimRecordCodec() {}

    public static byte[] encode(List<ClaimRecord> records) {
        return BatchCodec.encode(records.stream().map(ClaimRecordCodec::toTyped).toList());
    }

    /** Decodes a batch of records. Fails with {@code BAD_FRAME} on malformed input. */
    public static List<ClaimRecord> decode(byte[] payload) {
        List<ClaimRecord> records = new ArrayList<>();
        for (TypedRecord typed : BatchCodec.decode(payload)) {
            switch (typed.type()) {
                case "claim" -> records.add(decodeClaimed(typed));
                case "claim_settled" -> records.add(toSettled(typed));
                case "claim_abandoned" ->
                    records.add(new ClaimRecord.Abandoned(typed.text(CLAIM_ID), typed.text(SCOPE)));
                case "claim_checkpoint" ->
                    records.add(new ClaimRecord.Checkpoint(
                            typed.text("checkpoint_id"),
                            typed.smallNumber("part"),
                            typed.smallNumber("parts"),
                            typed.number("through_offset")));
                default -> {
                    // A record type of a newer version, which this version does not need.
                }
            }
        }
        return records;
    }

    static TypedRecord toTyped(ClaimRecord record) {
        Map<String, Object> body = new LinkedHashMap<>();
        if (record instanceof ClaimRecord.Claimed claimed) {
            body.put(CLAIM_ID, claimed.claimId());
            body.put(SCOPE, claimed.scope());
            body.put("fingerprint", claimed.fingerprint());
            body.put("node", claimed.node());
            body.put("incarnation", claimed.incarnation());
            body.put("first_offset", claimed.firstOffset());
            body.put("age_millis", claimed.ageMillis());
            return new TypedRecord("claim", VERSION, body);
        }
        if (record instanceof ClaimRecord.Settled settled) {
            body.put(CLAIM_ID, settled.claimId());
            body.put(SCOPE, settled.scope());
            body.put("outcome", settled.outcome().wireName());
            putStoredAnswer(body, settled.storedAnswer());
            return new TypedRecord("claim_settled", VERSION, body);
        }
        if (record instanceof ClaimRecord.Abandoned abandoned) {
            body.put(CLAIM_ID, abandoned.claimId());
            body.put(SCOPE, abandoned.scope());
            return new TypedRecord("claim_abandoned", VERSION, body);
        }
        ClaimRecord.Checkpoint checkpoint = (ClaimRecord.Checkpoint) record;
        body.put("checkpoint_id", checkpoint.checkpointId());
        body.put("part", checkpoint.partIndex());
        body.put("parts", checkpoint.partCount());
        body.put("through_offset", checkpoint.throughOffset());
        return new TypedRecord("claim_checkpoint", VERSION, body);
    }

    static ClaimRecord.Claimed decodeClaimed(TypedRecord typed) {
        long ageMillis = typed.number("age_millis");
        if (ageMillis < 0) {
            throw TypedRecord.badFrame("a claim has a negative age", null);
        }
        return new ClaimRecord.Claimed(
                typed.text(CLAIM_ID),
                typed.text(SCOPE),
                typed.number("fingerprint"),
                typed.text("node"),
                typed.text("incarnation"),
                typed.number("first_offset"),
                ageMillis);
    }

    private static ClaimRecord.Settled toSettled(TypedRecord typed) {
        Outcome outcome;
        try {
            outcome = Outcome.valueOf(typed.text("outcome").toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw TypedRecord.badFrame("a settled claim has an unknown outcome", e);
        }
        if (outcome == Outcome.NOT_RUN) {
            throw TypedRecord.badFrame("a claim whose request did not run must be abandoned, not settled", null);
        }
        return new ClaimRecord.Settled(typed.text(CLAIM_ID), typed.text(SCOPE), outcome, decodeStoredAnswer(typed));
    }

    static void putStoredAnswer(Map<String, Object> body, ClaimAnswer.Settled storedAnswer) {
        body.put("status", storedAnswer.status());
        body.put("content_type", storedAnswer.contentType());
        body.put("body_digest", storedAnswer.bodyDigest());
        body.put("body", storedAnswer.body());
        body.put("body_kept", storedAnswer.bodyKept());
    }

    static ClaimAnswer.Settled decodeStoredAnswer(TypedRecord typed) {
        byte[] body = typed.bytes("body");
        if (body.length > ClaimAnswer.Settled.MAX_BODY_BYTES) {
            throw TypedRecord.badFrame("a stored answer body exceeds the limit: " + body.length + " bytes", null);
        }
        return new ClaimAnswer.Settled(
                typed.smallNumber("status"),
                typed.text("content_type"),
                typed.text("body_digest"),
                body,
                typed.flag("body_kept"));
    }
}
