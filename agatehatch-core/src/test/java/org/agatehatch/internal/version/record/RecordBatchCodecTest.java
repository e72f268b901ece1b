package org.agatehatch.internal.version.record;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.internal.version.record.StateRecord.CatalogueChange;
import org.agatehatch.internal.version.record.StateRecord.DrainSet;
import org.agatehatch.internal.version.record.StateRecord.IntentKind;
import org.agatehatch.internal.version.record.StateRecord.LeaseRelease;
import org.agatehatch.internal.version.record.StateRecord.LeaseRenew;
import org.agatehatch.internal.version.record.StateRecord.LeaseTake;
import org.agatehatch.internal.version.record.StateRecord.OrderSettled;
import org.agatehatch.internal.version.record.StateRecord.PlacementIntent;
import org.agatehatch.internal.version.record.StateRecord.SettledOutcome;
import org.agatehatch.internal.version.record.StateRecord.Strike;
import org.testng.annotations.Test;

/** Guards against records that change between encoding and decoding, and against payloads that crash the log reader. */
public final class RecordBatchCodecTest {
    private static final int FUZZ_ITERATIONS = 20_000;

    private static final List<StateRecord> ONE_OF_EACH = List.of(
            new CatalogueChange(
                    "r1",
                    7,
                    "aigerim",
                    Map.of("models", Map.of("m", Map.of("memory_mib", 900L, "idempotent", true, "share", 0.5))),
                    Map.of("owners", List.of("old"))),
            new LeaseTake("r2", "pool:bench", "n1", "i1", -1),
            new LeaseRenew("r3", "pool:bench", 12),
            new LeaseRelease("r4", "pool:bench", 12),
            new PlacementIntent(
                    "r5", "bench", 12, IntentKind.LOAD, "o1", "m", "v1", "runner-1", List.of(0, 1), 900, "", "demand"),
            new OrderSettled("r6", "bench", 12, "o1", SettledOutcome.READY, "e1", 5, 0),
            new DrainSet("r7", "runner-1", true, "aigerim"),
            new Strike("r8", -77, "runner-1", "e1"));

    @Test
    public void every_record_type_is_read_back_unchanged() {
        assertEquals(RecordBatchCodec.decode(RecordBatchCodec.encode(ONE_OF_EACH)), ONE_OF_EACH);
    }

    @Test
    public void unknown_types_versions_and_fields_are_skipped() {
        Map<String, Object> body = Map.of("record_id", "r", "lease", "l", "fencing_number", 3, "colour", "blue");
        byte[] payload = MessagePackValues.encode(List.of(
                List.of("later_type", 1, Map.of()),
                List.of("lease_renew", 2, Map.of()),
                List.of("lease_renew", 1, body)));

        assertEquals(RecordBatchCodec.decode(payload), List.of(new LeaseRenew("r", "l", 3)));
    }

    @Test
    public void a_batch_above_the_size_limit_is_refused_on_both_sides() {
        StateRecord large = new DrainSet("r", "x".repeat(RecordBatchCodec.MAX_BATCH_BYTES), true, "op");

        byte[] wellFormed = MessagePackValues.encode(List.of(
                List.of("later_type", 1, Map.of("text", "x".repeat(RecordBatchCodec.MAX_BATCH_BYTES)))));

        AgatehatchException written =
                expectThrows(AgatehatchException.class, () -> RecordBatchCodec.encode(List.of(large)));
        AgatehatchException read = expectThrows(AgatehatchException.class, () -> RecordBatchCodec.decode(wellFormed));

        assertEquals(written.code(), ErrorCode.REQUEST_TOO_LARGE);
        assertEquals(read.code(), ErrorCode.BAD_FRAME);
    }

    @Test
    public void random_and_damaged_bytes_give_bad_frame_and_no_other_exception() {
        Random random = new Random(4711);
        byte[] valid = RecordBatchCodec.encode(ONE_OF_EACH);
        List<ErrorCode> codes = new ArrayList<>();
        for (int iteration = 0; iteration < FUZZ_ITERATIONS; iteration++) {
            byte[] payload = iteration % 2 == 0 ? randomBytes(random) : damaged(valid, random);
            try {
                RecordBatchCodec.decode(payload);
            } catch (AgatehatchException e) {
                codes.add(e.code());
            }
        }
        assertEquals(codes.stream().distinct().toList(), List.of(ErrorCode.BAD_FRAME));
    }

    @Test
    public void deep_nesting_and_huge_announced_lengths_are_refused_before_memory_is_reserved() {
        byte[] nested = new byte[100_000];
        Arrays.fill(nested, (byte) 0x91);
        byte[] hugeList = {(byte) 0xdd, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff};

        assertThrows(AgatehatchException.class, () -> RecordBatchCodec.decode(nested));
        assertThrows(AgatehatchException.class, () -> RecordBatchCodec.decode(hugeList));
    }

    private static byte[] randomBytes(Random random) {
        byte[] bytes = new byte[random.nextInt(64)];
        random.nextBytes(bytes);
        return bytes;
    }

    private static byte[] damaged(byte[] valid, Random random) {
        byte[] bytes = Arrays.copyOf(valid, random.nextInt(4) == 0 ? random.nextInt(valid.length) : valid.length);
        for (int i = 0; i < 3 && bytes.length > 0; i++) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
        }
        return bytes;
    }
}
