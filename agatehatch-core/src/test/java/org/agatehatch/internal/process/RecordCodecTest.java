package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.request.ClaimAnswer;
import org.testng.annotations.Test;

/**
 * Guards against records that encoding changes, and against malformed input that does anything but fail
 * with {@code BAD_FRAME}.
 */
public class RecordCodecTest {
    private static final ClaimRecord.Claimed CLAIM = new ClaimRecord.Claimed("c", "s", Long.MIN_VALUE, "n", "i", -1, 5);
    private static final AccountRecord ACCOUNT =
            new AccountRecord("n", "i", 3, true, Map.of("almaty", new AccountCounters(1, 2, 3, Long.MAX_VALUE, 5)));

    private static byte[] claims() {
        return ClaimRecordCodec.encode(List.of(
                CLAIM,
                new ClaimRecord.Settled(
                        "c", "s", Outcome.UNKNOWN, new ClaimAnswer.Settled(0, "", "", new byte[] {1, 2}, false)),
                new ClaimRecord.Abandoned("c", "s"),
                new ClaimRecord.Checkpoint("x", 1, 2, 9)));
    }

    @Test
    public void records_are_equal_after_encoding_and_decoding() {
        List<ClaimRecord> decoded = ClaimRecordCodec.decode(claims());
        assertEquals(decoded.get(0), CLAIM);
        assertEquals(((ClaimRecord.Settled) decoded.get(1)).storedAnswer().body(), new byte[] {1, 2});
        assertEquals(decoded.get(2), new ClaimRecord.Abandoned("c", "s"));
        assertEquals(decoded.get(3), new ClaimRecord.Checkpoint("x", 1, 2, 9));
        assertEquals(AccountRecordCodec.decode(AccountRecordCodec.encode(List.of(ACCOUNT))), List.of(ACCOUNT));
    }

    @Test
    public void unknown_types_and_fields_are_skipped() {
        TypedRecord typed = ClaimRecordCodec.toTyped(CLAIM);
        Map<String, Object> body = new HashMap<>(typed.body());
        body.put("later", List.of(Map.of("x", true)));
        byte[] payload = BatchCodec.encode(
                List.of(new TypedRecord("later", 9, Map.of()), new TypedRecord(typed.type(), 2, body)));
        assertEquals(ClaimRecordCodec.decode(payload), List.of(CLAIM));
    }

    @Test
    public void malformed_input_fails_with_bad_frame_and_nothing_else() {
        Random random = new Random(11);
        byte[] accounts = AccountRecordCodec.encode(List.of(ACCOUNT));
        for (int i = 0; i < 20_000; i++) {
            byte[] payload = (i % 2 == 0 ? claims() : accounts).clone();
            for (int changes = random.nextInt(4); changes >= 0; changes--) {
                payload[random.nextInt(payload.length)] = (byte) random.nextInt(256);
            }
            try {
                ClaimRecordCodec.decode(payload);
                AccountRecordCodec.decode(payload);
            } catch (AgatehatchException expected) {
                assertEquals(expected.code(), ErrorCode.BAD_FRAME);
            }
        }
    }

    @Test
    public void lengths_and_depths_beyond_the_limits_are_refused_before_memory_is_allocated() {
        byte[] twoGigabyteString = {(byte) 0x91, (byte) 0x93, (byte) 0xdb, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff};
        expectThrows(AgatehatchException.class, () -> BatchCodec.decode(twoGigabyteString));
        byte[] deeplyNested = new byte[100_000];
        Arrays.fill(deeplyNested, (byte) 0x91);
        System.arraycopy(new byte[] {(byte) 0x91, (byte) 0x93, (byte) 0xa1, 't', 1}, 0, deeplyNested, 0, 5);
        expectThrows(AgatehatchException.class, () -> BatchCodec.decode(deeplyNested));
    }

    @Test
    public void an_answer_of_an_unknown_kind_grants_nothing() {
        TypedRecord typed = new TypedRecord("claim_answer", 1, Map.of("kind", "maybe"));
        byte[] body = BatchCodec.encode(List.of(typed));
        expectThrows(
                AgatehatchException.class,
                () -> ClaimMessages.decodeAnswer(new org.agatehatch.api.peer.PeerMessage("claim_answer", body), 0));
    }
}
