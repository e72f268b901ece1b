package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.internal.process.FaultyLog.AppendFault;
import org.agatehatch.internal.request.ClaimAnswer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against claims that are granted without proof, and against a writer that stops after a fault of the log. */
public class ClaimWriterTest {
    private static final String STREAM = "claims-0";
    private static final long KEEP_MILLIS = 80_000;
    private static final ClaimAnswer.Settled DONE =
            new ClaimAnswer.Settled(200, "text/plain", "d", new byte[] {1}, true);

    private VirtualTime time;
    private FaultyLog log;
    private ClaimWriter writer;

    @BeforeMethod
    public void create() {
        time = new VirtualTime();
        log = new FaultyLog(time);
        writer = newWriter(100);
        pass(100);
    }

    private ClaimWriter newWriter(int maxPending) {
        ClaimWriterSettings settings =
                new ClaimWriterSettings(40, KEEP_MILLIS, KEEP_MILLIS, 1_000, 2_000, maxPending, 50, 10_000, 1_000);
        return new ClaimWriter(0, log, time, new Random(5), (node, incarnation) -> true, Runnable::run, settings);
    }

    private void pass(long millis) {
        pass(writer, millis);
    }

    private void pass(ClaimWriter ticked, long millis) {
        for (long passed = 0; passed < millis; passed += 10) {
            ticked.tick();
            time.advance(10);
        }
    }

    private static ClaimRequest request(String claimId, String scope) {
        return new ClaimRequest(claimId, scope, 7, "n1", "i1", 10_000);
    }

    private CompletableFuture<ClaimAnswer> claim(String claimId, String scope) {
        return writer.claim(request(claimId, scope)).toCompletableFuture();
    }

    private static String kind(CompletableFuture<ClaimAnswer> answer) {
        return answer.isDone() ? answer.getNow(null).getClass().getSimpleName() : "waiting";
    }

    @Test
    public void claims_of_one_interval_share_one_append_and_are_granted_after_it_is_read_back() {
        CompletableFuture<ClaimAnswer> first = claim("a", "k1");
        CompletableFuture<ClaimAnswer> second = claim("b", "k2");
        pass(20);
        assertEquals(log.end(STREAM), 1);
        assertEquals(kind(first), "waiting", "the append was stored and not yet read back");
        pass(100);
        assertEquals(kind(first) + kind(second), "GrantedGranted");
        assertEquals(log.appends(), 1);
    }

    @Test
    public void of_two_writers_only_the_one_with_the_first_record_grants() {
        ClaimWriter other = newWriter(100);
        pass(other, 100);
        CompletableFuture<ClaimAnswer> first = claim("a", "k");
        CompletableFuture<ClaimAnswer> second = other.claim(request("b", "k")).toCompletableFuture();
        writer.tick();
        time.advance(5);
        pass(other, 200);
        pass(200);
        assertEquals(kind(first) + kind(second), "GrantedInFlight");
    }

    @Test
    public void a_lost_answer_is_settled_by_reading_before_anything_is_appended_again() {
        log.planNextAppends(AppendFault.RESPONSE_LOST);
        CompletableFuture<ClaimAnswer> answer = claim("a", "k");
        pass(20);
        log.startOutage(2_500);
        pass(6_000);
        assertEquals(kind(answer), "Granted");
        assertEquals(log.appends(), 1);
    }

    @Test
    public void a_key_that_is_repeated_right_after_its_answer_gets_that_answer() {
        claim("a", "k");
        pass(200);
        writer.record(new ClaimRecord.Settled("a", "k", Outcome.RAN, DONE));

        assertEquals(kind(claim("b", "k")), "Settled", "the settlement waits for its append");
    }

    @Test
    public void an_append_that_failed_is_repeated_and_its_late_landing_changes_nothing() {
        log.setLateMillis(5_000);
        log.planNextAppends(AppendFault.STORED_LATE);
        CompletableFuture<ClaimAnswer> answer = claim("a", "k");
        pass(2_500);
        assertEquals(kind(answer), "Granted");
        pass(4_000);
        assertEquals(log.end(STREAM), 2);
        assertEquals(kind(claim("b", "k")), "InFlight");
    }

    @Test
    public void claims_are_refused_while_the_log_is_down_and_accepted_afterwards() {
        log.startOutage(30_000);
        CompletableFuture<ClaimAnswer> early = claim("a", "k1");
        pass(11_000);
        assertTrue(((ClaimAnswer.Unavailable) early.getNow(null)).inDoubt());
        assertEquals(kind(claim("b", "k2")), "Unavailable", "refused at once, since the log does not answer");
        pass(25_000);
        CompletableFuture<ClaimAnswer> later = claim("c", "k2");
        pass(200);
        assertEquals(kind(later), "Granted");
    }

    @Test
    public void a_claim_that_landed_after_it_was_given_up_is_void() {
        log.setLateMillis(15_000);
        log.planNextAppends(AppendFault.STORED_LATE);
        claim("a", "k");
        pass(1_000);
        CompletableFuture<Boolean> note =
                writer.record(new ClaimRecord.Abandoned("a", "k")).toCompletableFuture();
        pass(20_000);
        assertTrue(note.getNow(false));
        CompletableFuture<ClaimAnswer> repeat = claim("b", "k");
        pass(200);
        assertEquals(kind(repeat), "Granted");
    }

    @Test
    public void a_settled_claim_is_answered_with_its_stored_answer_by_a_new_writer() {
        claim("a", "k");
        pass(200);
        writer.record(new ClaimRecord.Settled("a", "k", Outcome.RAN, DONE));
        pass(200);
        writer = newWriter(100);
        pass(200);
        assertEquals(((ClaimAnswer.Settled) claim("b", "k").getNow(null)).body(), DONE.body());
    }

    @Test
    public void a_writer_that_misses_dropped_records_refuses_until_they_are_too_old() {
        claim("a", "k");
        pass(200);
        log.dropBefore(STREAM, log.end(STREAM));
        writer = newWriter(100);
        pass(200);
        assertEquals(writer.status().readyInMillis(), KEEP_MILLIS - 180);
        assertEquals(kind(claim("b", "k")), "Unavailable");
        pass(KEEP_MILLIS);
        CompletableFuture<ClaimAnswer> later = claim("c", "k");
        pass(200);
        assertEquals(kind(later), "Granted");
    }

    @Test
    public void checkpoints_carry_young_claims_over_dropped_records() {
        claim("a", "k");
        pass(200);
        long lastClaim = log.end(STREAM);
        pass(KEEP_MILLIS / 2);
        log.dropBefore(STREAM, lastClaim);
        writer = newWriter(100);
        pass(200);
        assertTrue(writer.ready());
        assertEquals(kind(claim("b", "k")), "InFlight");
        List<ClaimRecord> records = log.claims(STREAM);
        assertTrue(records.stream().anyMatch(ClaimRecord.Checkpoint.class::isInstance));
    }

    @Test
    public void claims_beyond_the_bounds_are_refused_without_doubt() {
        writer = newWriter(2);
        pass(100);
        claim("a", "k1");
        claim("b", "k2");
        ClaimAnswer.Unavailable refused =
                (ClaimAnswer.Unavailable) claim("c", "k3").getNow(null);
        assertFalse(refused.inDoubt());
    }

    @Test
    public void appends_keep_to_their_interval() {
        for (int i = 0; i < 40; i++) {
            claim("c" + i, "k" + i);
            pass(10);
        }
        assertTrue(log.appends() <= 10, "400 ms at one append per 40 ms, but there were " + log.appends());
    }
}
