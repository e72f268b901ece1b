package org.agatehatch.daemon.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.RequestClass;
import org.agatehatch.api.routing.PromptBlocks;
import org.agatehatch.internal.process.CrashEvidence;
import org.agatehatch.internal.process.PoisonRequestTable.Verdict;
import org.agatehatch.internal.request.AttemptId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against prompt prefixes that crash engines in requests that are not alike, and against the refusal of sound ones. */
public final class SuspicionTrackerTest {
    private static final String BAD = "bad prefix. ".repeat(64);
    private static final String SOUND = "sound prefix. ".repeat(64);

    private final Random random = new Random(1);
    private long nowMillis;
    private SuspicionTracker tracker;

    @BeforeMethod
    public void create() {
        nowMillis = 1_000_000;
        tracker = newTracker();
    }

    private SuspicionTracker newTracker() {
        return new SuspicionTracker(() -> nowMillis * 1_000_000, prefix -> true);
    }

    private static BackendServer server(int index) {
        return new BackendServer("r" + index, "127.0.0.1:" + index, "d", "r", "p", "o", 1, 1, true);
    }

    private RequestContext request(String prefix) {
        String prompt = prefix + random.nextLong() + " " + "x".repeat(PromptBlocks.BLOCK_BYTES);
        return new RequestContext(
                "q",
                true,
                "m",
                "p",
                Optional.of("m"),
                Optional.empty(),
                "o",
                new RequestClass("class", 50, 1_000, 1_000, 60_000),
                PromptBlocks.hashes(prompt.getBytes(StandardCharsets.UTF_8)),
                prompt.length(),
                1,
                1,
                1,
                0,
                Long.MAX_VALUE,
                random.nextLong());
    }

    private AttemptId start(String prefix, BackendServer server) {
        AttemptId attempt = AttemptId.random(random);
        tracker.started(attempt, request(prefix), server);
        return attempt;
    }

    private void crash(int index) {
        BackendServer server = server(index);
        start(BAD, server);
        AttemptId streaming = start(SOUND, server);
        tracker.begun(streaming);
        nowMillis += 300;
        start(SOUND, server);
        tracker.crashed(server.name(), "e" + index);
        AttemptId answered = start(SOUND, server(9));
        nowMillis += 700;
        tracker.finished(answered, true);
    }

    private boolean isQuarantined(String prefix) {
        return tracker.check(request(prefix), "r1") instanceof Verdict.Quarantined;
    }

    @Test
    public void a_prefix_is_refused_after_three_crashes_and_sound_requests_on_the_same_engines_are_not() {
        crash(1);
        crash(2);
        assertFalse(isQuarantined(BAD));
        crash(3);
        assertTrue(isQuarantined(BAD));
        assertFalse(isQuarantined(SOUND));
    }

    @Test
    public void evidence_of_peers_counts() {
        crash(1);
        crash(2);
        long encodedMillis = nowMillis;
        CrashEvidence first = CrashEvidence.decode(
                tracker.recentEvidence(60_000).orElseThrow().encode());
        tracker = newTracker();
        crash(3);
        tracker.merge(first.olderBy(nowMillis - encodedMillis));
        assertTrue(isQuarantined(BAD));
    }

    @Test
    public void nothing_is_published_without_a_crash() {
        AttemptId answered = start(SOUND, server(1));
        tracker.finished(answered, true);
        assertEquals(tracker.recentEvidence(60_000), Optional.empty());
    }
}
