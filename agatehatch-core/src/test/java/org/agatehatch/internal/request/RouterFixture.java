package org.agatehatch.internal.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.ModelEntry;
import org.agatehatch.api.catalogue.ServiceEntry;
import org.agatehatch.api.engine.LoadReport;
import org.agatehatch.api.routing.DefaultRoutingPolicy;
import org.agatehatch.api.routing.FirstTokenModel;
import org.agatehatch.api.routing.RoutingRequest;
import org.agatehatch.internal.connection.BackendServerHealth;
import org.agatehatch.internal.connection.EjectionPolicy;
import org.agatehatch.internal.connection.LoadEstimate;
import org.agatehatch.internal.connection.PrefixIndex;
import org.agatehatch.internal.connection.RunnerLoadTracker;
import org.agatehatch.internal.connection.RunnerLoadTrackers;
import org.agatehatch.internal.process.AdapterLoadBudget;
import org.agatehatch.internal.process.PrefixAffinity;
import org.agatehatch.internal.time.VirtualClock;
import org.agatehatch.internal.version.RoutingView;

/**
 * The router of one node for a pool of runners {@code r0}, {@code r1}, ... in two failure domains, under virtual time.
 */
final class RouterFixture {
    static final String POOL = "pool";

    final VirtualClock clock = new VirtualClock();
    final RunnerLoadTrackers trackers = new RunnerLoadTrackers(clock, 500);
    final PrefixIndex prefixIndex = new PrefixIndex(clock, 10_000, 10_000);
    final PrefixAffinity affinity = new PrefixAffinity(clock, 4_000, 100);
    final BackendServerHealth health = new BackendServerHealth(EjectionPolicy.DEFAULT, clock, () -> 0);
    final AdapterLoadBudget budget = new AdapterLoadBudget("node", clock);
    final Set<String> unavailable = new HashSet<>();
    final Map<String, String> roles = new HashMap<>();
    boolean modelIsLoaded = true;
    private final Random random = new Random(17);
    private final List<String> runners;

    RouterFixture(int runnerCount) {
        runners = IntStream.range(0, runnerCount).mapToObj(i -> "r" + i).toList();
        health.setServers(runners);
    }

    Router router(Function<RunnerLoadTracker, LoadEstimate> load) {
        RouterInputs inputs = new RouterInputs(
                this::view,
                trackers::getOrCreate,
                load,
                prefixIndex,
                affinity,
                pool -> health,
                pool -> budget,
                server -> 1,
                () -> 4);
        return new Router(
                inputs,
                new DefaultRoutingPolicy(FirstTokenModel.DEFAULT, random::nextDouble),
                FirstTokenModel.DEFAULT,
                random::nextInt,
                250);
    }

    Router router() {
        return router(RunnerLoadTracker::estimate);
    }

    void reportAll(long sequence, long queuedTokens, Set<String> adapters) {
        for (String runner : runners) {
            trackers.getOrCreate(runner)
                    .applyReport(new LoadReport("epoch", sequence, 0, queuedTokens, 0, 0, 0, 10_000, 50, 0, adapters));
        }
    }

    static AttemptRoutingRequest request(int promptTokens) {
        return request(promptTokens, new long[0], 0, Optional.empty(), Set.of());
    }

    static AttemptRoutingRequest requestAfterAttemptsAt(Set<String> tried) {
        return request(100, new long[0], 0, Optional.empty(), tried);
    }

    static AttemptRoutingRequest request(
            int promptTokens, long[] blocks, long prefixHash, Optional<String> adapter, Set<String> tried) {
        RoutingRequest request = new RoutingRequest(
                adapter.orElse("model"), adapter, "owner", 50, promptTokens, prefixHash, Long.MAX_VALUE);
        return new AttemptRoutingRequest(request, blocks, promptTokens * 4, tried);
    }

    static String chosen(RoutingResult route) {
        return route.decision().orElseThrow().candidate().server().name();
    }

    private RoutingView view() {
        Map<String, BackendServer> servers = new HashMap<>();
        for (int i = 0; i < runners.size(); i++) {
            String domain = "domain-" + i % 2;
            servers.put(
                    runners.get(i),
                    new BackendServer(
                            runners.get(i), "127.0.0.1:9001", domain, "region", POOL, "owner", 8, 65_536, true));
        }
        ModelEntry model = entry("model", Optional.empty());
        ModelEntry adapter = entry("adapter", Optional.of("model"));
        ServiceEntry desk = new ServiceEntry("desk", "owner", "class", POOL, Set.of("GET"), 1_000);
        Catalogue catalogue = new Catalogue(
                1,
                Map.of(),
                Map.of(),
                Map.of(),
                servers,
                Map.of("model", model, "adapter", adapter),
                Map.of("desk", desk));
        return new RoutingView(
                catalogue, Map.of(), modelIsLoaded ? Map.of("model", runners) : Map.of(), roles, unavailable);
    }

    private static ModelEntry entry(String name, Optional<String> base) {
        return new ModelEntry(name, base, "owner", "class", POOL, "v1", 1_000, 1, 2, 100, true);
    }
}
