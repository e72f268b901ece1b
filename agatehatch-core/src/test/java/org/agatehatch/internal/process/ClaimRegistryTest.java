package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.request.ClaimAnswer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against two winners of one key, keys that are freed too early, and false answers to repeated keys. */
public class ClaimRegistryTest {
    private static final long CLAIM_TTL_MILLIS = 1_000;

    private ClaimRegistry registry;

    @BeforeMethod
    public void create() {
        registry = new ClaimRegistry(CLAIM_TTL_MILLIS, 100);
    }

    private static ClaimRecord.Claimed claim(String id) {
        return claim(id, -1, 0);
    }

    private static ClaimRecord.Claimed claim(String id, long firstOffset, long ageMillis) {
        return new ClaimRecord.Claimed(id, "key", 7, "n1", "i1", firstOffset, ageMillis);
    }

    private static ClaimRecord.Settled settled(String id, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return new ClaimRecord.Settled(
                id, "key", Outcome.RAN, new ClaimAnswer.Settled(200, "text/plain", "d", bytes, true));
    }

    private Optional<ClaimAnswer> answerToRepeat(long fingerprint, boolean claimantIsLive) {
        return registry.refusal("key", fingerprint, "other", (node, incarnation) -> claimantIsLive);
    }

    @Test
    public void the_first_claim_in_the_log_wins_even_if_it_is_repeated_later() {
        registry.apply(4, List.of(claim("a"), claim("b")), 0);
        registry.apply(5, List.of(claim("b"), claim("a")), 0);
        assertEquals(registry.wins("a"), Optional.of(true));
        assertEquals(registry.wins("b"), Optional.of(false));
    }

    @Test
    public void a_repeated_key_is_answered_from_the_state_of_the_first_request() {
        assertEquals(answerToRepeat(7, true), Optional.empty());
        registry.apply(0, List.of(claim("a")), 0);
        assertTrue(answerToRepeat(7, true).get() instanceof ClaimAnswer.InFlight);
        assertTrue(answerToRepeat(7, false).get() instanceof ClaimAnswer.OutcomeUnknown);
        assertTrue(answerToRepeat(8, true).get() instanceof ClaimAnswer.Reused);
        registry.apply(1, List.of(settled("a", "done")), 0);
        assertEquals(
                new String(((ClaimAnswer.Settled) answerToRepeat(7, false).get()).body(), StandardCharsets.UTF_8),
                "done");
    }

    @Test
    public void an_abandoned_claim_frees_its_key_in_either_order_of_the_records() {
        registry.apply(0, List.of(new ClaimRecord.Abandoned("a", "key")), 0);
        registry.apply(1, List.of(claim("a")), 0);
        registry.apply(2, List.of(claim("b")), 0);
        assertEquals(registry.wins("a"), Optional.empty());
        assertEquals(registry.wins("b"), Optional.of(true));
        registry.apply(3, List.of(new ClaimRecord.Abandoned("b", "key")), 0);
        assertEquals(answerToRepeat(7, true), Optional.empty());
    }

    @Test
    public void a_settled_claim_cannot_be_abandoned() {
        registry.apply(0, List.of(claim("a"), settled("a", "done"), new ClaimRecord.Abandoned("a", "key")), 0);
        assertEquals(registry.wins("a"), Optional.of(true));
    }

    @Test
    public void a_claim_that_lost_holds_the_key_after_the_first_expired() {
        registry.apply(0, List.of(claim("a")), 0);
        registry.apply(1, List.of(claim("b")), 900);
        registry.prune(CLAIM_TTL_MILLIS);
        registry.apply(2, List.of(claim("c")), CLAIM_TTL_MILLIS);
        assertEquals(registry.wins("a"), Optional.empty());
        assertEquals(registry.wins("c"), Optional.of(false));
    }

    @Test
    public void claim_age_is_the_time_since_it_was_read_plus_the_age_in_its_record() {
        registry.apply(0, List.of(claim("a", 0, 400)), 50);
        registry.prune(649);
        assertTrue(answerToRepeat(7, true).isPresent());
        registry.prune(650);
        assertFalse(answerToRepeat(7, true).isPresent());
    }

    @Test
    public void a_repeated_claim_precedes_newer_ones_that_were_read_before_it() {
        registry.apply(9, List.of(claim("new")), 0);
        registry.apply(10, List.of(claim("old", 3, 0)), 0);
        assertEquals(registry.wins("new"), Optional.of(false));
        assertEquals(registry.wins("old"), Optional.of(true));
    }

    @Test
    public void only_a_complete_checkpoint_covers_dropped_records_and_removes_the_claims_it_omits() {
        registry.apply(4, List.of(claim("expired elsewhere")), 0);
        registry.apply(8, List.of(claim("kept", 3, 10), new ClaimRecord.Checkpoint("x", 0, 2, 6)), 0);
        assertFalse(registry.coversBefore(5));
        registry.apply(9, List.of(new ClaimRecord.Checkpoint("x", 1, 2, 6)), 0);
        assertTrue(registry.coversBefore(7));
        assertFalse(registry.coversBefore(8));
        assertEquals(registry.wins("expired elsewhere"), Optional.empty());
        assertEquals(registry.wins("kept"), Optional.of(true));
    }

    @Test
    public void a_registry_rebuilt_from_checkpoint_records_gives_the_same_answers() {
        registry.apply(0, List.of(claim("a"), claim("b"), settled("a", "done")), 0);
        ClaimRegistry rebuilt = new ClaimRegistry(CLAIM_TTL_MILLIS, 100);
        List<ClaimRecord> repeated = new ArrayList<>(registry.checkpointRecords(0, 300));
        rebuilt.apply(7, ClaimRecordCodec.decode(ClaimRecordCodec.encode(repeated)), 5_000);
        assertEquals(rebuilt.wins("a"), Optional.of(true));
        assertEquals(rebuilt.wins("b"), Optional.of(false));
        assertTrue(rebuilt.isSettled("a"));
        rebuilt.prune(5_700);
        assertEquals(rebuilt.size(), 0);
    }

    @Test
    public void stored_bodies_over_the_limit_are_dropped_and_pruning_frees_their_bytes() {
        registry.apply(0, List.of(claim("a"), settled("a", "x".repeat(80))), 0);
        registry.apply(1, List.of(claim("b"), settled("b", "y".repeat(30))), 0);
        assertEquals(registry.bodyBytes(), 80);
        registry.apply(2, List.of(settled("early", "z".repeat(20))), 0);
        registry.prune(CLAIM_TTL_MILLIS);
        assertEquals(registry.bodyBytes(), 0);
        assertEquals(registry.size(), 0);
    }
}
