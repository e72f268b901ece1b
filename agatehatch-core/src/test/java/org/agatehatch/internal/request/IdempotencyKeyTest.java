package org.agatehatch.internal.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.testng.annotations.Test;

/**
 * Guards against different keys that are treated as one, one key that is treated as two because of its notation, and
 * expired keys.
 */
public class IdempotencyKeyTest {
    private static final String V7 = "0193e000-0000-7abc-8def-0123456789ab";
    private static final long V7_MILLIS = 0x0193e0000000L;

    @Test
    public void quoted_strings_and_bare_tokens_give_the_same_key() {
        assertEquals(IdempotencyKey.parse("\"order-17\""), IdempotencyKey.parse(" order-17 "));
        assertEquals(IdempotencyKey.parse("\"a \\\"b\\\" \\\\\"").value(), "a \"b\" \\");
    }

    @Test
    public void malformed_keys_are_rejected_with_outcome_not_run() {
        List<String> malformed = List.of(
                "",
                "\"\"",
                "\"open",
                "\"a\" b",
                "two words",
                "\"\\x\"",
                "\"\u00e9\"",
                "\u00e9",
                "\"\\",
                "a,b",
                "x".repeat(256));
        for (String header : malformed) {
            AgatehatchException error = expectThrows(AgatehatchException.class, () -> IdempotencyKey.parse(header));
            assertEquals(error.code(), ErrorCode.IDEMPOTENCY_KEY_INVALID, header);
            assertEquals(error.outcome(), Outcome.NOT_RUN);
        }
    }

    @Test
    public void a_uuid_v7_key_is_valid_from_five_minutes_before_to_one_hour_after_its_timestamp() {
        IdempotencyKey key = IdempotencyKey.parse(V7);
        assertEquals(key.timestampMillis().getAsLong(), V7_MILLIS);
        key.requireFresh(V7_MILLIS - 300_000);
        key.requireFresh(V7_MILLIS + 3_600_000);
        for (long wallMillis : new long[] {V7_MILLIS - 300_001, V7_MILLIS + 3_600_001}) {
            AgatehatchException error = expectThrows(AgatehatchException.class, () -> key.requireFresh(wallMillis));
            assertEquals(error.code(), ErrorCode.IDEMPOTENCY_KEY_EXPIRED);
            assertEquals(error.outcome(), Outcome.UNKNOWN);
        }
    }

    @Test
    public void opaque_keys_do_not_expire() {
        IdempotencyKey.parse("0193e000-0000-4abc-8def-0123456789ab").requireFresh(Long.MAX_VALUE);
    }

    @Test
    public void scopes_and_fingerprints_depend_on_the_boundaries_between_their_parts() {
        IdempotencyKey key = new IdempotencyKey("k");
        assertNotEquals(ClaimScope.of("ab", "c", key), ClaimScope.of("a", "bc", key));
        assertNotEquals(
                RequestFingerprint.of("ab", "c".getBytes(StandardCharsets.UTF_8)),
                RequestFingerprint.of("a", "bc".getBytes(StandardCharsets.UTF_8)));
        assertEquals(ClaimScope.of("a", "b", key), ClaimScope.of("a", "b", key));
    }
}
