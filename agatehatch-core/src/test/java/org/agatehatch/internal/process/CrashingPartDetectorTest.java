package org.agatehatch.internal.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.agatehatch.api.fleet.GenerationRequest;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.fleet.PromptPart;
import org.agatehatch.api.fleet.ServerEntry;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against prompt parts that crash one server after another, and against the quarantine of sound parts. */
public final class CrashingPartDetectorTest {
    private static final String BAD = "bad";
    private static final long BETWEEN_CRASHES_MILLIS = 1_000;

    private VirtualTime time;
    private RecordedVerdicts verdicts;
    private CrashingPartDetector detector;
    private boolean ownsTrials;

    @BeforeMethod
    public void create() {
        time = new VirtualTime();
        time.advance(1_000_000);
        verdicts = new RecordedVerdicts();
        ownsTrials = true;
        detector = newDetector();
    }

    private CrashingPartDetector newDetector() {
        return new CrashingPartDetector(time, part -> ownsTrials, verdicts);
    }

    private static List<String> prompt(String... parts) {
        return List.of(parts);
    }

    private static ServerEntry server(int host, int start) {
        PeerAddress address = new PeerAddress("10.0.0." + host, 80);
        return new ServerEntry("s" + host, "svc", address, "d", 8, false, start, "v1", List.of(), Set.of());
    }

    private void broken(List<String> parts, ServerEntry server) {
        detector.connectionBroken(parts, server.processKey(), server.address().toString());
    }

    @SafeVarargs
    private void crash(ServerEntry server, List<String>... inFlight) {
        for (List<String> parts : inFlight) {
            broken(parts, server);
        }
        detector.processDied(server.processKey());
        time.advance(BETWEEN_CRASHES_MILLIS);
    }

    private void answer(String... parts) {
        detector.answerSurvived(List.of(parts), time.millis());
    }

    private boolean isBlocked(String... parts) {
        return detector.blockingPart(List.of(parts)).isPresent();
    }

    private void quarantineBadPart() {
        for (int host = 1; host <= CrashingPartDetector.QUARANTINE_CRASHES; host++) {
            crash(server(host, 1), prompt("f", BAD));
            answer("f", "other");
        }
        assertTrue(isBlocked("f", BAD));
    }

    @Test
    public void a_part_is_refused_after_crashes_of_three_servers_though_no_two_requests_are_alike() {
        crash(server(1, 1), prompt("f", BAD));
        answer("f", "other");
        crash(server(2, 1), prompt("f", BAD));
        answer("f", "other");
        assertFalse(isBlocked("f", BAD));
        crash(server(3, 1), prompt("f", BAD));
        answer("f", "other");
        assertTrue(isBlocked("f", BAD));
        assertFalse(isBlocked("f", "other"));
    }

    // Guards against the refusal of a first part that nearly all requests share.
    @Test
    public void a_part_is_not_blamed_for_crashes_that_a_later_part_explains() {
        answer("x", "y");
        for (int host = 1; host <= 4; host++) {
            crash(server(host, 1), prompt("f", BAD), prompt("f", "s" + host));
        }
        answer("x", "y");
        assertEquals(detector.quarantinedParts(), Set.of(BAD));
    }

    @Test
    public void a_first_part_is_blamed_if_the_crashes_have_only_it_in_common() {
        for (int host = 1; host <= 3; host++) {
            crash(server(host, 1), prompt(BAD, "s" + host));
        }
        answer("f", "other");
        assertEquals(detector.quarantinedParts(), Set.of(BAD));
    }

    // Guards against a part that happened to be on two crashed servers twice and hides the first part behind it.
    @Test
    public void a_first_part_is_blamed_although_a_later_part_was_in_half_of_its_crashes() {
        for (int host = 1; host <= 6; host++) {
            crash(server(host, 1), prompt(BAD, host <= 3 ? "s" : "s" + host));
        }
        answer("f", "other");
        assertEquals(detector.quarantinedParts(), Set.of(BAD));
    }

    @Test
    public void an_answer_that_survives_clears_its_parts_of_earlier_crashes() {
        for (int host = 1; host <= 6; host++) {
            crash(server(host, 1), prompt("f", "s"));
            answer("f", "s");
        }
        assertEquals(detector.quarantinedParts(), Set.of());
    }

    @Test
    public void an_answer_that_began_before_a_crash_does_not_clear_its_parts_of_the_crash() {
        long begunMillis = time.millis();
        time.advance(100);
        quarantineBadPart();
        detector.answerSurvived(List.of(BAD), begunMillis);
        assertTrue(isBlocked(BAD));
    }

    // Guards against the blame of popular parts when a fault takes many servers at once.
    @Test
    public void crashes_at_the_same_time_count_as_one() {
        for (int host = 1; host <= 8; host++) {
            broken(prompt("f", "s"), server(host, 1));
            detector.processDied(server(host, 1).processKey());
            time.advance(10);
        }
        answer("x", "y");
        assertEquals(detector.quarantinedParts(), Set.of());
    }

    // Guards against refusals on top of an outage of all servers.
    @Test
    public void nothing_is_blamed_while_no_other_request_is_known_to_be_answered() {
        for (int host = 1; host <= 6; host++) {
            crash(server(host, 1), prompt("f", BAD));
        }
        assertEquals(detector.quarantinedParts(), Set.of());
        answer("f", "other");
        assertEquals(detector.quarantinedParts(), Set.of(BAD));
    }

    // Guards against the blame of parts whose requests all go to a server that is broken.
    @Test
    public void crashes_of_one_server_alone_weigh_less_than_those_of_several() {
        for (int start = 1; start <= 4; start++) {
            crash(server(1, start), prompt("f", "s"));
            answer("f", "other");
        }
        assertFalse(isBlocked("s"));
        crash(server(1, 5), prompt("f", "s"));
        answer("f", "other");
        assertTrue(isBlocked("s"));
    }

    @Test
    public void parts_that_shared_all_crashes_are_told_apart_by_the_next_one() {
        for (int host = 1; host <= 3; host++) {
            crash(server(host, 1), prompt("f", BAD), prompt("f", "unlucky"));
            answer("f", "other");
        }
        assertEquals(detector.quarantinedParts(), Set.of());
        crash(server(4, 1), prompt("f", BAD));
        answer("f", "other");
        assertEquals(detector.quarantinedParts(), Set.of(BAD));
    }

    // Guards against a verdict that lapses because popular parts were in an unrelated crash too.
    @Test
    public void a_verdict_outlasts_crashes_that_other_parts_share() {
        for (int host = 1; host <= 3; host++) {
            crash(server(host, 1), prompt("f", BAD), prompt("g" + host, "s" + host));
            answer("f", "other");
        }
        for (int host = 4; host <= 8; host++) {
            crash(server(host, 1), prompt("g1", "t"), prompt("g2", "t"));
            assertTrue(isBlocked(BAD));
        }
    }

    // Guards against the quarantine of a sound part that never ends, since no request could clear it.
    @Test
    public void one_request_is_tried_after_a_while_and_ends_a_wrong_verdict() {
        quarantineBadPart();
        time.advance(CrashingPartDetector.FIRST_TRIAL_MILLIS);
        assertFalse(isBlocked("f", BAD));
        assertTrue(isBlocked("f", BAD), "a second request beside the trial");
        answer("f", BAD);
        assertFalse(isBlocked("f", BAD));
        assertEquals(verdicts.released, List.of(BAD));
    }

    @Test
    public void a_crash_in_a_trial_doubles_the_time_until_the_next() {
        quarantineBadPart();
        time.advance(CrashingPartDetector.FIRST_TRIAL_MILLIS);
        assertFalse(isBlocked(BAD));
        crash(server(5, 1), prompt("f", BAD));
        time.advance(2 * CrashingPartDetector.FIRST_TRIAL_MILLIS - 2 * BETWEEN_CRASHES_MILLIS);
        assertTrue(isBlocked(BAD));
        time.advance(2 * BETWEEN_CRASHES_MILLIS);
        assertFalse(isBlocked(BAD));
    }

    @Test
    public void a_trial_without_a_result_is_repeated() {
        quarantineBadPart();
        time.advance(CrashingPartDetector.FIRST_TRIAL_MILLIS);
        assertFalse(isBlocked(BAD));
        time.advance(CrashingPartDetector.TRIAL_TIMEOUT_MILLIS);
        assertFalse(isBlocked(BAD));
    }

    @Test
    public void only_the_node_that_owns_a_parts_trials_sends_one() {
        quarantineBadPart();
        ownsTrials = false;
        time.advance(2 * CrashingPartDetector.FIRST_TRIAL_MILLIS);
        assertTrue(isBlocked(BAD));
    }

    @Test
    public void a_verdict_ends_with_its_evidence() {
        quarantineBadPart();
        ownsTrials = false;
        time.advance(CrashingPartDetector.QUARANTINE_TTL_MILLIS);
        assertFalse(isBlocked(BAD));
        assertTrue(detector.isEmpty());
    }

    @Test
    public void nodes_that_saw_one_crash_each_reach_the_verdict_together() {
        List<CrashingPartDetector> nodes = new ArrayList<>();
        for (int host = 1; host <= 3; host++) {
            detector = newDetector();
            nodes.add(detector);
            crash(server(host, 1), prompt("f", BAD));
            answer("f", "other");
        }
        for (int round = 0; round < 2; round++) {
            for (CrashingPartDetector from : nodes) {
                CrashEvidence sent = CrashEvidence.decode(from.evidence().encode(CrashEvidence.FULL_EXCHANGE_TYPE));
                nodes.forEach(to -> to.merge(sent));
            }
        }
        nodes.forEach(node -> assertEquals(node.quarantinedParts(), Set.of(BAD)));
    }

    @Test
    public void a_peers_proof_clears_a_part() {
        CrashingPartDetector peer = newDetector();
        quarantineBadPart();
        peer.merge(detector.evidence());
        peer.answerSurvived(List.of(BAD), time.millis());
        detector.merge(peer.evidence());
        assertFalse(isBlocked(BAD));
    }

    @Test
    public void merging_the_same_evidence_again_changes_nothing() {
        quarantineBadPart();
        time.advance(10_000);
        detector.merge(detector.evidence());
        assertEquals(detector.evidence().crashes().size(), CrashingPartDetector.QUARANTINE_CRASHES);
        assertTrue(detector.sinceChangeMillis() >= 10_000);
    }

    // Guards against memory and messages that grow with crashes that have nothing to do with requests.
    @Test
    public void requests_of_which_all_parts_are_cleared_are_removed_from_a_crash() {
        crash(server(1, 1), prompt("f", "s"), prompt("f", "t"));
        answer("f", "s");
        assertEquals(detector.evidence().crashes().get(0).prompts(), Set.of(prompt("f", "t")));
        answer("f", "t");
        assertEquals(detector.evidence().crashes().get(0).prompts(), Set.of());
    }

    // Guards against a proof that moves past later crashes while nodes pass it on, because each message takes time.
    @Test
    public void a_proof_that_is_passed_on_again_and_again_clears_no_later_crash() {
        CrashingPartDetector peer = newDetector();
        crash(server(9, 1), prompt("f", BAD));
        answer("f", BAD);
        for (int host = 1; host <= CrashingPartDetector.RECENTLY_SOUND_CRASHES; host++) {
            crash(server(host, 1), prompt("f", BAD));
            answer("f", "other");
        }
        for (int exchange = 0; exchange < 200; exchange++) {
            CrashEvidence sent = detector.evidence();
            time.advance(50);
            peer.merge(sent);
            CrashEvidence returned = peer.evidence();
            time.advance(50);
            detector.merge(returned);
        }
        assertTrue(isBlocked(BAD));
    }

    @Test
    public void a_crash_without_a_verdict_is_forgotten_soon() {
        crash(server(1, 1), prompt("f", "s"));
        time.advance(CrashingPartDetector.SUSPICION_TTL_MILLIS);
        assertTrue(detector.evidence().crashes().isEmpty());
    }

    @Test
    public void recent_evidence_leaves_out_what_peers_have_been_told() {
        crash(server(1, 1), prompt("f", "s"));
        time.advance(5_000);
        crash(server(2, 1), prompt("g", "t"));
        assertEquals(detector.recentEvidence(3_000).crashes().size(), 1);
        assertEquals(detector.evidence().crashes().size(), 2);
    }

    @Test
    public void the_evidence_is_bounded() {
        for (int crashed = 0; crashed < 3 * CrashingPartDetector.MAX_CRASHES; crashed++) {
            for (int request = 0; request < 2 * CrashingPartDetector.MAX_PROMPTS_PER_CRASH; request++) {
                broken(prompt("f" + request, "s" + request), server(crashed, 1));
            }
            detector.processDied(server(crashed, 1).processKey());
        }
        List<CrashEvidence.Crash> kept = detector.evidence().crashes();
        assertEquals(kept.size(), CrashingPartDetector.MAX_CRASHES);
        kept.forEach(crash -> assertTrue(crash.prompts().size() <= CrashingPartDetector.MAX_PROMPTS_PER_CRASH));
    }

    // Guards against a message that links reject, because callers choose the parts of prompts and their names.
    @Test
    public void evidence_of_prompts_of_any_size_fits_into_a_message() {
        List<PromptPart> parts = new ArrayList<>();
        for (int i = 0; i < 6_000; i++) {
            parts.add(new PromptPart("p".repeat(i % 200) + i, 1));
        }
        for (int crashed = 0; crashed < CrashingPartDetector.MAX_CRASHES; crashed++) {
            for (int request = 0; request < CrashingPartDetector.MAX_PROMPTS_PER_CRASH; request++) {
                List<PromptPart> own = new ArrayList<>(parts.subList(request * 40, request * 40 + 40));
                own.add(0, new PromptPart("first" + crashed, 1));
                broken(CrashingPartDetector.sharedParts(new GenerationRequest("m", "", 3, 1, own)), server(crashed, 1));
            }
            detector.processDied(server(crashed, 1).processKey());
        }
        CrashEvidence limited = detector.evidence().limitedTo(100_000);
        assertTrue(limited.encode().length <= 100_000, "bytes: " + limited.encode().length);
        assertFalse(limited.crashes().isEmpty());
    }

    // Guards against an endless search for the later of two parts.
    @Test
    public void parts_that_occur_in_both_orders_are_quarantined_together() {
        for (int host = 1; host <= 4; host++) {
            crash(server(host, 1), prompt("a", "b"), prompt("b", "a"));
        }
        answer("f", "other");
        assertEquals(detector.quarantinedParts(), Set.of("a", "b"));
    }

    @Test
    public void the_last_part_of_a_prompt_is_never_suspected() {
        List<PromptPart> parts = List.of(new PromptPart("f", 1), new PromptPart("s", 1), new PromptPart("own", 1));
        assertEquals(CrashingPartDetector.sharedParts(new GenerationRequest("m", "", 3, 1, parts)), prompt("f", "s"));
    }

    @Test
    public void a_broken_connection_to_a_server_that_lives_is_no_evidence() {
        for (int host = 1; host <= 5; host++) {
            broken(prompt("f", "s"), server(host, 1));
            time.advance(CrashCorrelator.CONFIRMATION_WINDOW_MILLIS + 1);
            detector.processDied(server(host, 1).processKey());
        }
        assertTrue(detector.isEmpty());
        assertEquals(detector.blockingPart(List.of("s")), Optional.empty());
    }

    private static final class RecordedVerdicts implements CrashingPartDetector.Listener {
        private final List<String> released = new ArrayList<>();

        @Override
        public void onQuarantine(String part, Set<String> processes) {}

        @Override
        public void onRelease(String part) {
            released.add(part);
        }
    }
}
