package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against poison requests that crash one server after another, and against the quarantine of requests that only ran
 * on a crashed server.
 */
public final class PoisonRequestDetectorTest {
    private static final long POISON = 1;
    private static final long INNOCENT = 2;

    private VirtualTime time;
    private PoisonRequestDetector detector;

    @BeforeMethod
    public void create() {
        time = new VirtualTime();
        detector = new PoisonRequestDetector(time, (strike, strikes, own) -> {});
    }

    private void crash(String process, long... running) {
        for (long fingerprint : running) {
            detector.connectionBroken(fingerprint, process);
        }
        detector.processDied(process);
    }

    @Test
    public void a_request_is_refused_after_the_second_crash() {
        crash("s1@1", POISON);
        assertFalse(detector.isQuarantined(POISON));
        crash("s2@1", POISON);
        assertTrue(detector.isQuarantined(POISON));
    }

    @Test
    public void a_crash_that_is_detected_before_the_broken_connection_counts() {
        detector.processDied("s1@1");
        detector.connectionBroken(POISON, "s1@1");
        crash("s2@1", POISON);
        assertTrue(detector.isQuarantined(POISON));
    }

    @Test
    public void broken_connections_to_live_servers_add_no_strikes() {
        for (int i = 0; i < 10; i++) {
            detector.connectionBroken(INNOCENT, "s" + i + "@1");
            time.advance(1_000);
        }
        time.advance(CrashCorrelator.CONFIRMATION_WINDOW_MILLIS);
        for (int i = 0; i < 10; i++) {
            detector.processDied("s" + i + "@1");
        }
        assertFalse(detector.isQuarantined(INNOCENT));
    }

    @Test
    public void one_crash_counts_once() {
        crash("s1@1", POISON, POISON, POISON);
        assertFalse(detector.isQuarantined(POISON));
    }

    @Test
    public void an_answer_clears_a_request_that_ran_beside_a_poison_request() {
        crash("s1@1", POISON, INNOCENT);
        detector.requestAnswered(INNOCENT);
        crash("s2@1", POISON, INNOCENT);
        assertTrue(detector.isQuarantined(POISON));
        assertFalse(detector.isQuarantined(INNOCENT));
    }

    @Test
    public void strikes_of_other_nodes_count() {
        crash("s1@1", POISON);
        PoisonRequestDetector otherNode = new PoisonRequestDetector(time, (strike, strikes, own) -> {});
        otherNode.connectionBroken(POISON, "s2@1");
        otherNode.processDied("s2@1");
        otherNode.merge(detector.strikes());
        assertTrue(otherNode.isQuarantined(POISON));
        assertEquals(otherNode.strikes().size(), 2);
    }

    @Test
    public void a_quarantine_ends_after_the_strike_ttl() {
        crash("s1@1", POISON);
        crash("s2@1", POISON);
        time.advance(PoisonRequestDetector.STRIKE_TTL_MILLIS);
        assertFalse(detector.isQuarantined(POISON));
    }
}
