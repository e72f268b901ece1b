package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import org.agatehatch.api.log.LogStreams;
import org.agatehatch.internal.process.FaultyLog.AppendFault;
import org.testng.annotations.Test;

/**
 * Guards against usage that is lost or counted twice when records are merged repeatedly, appends fail or the log drops
 * records.
 */
public class AccountLedgerTest {
    private static final AccountCounters ONE_REQUEST = new AccountCounters(1, 10, 5, 40, 40);

    private static AccountRecord record(String incarnation, long sequence, boolean last, long requests) {
        return new AccountRecord(
                "n1", incarnation, sequence, last, Map.of("almaty", new AccountCounters(requests, 0, 0, 0, 0)));
    }

    private static AccountLogTailer startTailer(FaultyLog log, VirtualTime time, boolean holdsLease) {
        AccountLogTailer startTailer = new AccountLogTailer(log, time, () -> holdsLease, Runnable::run, 40_000, 1_000);
        tickSeconds(startTailer, time, 5);
        return startTailer;
    }

    private static void tickSeconds(AccountLogTailer startTailer, VirtualTime time, int seconds) {
        for (int second = 0; second < seconds; second++) {
            startTailer.tick();
            time.advance(1_000);
        }
    }

    @Test
    public void totals_do_not_depend_on_order_or_repetition() {
        List<AccountRecord> records = List.of(
                record("i1", 1, false, 3),
                record("i1", 2, false, 5),
                record("i1", 7, false, 9),
                record("i2", 1, false, 4));
        Random random = new Random(1);
        for (int round = 0; round < 50; round++) {
            AccountLedger ledger = new AccountLedger();
            List<AccountRecord> shuffled = new ArrayList<>(records);
            shuffled.addAll(records);
            Collections.shuffle(shuffled, random);
            shuffled.forEach(ledger::merge);
            assertEquals(ledger.totals().get("almaty").requests(), 13);
        }
    }

    @Test
    public void incarnations_that_ended_without_a_last_record_are_reported_as_gaps() {
        AccountLedger ledger = new AccountLedger();
        ledger.merge(record("stopped", 4, true, 1));
        ledger.merge(record("died", 5, false, 1));
        ledger.merge(record("lives", 6, false, 1));
        assertEquals(
                ledger.gaps((node, incarnation) -> incarnation.equals("lives")),
                List.of(new AccountLedger.Gap("n1", "died", 5)));
    }

    /** Guards against accounts that stay incomplete because the same read is repeated, whose answer never arrives in time. */
    @Test
    public void a_long_stream_is_read_over_a_slow_connection() {
        VirtualTime time = new VirtualTime();
        FaultyLog log = new FaultyLog(time);
        int recordBytes = 0;
        for (int sequence = 1; sequence <= 300; sequence++) {
            byte[] encoded = AccountRecordCodec.encode(List.of(record("i1", sequence, false, sequence)));
            recordBytes = Math.max(recordBytes, encoded.length);
            log.append(LogStreams.ACCOUNTS, encoded);
        }
        time.advance(1_000);
        log.setReadRate(recordBytes * 20);

        AccountLogTailer tailer = startTailer(log, time, false);
        tickSeconds(tailer, time, 60);

        assertEquals(tailer.ledger().totals().get("almaty").requests(), 300);
    }

    /** Guards against a scan that gives up, or ends early, although smaller pages get through. */
    @Test
    public void a_scan_over_a_slow_connection_reaches_the_end_and_fails_while_the_log_is_down() {
        VirtualTime time = new VirtualTime();
        FaultyLog log = new FaultyLog(time);
        for (int i = 0; i < 300; i++) {
            log.append(LogStreams.ACCOUNTS, new byte[1_000]);
        }
        time.advance(1_000);
        log.setReadRate(20_000);
        List<Long> offsets = new ArrayList<>();
        CompletableFuture<Void> scan = LogScan.toEnd(
                        log, LogStreams.ACCOUNTS, 0, record -> offsets.add(record.offset()))
                .toCompletableFuture();
        time.advance(60_000);
        assertTrue(scan.isDone() && !scan.isCompletedExceptionally());
        assertEquals(offsets, LongStream.range(0, 300).boxed().toList());

        log.startOutage(60_000);
        CompletableFuture<Void> failed =
                LogScan.toEnd(log, LogStreams.ACCOUNTS, 0, record -> {}).toCompletableFuture();
        time.advance(2_500);
        assertTrue(failed.isCompletedExceptionally());
    }

    @Test
    public void the_lease_holder_appends_account_records_again_before_the_log_drops_them() {
        VirtualTime time = new VirtualTime();
        FaultyLog log = new FaultyLog(time);
        for (long incarnation = 0; incarnation < 100; incarnation++) {
            log.append(
                    LogStreams.ACCOUNTS,
                    AccountRecordCodec.encode(List.of(record("i" + incarnation, 1, false, incarnation))));
        }
        AccountLogTailer leaseHolder = startTailer(log, time, true);
        log.planNextAppends(AppendFault.REFUSED, AppendFault.RESPONSE_LOST);
        tickSeconds(leaseHolder, time, 13);
        log.dropBefore(LogStreams.ACCOUNTS, 100);
        AccountLogTailer newTailer = startTailer(log, time, false);
        assertEquals(newTailer.ledger().totals(), leaseHolder.ledger().totals());
        assertEquals(newTailer.ledger().totals().get("almaty").requests(), 4_950);
        assertEquals(newTailer.droppedRecords(), 100);
    }

    @Test
    public void a_reporter_neither_loses_nor_double_counts_usage_after_lost_late_and_failed_appends() {
        VirtualTime time = new VirtualTime();
        FaultyLog log = new FaultyLog(time);
        AccountReporter reporter = new AccountReporter("n1", "i1", log, time, Runnable::run);
        log.planNextAppends(
                AppendFault.RESPONSE_LOST, AppendFault.STORED_LATE, AppendFault.STORED_TWICE, AppendFault.REFUSED);
        log.setLateMillis(70_000);
        for (int second = 0; second < 300; second++) {
            reporter.count("almaty", ONE_REQUEST);
            reporter.tick();
            time.advance(1_000);
            if (second == 170) {
                log.startOutage(40_000);
            }
        }
        reporter.stop();
        time.advance(3_000);
        AccountLedger ledger = startTailer(log, time, false).ledger();
        assertEquals(ledger.totals().get("almaty"), new AccountCounters(300, 3_000, 1_500, 12_000, 12_000));
        assertEquals(ledger.gaps((node, incarnation) -> false), List.of());
    }

    @Test
    public void an_idle_reporter_appends_nothing_and_a_failed_append_is_retried() {
        VirtualTime time = new VirtualTime();
        FaultyLog log = new FaultyLog(time);
        AccountReporter reporter = new AccountReporter("n1", "i1", log, time, Runnable::run);
        time.advance(60_000);
        reporter.tick();
        assertEquals(log.appends(), 0);
        reporter.count("almaty", ONE_REQUEST);
        log.planNextAppends(AppendFault.REFUSED);
        for (int second = 0; second < 70; second++) {
            reporter.tick();
            time.advance(1_000);
        }
        assertEquals(startTailer(log, time, false).ledger().totals().get("almaty"), ONE_REQUEST);
        assertTrue(log.appends() <= 3, "one append per 30 s, but there were " + log.appends());
    }
}
