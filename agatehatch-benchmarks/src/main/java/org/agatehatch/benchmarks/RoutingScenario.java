package org.agatehatch.benchmarks;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.IntStream;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.ModelEntry;
import org.agatehatch.api.engine.LoadReport;
import org.agatehatch.api.routing.DefaultRoutingPolicy;
import org.agatehatch.api.routing.FirstTokenModel;
import org.agatehatch.api.routing.PromptBlocks;
import org.agatehatch.api.routing.RoutingRequest;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.connection.BackendServerHealth;
import org.agatehatch.internal.connection.EjectionPolicy;
import org.agatehatch.internal.connection.PrefixIndex;
import org.agatehatch.internal.connection.RunnerLoadTracker;
import org.agatehatch.internal.connection.RunnerLoadTrackers;
import org.agatehatch.internal.process.AdapterLoadBudget;
import org.agatehatch.internal.process.PrefixAffinity;
import org.agatehatch.internal.request.AttemptRoutingRequest;
import org.agatehatch.internal.request.Router;
import org.agatehatch.internal.request.RouterInputs;
import org.agatehatch.internal.version.RoutingView;

/**
 * A node's router with all that it reads, and a fixed set of requests. The first model has a replica on every runner, so
 * that its decisions score the most candidates; every other model has at most 6 replicas.
 */
final class RoutingScenario {
    private static final String POOL = "pool";
    private static final int USUAL_REPLICAS = 6;
    private static final int REQUESTS = 1_000;
    /** Every tenth request is for the model with a replica on every runner. */
    private static final int WIDE_REQUEST_EVERY = 10;

    private static final int PROMPT_BYTES = 8_000;
    private static final int SHARED_BYTES = 5_120;
    private static final int SHARED_PREFIXES = 20;

    private final MonotonicClock clock = MonotonicClock.system();
    private final Random random = new Random(42);
    private final List<String> runners;
    private final int models;
    private final PrefixIndex prefixIndex = new PrefixIndex(clock, 100_000, 30_000);
    private final RunnerLoadTrackers trackers = new RunnerLoadTrackers(clock, 500);
    private final Router router;
    private final List<AttemptRoutingRequest> requests = new ArrayList<>();

    RoutingScenario(int runnerCount, int models) {
        this.runners =
                IntStream.range(0, runnerCount).mapToObj(i -> "runner-" + i).toList();
        this.models = models;
        RoutingView view = view();
        BackendServerHealth health = new BackendServerHealth(EjectionPolicy.DEFAULT, clock, random::nextDouble);
        health.setServers(runners);
        AdapterLoadBudget budget = new AdapterLoadBudget("node", clock);
        RouterInputs inputs = new RouterInputs(
                () -> view,
                trackers::getOrCreate,
                RunnerLoadTracker::estimate,
                prefixIndex,
                new PrefixAffinity(clock, 4_000, 10_000),
                pool -> health,
                pool -> budget,
                server -> 1,
                () -> 8);
        router = new Router(
                inputs,
                new DefaultRoutingPolicy(
                        FirstTokenModel.DEFAULT,
                        () -> ThreadLocalRandom.current().nextDouble()),
                FirstTokenModel.DEFAULT,
                bound -> ThreadLocalRandom.current().nextInt(bound),
                250);
        addReports();
        addRequests();
    }

    Router router() {
        return router;
    }

    /** Returns one of the fixed requests; any index is allowed. */
    AttemptRoutingRequest request(int index) {
        return requests.get(Math.floorMod(index, REQUESTS));
    }

    private RoutingView view() {
        Map<String, BackendServer> servers = new HashMap<>();
        for (int i = 0; i < runners.size(); i++) {
            String name = runners.get(i);
            servers.put(
                    name,
                    new BackendServer(
                            name, "127.0.0.1:9001", "domain-" + i % 6, "region", POOL, "owner", 8, 65_536, true));
        }
        Map<String, ModelEntry> entries = new HashMap<>();
        Map<String, List<String>> runnersByModel = new HashMap<>();
        for (int i = 0; i < models; i++) {
            String name = "model-" + i;
            entries.put(
                    name, new ModelEntry(name, Optional.empty(), "owner", "class", POOL, "v1", 1_000, 1, 2, 100, true));
            runnersByModel.put(name, i == 0 ? runners : someRunners());
        }
        Catalogue catalogue = new Catalogue(1, Map.of(), Map.of(), Map.of(), servers, entries, Map.of());
        return new RoutingView(catalogue, Map.of(), runnersByModel, Map.of(), Set.of());
    }

    private List<String> someRunners() {
        List<String> shuffled = new ArrayList<>(runners);
        Collections.shuffle(shuffled, random);
        return List.copyOf(shuffled.subList(0, Math.min(USUAL_REPLICAS, shuffled.size())));
    }

    private void addReports() {
        for (String runner : runners) {
            LoadReport report = new LoadReport(
                    "epoch", 1, 100, random.nextInt(2_000), random.nextInt(20), 100, 0.5, 10_000, 50, 0, Set.of());
            trackers.getOrCreate(runner).applyReport(report);
            trackers.getOrCreate(runner).recordSent(200);
        }
    }

    private void addRequests() {
        byte[][] shared = new byte[SHARED_PREFIXES][SHARED_BYTES];
        for (byte[] prefix : shared) {
            random.nextBytes(prefix);
        }
        for (int i = 0; i < REQUESTS; i++) {
            byte[] prompt = new byte[PROMPT_BYTES];
            random.nextBytes(prompt);
            System.arraycopy(shared[i % SHARED_PREFIXES], 0, prompt, 0, SHARED_BYTES);
            long[] blocks = PromptBlocks.hashes(prompt);
            prefixIndex.recordSent(runners.get(random.nextInt(runners.size())), blocks);
            int model = i % WIDE_REQUEST_EVERY == 0 ? 0 : random.nextInt(models);
            RoutingRequest request = new RoutingRequest(
                    "model-" + model,
                    Optional.empty(),
                    "owner",
                    50,
                    PROMPT_BYTES / 4,
                    PromptBlocks.prefixHash(blocks),
                    Long.MAX_VALUE);
            requests.add(new AttemptRoutingRequest(request, blocks, PROMPT_BYTES, Set.of()));
        }
    }
}
