package org.agatehatch.internal.version;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.ModelEntry;
import org.agatehatch.api.catalogue.Pool;
import org.agatehatch.api.catalogue.PoolKind;
import org.agatehatch.api.catalogue.RequestClass;

/** Builds catalogues with one pool named {@code pool}. */
public final class TestCatalogueBuilder {
    private final Map<String, Pool> pools = new HashMap<>();
    private final Map<String, BackendServer> servers = new HashMap<>();
    private final Map<String, ModelEntry> models = new HashMap<>();

    public TestCatalogueBuilder(int loadsAtOnce, double loadsPerSecond, double moveWeight) {
        pools.put("pool", new Pool("pool", PoolKind.MODEL, "r", loadsAtOnce, loadsPerSecond, 10, moveWeight));
    }

    public TestCatalogueBuilder runner(String name, String domain, int accelerators, long memoryMib, boolean checks) {
        servers.put(
                name,
                new BackendServer(name, "127.0.0.1:1", domain, "r", "pool", "o", accelerators, memoryMib, checks));
        return this;
    }

    /** Adds runners with one accelerator of 100 MiB; the first letter of a name is its failure domain. */
    public TestCatalogueBuilder runners(boolean checks, String... names) {
        for (String name : names) {
            runner(name, name.substring(0, 1), 1, 100, checks);
        }
        return this;
    }

    public TestCatalogueBuilder model(String name, String version, long memoryMib, int accelerators, int replicas) {
        return model(name, version, memoryMib, accelerators, replicas, "normal");
    }

    public TestCatalogueBuilder model(
            String name, String version, long memoryMib, int accelerators, int replicas, String requestClass) {
        models.put(
                name,
                new ModelEntry(
                        name,
                        Optional.empty(),
                        "o",
                        requestClass,
                        "pool",
                        version,
                        memoryMib,
                        accelerators,
                        replicas,
                        100,
                        true));
        return this;
    }

    public TestCatalogueBuilder adapter(String name, String base) {
        models.put(name, new ModelEntry(name, Optional.of(base), "o", "normal", "pool", "v1", 10, 0, 0, 100, true));
        return this;
    }

    public TestCatalogueBuilder without(String name) {
        models.remove(name);
        servers.remove(name);
        return this;
    }

    public Catalogue build() {
        Map<String, RequestClass> classes = Map.of(
                "normal", new RequestClass("normal", 10, 700, 61, 60_000),
                "premium", new RequestClass("premium", 90, 700, 61, 60_000));
        return new Catalogue(1, classes, Map.of(), pools, servers, models, Map.of());
    }
}
