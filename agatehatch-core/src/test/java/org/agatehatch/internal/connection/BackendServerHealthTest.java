package org.agatehatch.internal.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.agatehatch.internal.time.VirtualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class BackendServerHealthTest {
    private static final List<String> POOL = List.of("a", "b", "c", "d");

    private VirtualClock clock;
    private BackendServerHealth health;

    @BeforeMethod
    public void create_health() {
        clock = new VirtualClock();
        health = new BackendServerHealth(EjectionPolicy.DEFAULT, clock, () -> 0.5);
        health.setServers(POOL);
    }

    @DataProvider
    public Object[][] sources() {
        return new Object[][] {{LeavingSource.VM_LIST}, {LeavingSource.SERVER}, {LeavingSource.DRAIN}};
    }

    @Test(dataProvider = "sources")
    public void a_leaving_server_becomes_unavailable_immediately(LeavingSource source) {
        health.setLeaving("a", source, true);
        assertEquals(availableServers(), List.of("b", "c", "d"));
        assertFalse(health.tryStart("a"));
        health.setLeaving("a", source, false);
        assertEquals(availableServers(), POOL);
    }

    @Test
    public void a_leaving_server_stays_unavailable_while_any_source_reports_it() {
        health.setLeaving("a", LeavingSource.VM_LIST, true);
        health.setLeaving("a", LeavingSource.DRAIN, true);
        health.setLeaving("a", LeavingSource.VM_LIST, false);
        assertFalse(health.isAvailable("a"));
    }

    @Test
    public void consecutive_failures_eject_a_server() {
        recordFailures("a", 2);
        health.recordSuccess("a", 10);
        recordFailures("a", 2);
        assertTrue(health.isAvailable("a"), "a success resets the failure count");
        recordFailures("a", 1);
        assertFalse(health.isAvailable("a"));
    }

    @Test
    public void the_ejection_time_doubles_with_each_ejection_and_has_jitter() {
        recordFailures("a", 3);
        assertEquals(millisUntilAvailable("a"), 1_100);
        recordFailures("a", 1);
        assertEquals(millisUntilAvailable("a"), 2_200);
        recordFailures("a", 1);
        assertEquals(millisUntilAvailable("a"), 4_400);
    }

    @Test
    public void a_server_is_reinstated_by_probes_sent_one_at_a_time() {
        recordFailures("a", 3);
        clock.advanceMillis(1_100);
        assertTrue(health.tryStart("a"));
        assertFalse(health.isAvailable("a"), "the first probe is in flight");
        assertFalse(health.tryStart("a"));
        health.recordSuccess("a", 10);
        assertTrue(health.tryStart("a"));
        health.recordSuccess("a", 10);
        assertTrue(health.tryStart("a"));
        assertTrue(health.tryStart("a"));
    }

    @Test
    public void a_probe_without_a_result_blocks_only_until_its_timeout() {
        recordFailures("a", 3);
        clock.advanceMillis(1_100);
        assertTrue(health.tryStart("a"));
        clock.advanceMillis(EjectionPolicy.DEFAULT.probeTimeoutMillis());
        assertTrue(health.tryStart("a"));
    }

    @Test
    public void a_late_answer_does_not_end_an_ejection() {
        recordFailures("a", 3);
        health.recordSuccess("a", 10);
        health.recordSuccess("a", 10);
        assertFalse(health.isAvailable("a"));
    }

    @Test
    public void a_latency_outlier_is_ejected() {
        recordAnswers(20, "a", 500);
        assertTrue(health.isAvailable("a"), "no other server has latency samples to compare with");
        recordAnswers(20, "b", 20);
        recordAnswers(20, "c", 20);
        recordAnswers(1, "a", 500);
        assertEquals(availableServers(), List.of("b", "c", "d"));
    }

    @Test
    public void latency_alone_never_ejects_more_than_half_of_a_pool() {
        recordAnswers(20, "a", 20);
        recordAnswers(20, "b", 20);
        recordAnswers(20, "c", 20);
        recordAnswers(20, "d", 20);
        recordFailures("a", 3);
        recordFailures("b", 3);
        recordAnswers(60, "d", 5_000);
        assertEquals(availableServers(), List.of("c", "d"));
        assertFalse(health.panicMode());
    }

    @Test
    public void ejections_are_ignored_in_panic_mode() {
        recordFailures("a", 3);
        recordFailures("b", 3);
        assertEquals(availableServers(), List.of("c", "d"));
        health.setLeaving("d", LeavingSource.VM_LIST, true);
        assertTrue(health.panicMode());
        assertEquals(availableServers(), List.of("a", "b", "c"), "a leaving server stays unavailable in panic mode");
    }

    @Test
    public void the_ejection_time_is_reset_after_a_healthy_period() {
        recordFailures("a", 3);
        assertEquals(millisUntilAvailable("a"), 1_100);
        recordAnswers(2, "a", 10);
        clock.advanceMillis(61_000);
        health.recordSuccess("a", 10);
        recordFailures("a", 3);
        assertEquals(millisUntilAvailable("a"), 1_100);
    }

    private void recordFailures(String server, int times) {
        for (int i = 0; i < times; i++) {
            health.recordFailure(server);
        }
    }

    private void recordAnswers(int times, String server, double latencyMillis) {
        for (int i = 0; i < times; i++) {
            health.recordSuccess(server, latencyMillis);
        }
    }

    private long millisUntilAvailable(String server) {
        long millis = 0;
        while (!health.isAvailable(server)) {
            clock.advanceMillis(1);
            millis++;
        }
        return millis;
    }

    private List<String> availableServers() {
        List<String> available = new ArrayList<>();
        for (String server : POOL) {
            if (health.isAvailable(server)) {
                available.add(server);
            }
        }
        return available;
    }
}
