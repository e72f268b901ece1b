package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.agatehatch.internal.process.PoisonRequestTable.Verdict;
import org.agatehatch.internal.request.AttemptId;
import org.testng.annotations.Test;

/**
 * Guards against poison requests that crash one backend server after another, and against other requests that stay
 * quarantined.
 */
public class PoisonRequestTableTest {
    private static final long POISON = 1;
    private static final long INNOCENT = 2;

    private int attempts;

    private AttemptId startAttempt(PoisonRequestTable table, long fingerprint, String server) {
        AttemptId attempt = new AttemptId(0, attempts++);
        table.started(attempt, fingerprint, server);
        return attempt;
    }

    private static String verdict(PoisonRequestTable table, long fingerprint, String server, long nowMillis) {
        return table.check(fingerprint, server, nowMillis).getClass().getSimpleName();
    }

    @Test
    public void a_poison_request_repeated_over_all_nodes_crashes_only_two_servers() {
        List<PoisonRequestTable> nodes =
                List.of(new PoisonRequestTable(), new PoisonRequestTable(), new PoisonRequestTable());
        List<String> crashedServers = new ArrayList<>();
        for (int repeat = 0; repeat < 10; repeat++) {
            long nowMillis = 3_000L * repeat;
            PoisonRequestTable node = nodes.get(repeat % nodes.size());
            Verdict verdict = node.check(POISON, "b" + repeat, nowMillis);
            if (verdict instanceof Verdict.Quarantined) {
                continue;
            }
            startAttempt(node, POISON, "b" + repeat);
            crashedServers.add("b" + repeat);
            for (CrashReport report : node.crashed("b" + repeat, "e1", nowMillis)) {
                nodes.forEach(other -> other.merge(report, nowMillis));
                nodes.forEach(other -> other.merge(report, nowMillis));
            }
        }
        assertEquals(crashedServers, List.of("b0", "b1"));
    }

    @Test
    public void an_innocent_request_is_cleared_by_its_trial_even_if_its_strike_arrives_again() {
        PoisonRequestTable table = new PoisonRequestTable();
        startAttempt(table, POISON, "b1");
        startAttempt(table, INNOCENT, "b1");
        List<CrashReport> reports = table.crashed("b1", "e1", 0);
        assertEquals(reports.size(), 2);
        assertEquals(verdict(table, INNOCENT, "b2", 100), "Trial");
        table.finished(startAttempt(table, INNOCENT, "b2"), true);
        reports.forEach(report -> table.merge(report, 200));
        assertEquals(verdict(table, INNOCENT, "b2", 300), "Allowed");
        assertEquals(verdict(table, POISON, "b2", 300), "Trial");
    }

    @Test
    public void a_trial_runs_alone_among_suspects_and_once_at_a_time() {
        PoisonRequestTable table = new PoisonRequestTable();
        startAttempt(table, POISON, "b1");
        startAttempt(table, INNOCENT, "b1");
        table.crashed("b1", "e1", 0);
        startAttempt(table, INNOCENT, "b2");
        assertEquals(verdict(table, POISON, "b2", 10), "Busy");
        assertEquals(verdict(table, POISON, "b3", 10), "Trial");
        assertEquals(verdict(table, INNOCENT, "b3", 10), "Busy");
    }

    @Test
    public void one_strike_expires_after_one_minute_and_a_quarantine_after_thirty() {
        PoisonRequestTable table = new PoisonRequestTable();
        table.merge(new PoisonRequestTable.AgedCrashReport(new CrashReport(POISON, "b1", "e1"), 10_000, false), 0);
        assertEquals(verdict(table, POISON, "b2", 49_999), "Trial");
        assertEquals(verdict(table, POISON, "b2", 50_000), "Allowed");
        table.merge(new CrashReport(INNOCENT, "b1", "e1"), 50_000);
        table.merge(new CrashReport(INNOCENT, "b2", "e1"), 60_000);
        long endMillis = 60_000 + PoisonRequestTable.QUARANTINE_MILLIS;
        assertEquals(table.check(INNOCENT, "b3", endMillis - 1), new Verdict.Quarantined(1));
        assertEquals(verdict(table, INNOCENT, "b3", endMillis), "Allowed");
    }

    @Test
    public void a_new_node_learns_a_quarantine_from_a_peer_and_ends_it_when_the_peer_does() {
        PoisonRequestTable peer = new PoisonRequestTable();
        peer.merge(new CrashReport(POISON, "b1", "e1"), 0);
        peer.merge(new CrashReport(POISON, "b2", "e1"), 1_000);
        PoisonRequestTable newNode = new PoisonRequestTable();
        peer.strikes(600_000).forEach(strike -> newNode.merge(strike, 600_000));
        assertEquals(verdict(newNode, POISON, "b3", 1_800_999), "Quarantined");
        assertEquals(verdict(newNode, POISON, "b3", 1_801_000), "Allowed");
        assertTrue(newNode.strikes(1_801_000).isEmpty());
        PoisonRequestTable nodeWithClearedRequest = new PoisonRequestTable();
        nodeWithClearedRequest.merge(new CrashReport(POISON, "b1", "e1"), 0);
        nodeWithClearedRequest.finished(startAttempt(nodeWithClearedRequest, POISON, "b9"), true);
        peer.strikes(2_000).forEach(strike -> nodeWithClearedRequest.merge(strike, 2_000));
        assertEquals(verdict(nodeWithClearedRequest, POISON, "b3", 2_000), "Quarantined");
    }

    @Test
    public void a_failed_attempt_without_a_process_death_neither_adds_nor_clears_strikes() {
        PoisonRequestTable table = new PoisonRequestTable();
        table.merge(new CrashReport(POISON, "b1", "e1"), 0);
        table.finished(startAttempt(table, POISON, "b2"), false);
        assertEquals(verdict(table, POISON, "b2", 10), "Trial");
        assertTrue(table.crashed("b2", "e1", 20).isEmpty());
    }
}
