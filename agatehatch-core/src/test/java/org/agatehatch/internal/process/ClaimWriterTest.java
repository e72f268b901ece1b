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

/**
 * Guards against claims that are granted before they were read back as the first of their key, and against a writer that
 * stops working after a fault of the log.
 */
public class ClaimWriterTest {
    private static final String STREAM = "claims-0";
    private static final long CLAIM_TTL_MILLIS = 80_000;
    private static final ClaimAnswer.Settled STORED_ANSWER =
            new ClaimAnswer.Settled(200, "text/plain", "d", new byte[] {1}, true);

    private VirtualTime time;
    private FaultyLog log;
    private ClaimWriter writer;

    @BeforeMethod
    public void create() {
        time = new VirtualTime();
        log = new FaultyLog(time);
        writer = newWriter(100);
        tickFor(100);
    }

    private ClaimWriter newWriter(int maxPending) {
        ClaimWriterSettings settings = new ClaimWriterSettings(
                40, CLAIM_TTL_MILLIS, CLAIM_TTL_MILLIS, 1_000, 2_000, maxPending, 50, 10_000, 1_000);
        return new ClaimWriter(0, log, time, new Random(5), (node, incarnation) -> true, Runnable::run, settings);
    }

    private void tickFor(long durationMillis) {
        tickFor(writer, durationMillis);
    }

    private void tickFor(ClaimWriter tickedWriter, long durationMillis) {
        for (long elapsedMillis = 0; elapsedMillis < durationMillis; elapsedMillis += 10) {
            tickedWriter.tick();
            time.advance(10);
        }
    }

    private static ClaimRequest request(String claimId, String scope) {
        return new ClaimRequest(claimId, scope, 7, "n1", "i1", 10_000);
    }

    private CompletableFuture<ClaimAnswer> claim(String claimId, String scope) {
        return writer.claim(request(claimId, scope)).toCompletableFuture();
    }

    private static String answerKind(CompletableFuture<ClaimAnswer> answer) {
        return answer.isDone() ? answer.getNow(null).getClass().getSimpleName() : "waiting";
    }

    @Test
    public void claims_of_one_interval_share_one_append_and_are_granted_after_it_is_read_back() {
        CompletableFuture<ClaimAnswer> first = claim("a", "k1");
        CompletableFuture<ClaimAnswer> second = claim("b", "k2");
        tickFor(20);
        assertEquals(log.end(STREAM), 1);
        assertEquals(answerKind(first), "waiting", "the append is stored but not read back yet");
        tickFor(100);
        assertEquals(answerKind(first) + answerKind(second), "GrantedGranted");
        assertEquals(log.appends(), 1);
    }

    /** Guards against a new writer that repeats the same read of a long stream, whose answer never arrives in time. */
    @Test
    public void a_new_writer_reads_a_long_stream_over_a_slow_connection() {
        byte[] record = ClaimRecordCodec.encode(List.of(new ClaimRecord.Abandoned("other", "k2")));
        for (int i = 0; i < 300; i++) {
            log.append(STREAM, record);
        }
        time.advance(1_000);
        log.setReadRate(record.length * 20);
        ClaimWriter newWriter = newWriter(100);
        tickFor(newWriter, 60_000);

        CompletableFuture<ClaimAnswer> answer =
                newWriter.claim(request("a", "k")).toCompletableFuture();
        tickFor(newWriter, 5_000);

        assertEquals(answerKind(answer), "Granted");
    }

    @Test
    public void of_two_writers_only_the_one_with_the_first_record_grants() {
        ClaimWriter secondWriter = newWriter(100);
        tickFor(secondWriter, 100);
        CompletableFuture<ClaimAnswer> first = claim("a", "k");
        CompletableFuture<ClaimAnswer> second =
                secondWriter.claim(request("b", "k")).toCompletableFuture();
        writer.tick();
        time.advance(5);
        tickFor(secondWriter, 200);
        tickFor(200);
        assertEquals(answerKind(first) + answerKind(second), "GrantedInFlight");
    }

    @Test
    public void a_lost_append_answer_is_resolved_by_reading_before_the_next_append() {
        log.planNextAppends(AppendFault.RESPONSE_LOST);
        CompletableFuture<ClaimAnswer> answer = claim("a", "k");
        tickFor(20);
        log.startOutage(2_500);
        tickFor(6_000);
        assertEquals(answerKind(answer), "Granted");
        assertEquals(log.appends(), 1);
    }

    @Test
    public void a_key_that_is_repeated_right_after_its_answer_gets_that_answer() {
        claim("a", "k");
        tickFor(200);
        writer.record(new ClaimRecord.Settled("a", "k", Outcome.RAN, STORED_ANSWER));

        assertEquals(answerKind(claim("b", "k")), "Settled", "the settlement is not in the log yet");
    }

    @Test
    public void a_failed_append_is_retried_and_its_late_effect_changes_nothing() {
        log.setLateMillis(5_000);
        log.planNextAppends(AppendFault.STORED_LATE);
        CompletableFuture<ClaimAnswer> answer = claim("a", "k");
        tickFor(2_500);
        assertEquals(answerKind(answer), "Granted");
        tickFor(4_000);
        assertEquals(log.end(STREAM), 2);
        assertEquals(answerKind(claim("b", "k")), "InFlight");
    }

    @Test
    public void claims_are_refused_while_the_log_is_down_and_accepted_afterwards() {
        log.startOutage(30_000);
        CompletableFuture<ClaimAnswer> early = claim("a", "k1");
        tickFor(11_000);
        assertTrue(((ClaimAnswer.Unavailable) early.getNow(null)).inDoubt());
        assertEquals(
                answerKind(claim("b", "k2")), "Unavailable", "refused immediately because the log does not answer");
        tickFor(25_000);
        CompletableFuture<ClaimAnswer> later = claim("c", "k2");
        tickFor(200);
        assertEquals(answerKind(later), "Granted");
    }

    @Test
    public void a_claim_that_reaches_the_log_after_it_was_abandoned_does_not_hold_its_key() {
        log.setLateMillis(15_000);
        log.planNextAppends(AppendFault.STORED_LATE);
        claim("a", "k");
        tickFor(1_000);
        CompletableFuture<Boolean> abandonment =
                writer.record(new ClaimRecord.Abandoned("a", "k")).toCompletableFuture();
        tickFor(20_000);
        assertTrue(abandonment.getNow(false));
        CompletableFuture<ClaimAnswer> repeated = claim("b", "k");
        tickFor(200);
        assertEquals(answerKind(repeated), "Granted");
    }

    @Test
    public void a_settled_claim_is_answered_with_its_stored_answer_by_a_new_writer() {
        claim("a", "k");
        tickFor(200);
        writer.record(new ClaimRecord.Settled("a", "k", Outcome.RAN, STORED_ANSWER));
        tickFor(200);
        writer = newWriter(100);
        tickFor(200);
        assertEquals(((ClaimAnswer.Settled) claim("b", "k").getNow(null)).body(), STORED_ANSWER.body());
    }

    @Test
    public void a_writer_that_missed_dropped_records_refuses_claims_until_those_have_expired() {
        claim("a", "k");
        tickFor(200);
        log.dropBefore(STREAM, log.end(STREAM));
        writer = newWriter(100);
        tickFor(200);
        assertEquals(writer.status().readyInMillis(), CLAIM_TTL_MILLIS - 180);
        assertEquals(answerKind(claim("b", "k")), "Unavailable");
        tickFor(CLAIM_TTL_MILLIS);
        CompletableFuture<ClaimAnswer> later = claim("c", "k");
        tickFor(200);
        assertEquals(answerKind(later), "Granted");
    }

    @Test
    public void checkpoints_preserve_unexpired_claims_whose_records_the_log_dropped() {
        claim("a", "k");
        tickFor(200);
        long lastClaim = log.end(STREAM);
        tickFor(CLAIM_TTL_MILLIS / 2);
        log.dropBefore(STREAM, lastClaim);
        writer = newWriter(100);
        tickFor(200);
        assertTrue(writer.ready());
        assertEquals(answerKind(claim("b", "k")), "InFlight");
        List<ClaimRecord> records = log.claims(STREAM);
        assertTrue(records.stream().anyMatch(ClaimRecord.Checkpoint.class::isInstance));
    }

    @Test
    public void claims_over_the_pending_limit_are_refused_and_not_in_doubt() {
        writer = newWriter(2);
        tickFor(100);
        claim("a", "k1");
        claim("b", "k2");
        ClaimAnswer.Unavailable refused =
                (ClaimAnswer.Unavailable) claim("c", "k3").getNow(null);
        assertFalse(refused.inDoubt());
    }

    @Test
    public void at_most_one_append_is_sent_per_interval() {
        for (int i = 0; i < 40; i++) {
            claim("c" + i, "k" + i);
            tickFor(10);
        }
        assertTrue(log.appends() <= 10, "400 ms at one append per 40 ms, but there were " + log.appends());
    }
}
