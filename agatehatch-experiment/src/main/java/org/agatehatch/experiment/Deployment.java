package org.agatehatch.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.ModelEntry;
import org.agatehatch.api.catalogue.Owner;
import org.agatehatch.api.catalogue.Pool;
import org.agatehatch.api.catalogue.PoolKind;
import org.agatehatch.api.catalogue.RequestClass;

/** Builds the catalogue of a deployment, and tells what its entries are asked. */
final class Deployment {
    static final String POOL = "models";
    static final int RUNNERS = 6;
    static final int MODELS = 13;
    /** The model whose demand grows tenfold; at other times it needs a twentieth of a runner or so. */
    static final String SURGE_MODEL = "model-08";

    private static final int ACCELERATORS_PER_RUNNER = 2;
    private static final long ACCELERATOR_MEMORY_MIB = 81_920;
    private static final String REGION = "south";
    private static final int OWNERS = 5;
    private static final double[] SHARES = {4, 3, 2, 2, 1};
    /** Two or three sizes of models; 18 replicas of the catalogue take two thirds of the memory. */
    private static final long[] MODEL_MEMORY_MIB = {24_576, 36_864, 49_152};

    private static final int[] REPLICAS = {3, 2, 2, 2};

    private final DeploymentKind kind;
    private final Catalogue catalogue;
    private final List<TrafficSource> sources = new ArrayList<>();

    /**
     * What one entry is asked.
     *
     * @param weight part of the requests, relative to the other entries
     * @param promptTokens mean length of the part of the prompt that no other request shares
     * @param sharedTokens length of the leading part that all requests of the entry's base model share
     * @param outputTokens mean length of an answer
     */
    record TrafficSource(
            ModelEntry entry, double weight, int promptTokens, int sharedTokens, int outputTokens, int group) {}

    /** What requests of one class look like. */
    private record ClassShape(RequestClass requestClass, int promptTokens, int outputTokens) {}

    Deployment(DeploymentKind kind) {
        this.kind = kind;
        List<ClassShape> shapes = shapes(kind);
        Map<String, RequestClass> classes = new TreeMap<>();
        shapes.forEach(shape -> classes.put(shape.requestClass().name(), shape.requestClass()));
        Map<String, Owner> owners = new TreeMap<>();
        for (int i = 0; i < OWNERS; i++) {
            owners.put("owner-" + i, new Owner("owner-" + i, SHARES[i], 400, 0));
        }
        Pool pool = new Pool(
                POOL,
                PoolKind.MODEL,
                REGION,
                kind.storeLoadsAtOnce(),
                1,
                kind.adapterLoadsInFlight(),
                kind.moveWeight());
        this.catalogue =
                new Catalogue(1, classes, owners, Map.of(POOL, pool), runners(kind), models(kind, shapes), Map.of());
    }

    private static List<ClassShape> shapes(DeploymentKind kind) {
        RequestClass batch = new RequestClass("batch", 10, 20_000, 200, 120_000);
        if (kind == DeploymentKind.ALMATY) {
            return List.of(
                    new ClassShape(new RequestClass("counter", 90, 700, 61, 8_000), 300, 60),
                    new ClassShape(new RequestClass("bench", 50, 1_500, 80, 30_000), 1_600, 160),
                    new ClassShape(batch, 1_200, 200));
        }
        return List.of(
                new ClassShape(new RequestClass("chat", 60, 700, 61, 10_000), 250, 80),
                new ClassShape(new RequestClass("premium", 80, 1_000, 61, 20_000), 900, 160),
                new ClassShape(batch, 1_000, 200));
    }

    private static Map<String, BackendServer> runners(DeploymentKind kind) {
        Map<String, BackendServer> runners = new TreeMap<>();
        List<String> domains = kind.failureDomains();
        for (int i = 0; i < RUNNERS; i++) {
            String name = "runner-" + i;
            runners.put(
                    name,
                    new BackendServer(
                            name,
                            "127.0.0.1:" + (9_000 + i),
                            domains.get(i % domains.size()),
                            REGION,
                            POOL,
                            "owner-" + i % OWNERS,
                            ACCELERATORS_PER_RUNNER,
                            ACCELERATOR_MEMORY_MIB,
                            true));
        }
        return runners;
    }

    private Map<String, ModelEntry> models(DeploymentKind deployment, List<ClassShape> shapes) {
        Map<String, ModelEntry> models = new TreeMap<>();
        for (int i = 0; i < MODELS; i++) {
            String name = modelName(i);
            ClassShape shape = shapes.get(i % shapes.size());
            int replicas = i < REPLICAS.length ? REPLICAS[i] : 1;
            ModelEntry model = new ModelEntry(
                    name,
                    Optional.empty(),
                    "owner-" + i % OWNERS,
                    shape.requestClass().name(),
                    POOL,
                    "1",
                    MODEL_MEMORY_MIB[i % MODEL_MEMORY_MIB.length],
                    1,
                    replicas,
                    2 * shape.outputTokens(),
                    true);
            models.put(name, model);
            addSource(model, shape, 0.25 * modelWeight(i), i);
        }
        int perModel = (deployment.adapters() + MODELS - 1) / MODELS;
        for (int i = 0; i < deployment.adapters(); i++) {
            String name = String.format(Locale.ROOT, "adapter-%02d", i);
            int base = i % MODELS;
            ClassShape shape = shapes.get((base + i / MODELS) % shapes.size());
            ModelEntry adapter = new ModelEntry(
                    name,
                    Optional.of(modelName(base)),
                    "owner-" + (base + i / MODELS) % OWNERS,
                    shape.requestClass().name(),
                    POOL,
                    "1",
                    200,
                    0,
                    0,
                    2 * shape.outputTokens(),
                    true);
            models.put(name, adapter);
            addSource(adapter, shape, 0.75 * modelWeight(base) / perModel, base);
        }
        return models;
    }

    private void addSource(ModelEntry entry, ClassShape shape, double weight, int group) {
        boolean batch = "batch".equals(shape.requestClass().name());
        int shared = kind.sharesManual() && !batch ? 4_096 : 512;
        // Batch work is asked less often, since each request costs several times as much.
        sources.add(new TrafficSource(
                entry, batch ? weight / 3 : weight, shape.promptTokens(), shared, shape.outputTokens(), group));
    }

    private static String modelName(int i) {
        return String.format(Locale.ROOT, "model-%02d", i);
    }

    /** Some models are asked often and many seldom, as a Zipf law with exponent 0.8 has it. */
    private static double modelWeight(int i) {
        return Math.pow(i + 1.0, -0.8);
    }

    DeploymentKind kind() {
        return kind;
    }

    Catalogue catalogue() {
        return catalogue;
    }

    List<TrafficSource> sources() {
        return sources;
    }

    int accelerators() {
        return RUNNERS * ACCELERATORS_PER_RUNNER;
    }

    /** One-way latency between a node and a runner. */
    double distanceMillis(String nodeDomain, BackendServer server) {
        return nodeDomain.equals(server.failureDomain()) ? 0.2 : kind.otherDomainMillis();
    }
}
