package org.agatehatch.api.catalogue;

import java.util.Map;

/**
 * One version of the catalogue. Entries are keyed by name.
 *
 * @param version 0 for the empty catalogue; each accepted change adds 1
 */
public record Catalogue(
        long version,
        Map<String, RequestClass> classes,
        Map<String, Owner> owners,
        Map<String, Pool> pools,
        Map<String, BackendServer> backendServers,
        Map<String, ModelEntry> models,
        Map<String, ServiceEntry> services) {
    /** The catalogue before the first change. */
    public static final Catalogue EMPTY = new Catalogue(0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

    public Catalogue {
        classes = Map.copyOf(classes);
        owners = Map.copyOf(owners);
        pools = Map.copyOf(pools);
        backendServers = Map.copyOf(backendServers);
        models = Map.copyOf(models);
        services = Map.copyOf(services);
    }
}
