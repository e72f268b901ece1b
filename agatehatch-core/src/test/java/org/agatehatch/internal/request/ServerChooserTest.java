package org.agatehatch.internal.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.agatehatch.api.fleet.GenerationRequest;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.fleet.PromptPart;
import org.agatehatch.api.fleet.RequestKind;
import org.agatehatch.api.fleet.ResidentModel;
import org.agatehatch.api.fleet.RouteSpec;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.fleet.WeightedService;
import org.agatehatch.internal.process.FleetView;
import org.agatehatch.internal.process.LoadAggregator;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Covers load patterns for the choice of a server: a hot shared prompt, a burst, stale data, and failing servers. */
public final class ServerChooserTest {
    private static final String SERVICE = "advisor";
    private static final long MEMORY_TOKENS = 232_000;

    private long nowMillis;
    private FleetView fleet;
    private ResidencyObservations observations;
    private ServerAvailability availability;
    private ServerChooser chooser;

    @BeforeMethod
    public void create() {
        nowMillis = 1_000;
        fleet = new FleetView(
                Map.of(SERVICE, List.of(runner("r1", "d1", 1), runner("r2", "d2", 1), runner("r3", "d1", 1))));
        observations = new ResidencyObservations(() -> nowMillis * 1_000_000);
        availability = new ServerAvailability(() -> nowMillis * 1_000_000, new AvailabilityEvents());
        chooser = chooser("d1", 1);
    }

    private ServerChooser chooser(String domain, int seed) {
        return new ServerChooser(
                ChooserSettings.DEFAULT,
                domain,
                () -> fleet,
                observations,
                availability,
                () -> nowMillis * 1_000_000,
                new Random(seed),
                () -> 3);
    }

    private static ServerEntry runner(String id, String domain, long born) {
        ResidentModel model = new ResidentModel("m", 1, Set.of("a1"));
        return new ServerEntry(
                id, SERVICE, new PeerAddress("10.0.0.1", 80), domain, 64, false, born, "v1", List.of(model), Set.of());
    }

    private static GenerationRequest prompt(String shared, String own, String adapter) {
        List<PromptPart> parts = List.of(new PromptPart(shared, 6_000), new PromptPart(own, 2_000));
        return new GenerationRequest("m", adapter, 8_000, 50, parts);
    }

    private static RouteSpec route(long targetMillis) {
        return new RouteSpec(
                "r",
                "h",
                "/p/",
                RequestKind.STREAM,
                6_000,
                targetMillis,
                0,
                List.of(new WeightedService(SERVICE, 1)),
                1,
                false,
                250);
    }

    private ServerChoice choose(ServerChooser from, GenerationRequest generation, Set<String> tried) {
        return from.choose(new ServerChoiceRequest(
                route(800), SERVICE, Optional.of(generation), Optional.empty(), tried, 6_000, 6_000, 1_000));
    }

    private ServerChoice chooseWithRemaining(long remainingMillis, GenerationRequest generation) {
        return chooser.choose(new ServerChoiceRequest(
                route(800),
                SERVICE,
                Optional.of(generation),
                Optional.empty(),
                Set.of(),
                remainingMillis,
                remainingMillis,
                1_000));
    }

    private ServerChoice.Chosen chosen(GenerationRequest generation) {
        return (ServerChoice.Chosen) choose(chooser, generation, Set.of());
    }

    /** Chooses a runner for a request and records that it has prefilled the prompt. */
    private String chooseAndPrefill(GenerationRequest generation) {
        ServerChoice.Chosen chosen = chosen(generation);
        chooser.recordPrefill(chosen.server(), generation, MEMORY_TOKENS);
        return chosen.server().id();
    }

    @Test
    public void requests_with_a_shared_prompt_go_to_the_runner_that_cached_it() {
        String first = chooseAndPrefill(prompt("manual", "s1", ""));
        for (int i = 2; i < 10; i++) {
            ServerChoice.Chosen next = chosen(prompt("manual", "s" + i, ""));
            assertEquals(next.server().id(), first);
            assertEquals(next.uncachedPromptTokens(), 2_000);
        }
    }

    @Test
    public void all_nodes_send_a_new_shared_prompt_to_the_same_runner() {
        Set<String> homes = new java.util.HashSet<>();
        for (int seed = 0; seed < 8; seed++) {
            ServerChoice.Chosen chosen =
                    (ServerChoice.Chosen) choose(chooser("d1", seed), prompt("manual", "s" + seed, ""), Set.of());
            homes.add(chosen.server().id());
        }
        assertEquals(homes.size(), 1);
    }

    @Test
    public void a_hot_shared_prompt_spreads_before_its_runner_is_overloaded() {
        String home = chooseAndPrefill(prompt("manual", "s0", ""));
        Map<String, Integer> sent = new HashMap<>();
        for (int i = 1; i <= 12; i++) {
            ServerChoice.Chosen chosen = chosen(prompt("manual", "s" + i, ""));
            chooser.load(chosen.server().id()).recordSent(chosen.uncachedPromptTokens());
            sent.merge(chosen.server().id(), 1, Integer::sum);
        }
        assertTrue(sent.get(home) < 12, "sent: " + sent);
        assertTrue(sent.size() >= 2, "sent: " + sent);
    }

    @Test
    public void load_of_other_nodes_counts_until_their_report_expires() {
        String home = chooseAndPrefill(prompt("manual", "s0", ""));
        chooser.updateRemoteLoads(Map.of(home, new LoadAggregator.Load(20, 40_000)));
        assertTrue(!chosen(prompt("manual", "s1", "")).server().id().equals(home));
        nowMillis += 5_000;
        assertEquals(chosen(prompt("manual", "s2", "")).server().id(), home, "an expired report does not count");
    }

    @Test
    public void a_request_predicted_far_too_late_is_refused_with_retry_after() {
        Map<String, LoadAggregator.Load> full = new HashMap<>();
        for (String id : List.of("r1", "r2", "r3")) {
            full.put(id, new LoadAggregator.Load(60, 120_000));
        }
        chooser.updateRemoteLoads(full);
        ServerChoice choice = choose(chooser, prompt("manual", "s", ""), Set.of());
        assertTrue(choice instanceof ServerChoice.Unavailable, choice.toString());
        assertTrue(((ServerChoice.Unavailable) choice).retryAfterMillis() > 2_000);
    }

    @Test
    public void a_restarted_runner_has_an_empty_cache() {
        String home = chooseAndPrefill(prompt("manual", "s0", ""));
        List<ServerEntry> servers = new ArrayList<>();
        fleet.servers(SERVICE)
                .forEach(server -> servers.add(
                        runner(server.id(), server.failureDomain(), server.id().equals(home) ? 2 : 1)));
        fleet = new FleetView(Map.of(SERVICE, servers));
        assertTrue(chosen(prompt("manual", "s1", "")).uncachedPromptTokens() > 2_000);
    }

    @Test
    public void an_adapter_without_resident_runner_is_reported_as_not_resident() {
        assertEquals(choose(chooser, prompt("manual", "s", "a9"), Set.of()), new ServerChoice.NotResident("m", "a9"));
        observations.markResident(fleet.servers(SERVICE).get(1), "m", "a9");
        assertEquals(chosen(prompt("manual", "s", "a9")).server().id(), "r2");
    }

    @Test
    public void a_runner_marked_as_not_holding_the_model_is_excluded() {
        for (int i : List.of(0, 2)) {
            observations.markNotResident(fleet.servers(SERVICE).get(i), "m", "");
        }
        assertEquals(chosen(prompt("manual", "s", "")).server().id(), "r2");
    }

    @Test
    public void a_failing_server_is_ejected_and_probed_again_later() {
        String home = chooseAndPrefill(prompt("manual", "s0", ""));
        for (int i = 0; i < 3; i++) {
            chooser.failed(SERVICE, home);
        }
        assertTrue(!chosen(prompt("manual", "s1", "")).server().id().equals(home));
        nowMillis += 5_000;
        assertEquals(chosen(prompt("manual", "s2", "")).server().id(), home);
    }

    @Test
    public void a_fast_server_that_returns_errors_gets_fewer_requests() {
        for (int i = 0; i < 10; i++) {
            chooser.load("r1").recordAnswer(i % 2 == 0);
        }
        GenerationRequest unshared = new GenerationRequest("m", "", 500, 50, List.of(new PromptPart("own", 500)));
        for (int i = 0; i < 20; i++) {
            assertTrue(!chosen(unshared).server().id().equals("r1"));
        }
        nowMillis += 30_000;
        assertTrue(chooser.load("r1").failureFraction() < 0.01, "old failures do not count");
    }

    /**
     * Guards against refusing a resubmitted request: it is then lost, although a late response would still have been
     * useful.
     */
    @Test
    public void a_resubmitted_request_is_served_late_instead_of_refused_again() {
        Map<String, LoadAggregator.Load> full = new HashMap<>();
        for (String id : List.of("r1", "r2", "r3")) {
            full.put(id, new LoadAggregator.Load(60, 50_000));
        }
        chooser.updateRemoteLoads(full);
        assertTrue(choose(chooser, prompt("manual", "s", ""), Set.of()) instanceof ServerChoice.Unavailable);
        assertTrue(chooseWithRemaining(5_000, prompt("manual", "s", "")) instanceof ServerChoice.Chosen);
        assertTrue(
                chooseWithRemaining(2_000, prompt("manual", "s", "")) instanceof ServerChoice.Unavailable,
                "the remaining time is too short");
    }

    @Test
    public void servers_that_were_tried_are_not_chosen_again() {
        assertEquals(
                ((ServerChoice.Chosen) choose(chooser, prompt("m", "s", ""), Set.of("r1", "r3")))
                        .server()
                        .id(),
                "r2");
        assertTrue(choose(chooser, prompt("m", "s", ""), Set.of("r1", "r2", "r3")) instanceof ServerChoice.Unavailable);
    }

    // Guards against requests to servers that have said that they leave or want none, and against refusals without a
    // true time.
    @Test
    public void servers_that_leave_or_are_closed_are_not_chosen() {
        availability.recordLeaving(runner("r1", "d1", 1));
        availability.recordClosed(runner("r2", "d2", 1), 2_000);
        for (int i = 0; i < 20; i++) {
            assertEquals(chosen(prompt("manual", "s" + i, "")).server().id(), "r3");
        }
        availability.recordClosed(runner("r3", "d1", 1), 700);
        ServerChoice.Closed closed = (ServerChoice.Closed) choose(chooser, prompt("manual", "s", ""), Set.of());
        assertEquals(closed.opensInMillis(), 700);
        // Two closed servers of 64 slots, shared by three nodes.
        assertEquals(closed.places(), 42);
        nowMillis += 700;
        assertEquals(chosen(prompt("manual", "s", "")).server().id(), "r3");
    }

    // Guards against streams that begin after their callers have given up, which costs a runner's time for nothing.
    @Test
    public void a_request_is_refused_at_once_if_its_caller_would_give_up_before_the_first_event() {
        for (ServerEntry server : fleet.servers(SERVICE)) {
            chooser.load(server.id()).recordDelay(2_000);
        }
        ServerChoice choice = chooser.choose(new ServerChoiceRequest(
                route(800),
                SERVICE,
                Optional.of(prompt("manual", "s", "")),
                Optional.empty(),
                Set.of(),
                6_000,
                500,
                1_000));
        assertTrue(((ServerChoice.Unavailable) choice).reason().startsWith("predicted_too_late"), choice.toString());
    }

    // Guards against requests that queue for a slot of a full runner while another runner has free ones.
    @Test
    public void a_runner_whose_slots_are_taken_counts_with_the_wait_for_one() {
        String home = chooseAndPrefill(prompt("manual", "s0", ""));
        chooser.updateRemoteLoads(Map.of(home, new LoadAggregator.Load(64 + 32, 0)));
        assertTrue(!chosen(prompt("manual", "s1", "")).server().id().equals(home));
        Map<String, LoadAggregator.Load> full = new HashMap<>();
        fleet.servers(SERVICE).forEach(server -> full.put(server.id(), new LoadAggregator.Load(64 + 160, 0)));
        chooser.updateRemoteLoads(full);
        ServerChoice choice = choose(chooser, prompt("manual", "s2", ""), Set.of());
        assertTrue(((ServerChoice.Unavailable) choice).reason().startsWith("predicted_too_late"), choice.toString());
    }
}
