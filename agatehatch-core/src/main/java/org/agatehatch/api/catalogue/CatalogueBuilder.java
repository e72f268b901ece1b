package org.agatehatch.api.catalogue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Collects catalogue entries by section, and the names of declared entries that failed validation. */
final class CatalogueBuilder {
    private final Map<String, Map<String, Object>> entriesBySection = new HashMap<>();
    private final Map<String, Set<String>> invalidNames = new HashMap<>();

    CatalogueBuilder(Catalogue base) {
        for (CatalogueSection<?> section : CatalogueSections.ALL) {
            entriesBySection.put(section.name(), new HashMap<>(section.entries().apply(base)));
            invalidNames.put(section.name(), new HashSet<>());
        }
    }

    /** Adds or replaces an entry. An invalid entry is removed and its name recorded in {@link #invalidNames()}. */
    void put(
            CatalogueSection<?> section,
            String name,
            Map<String, Object> fields,
            boolean ignoreUnknown,
            List<CatalogueProblem> problems) {
        Object entry = section.toEntry(name, fields, ignoreUnknown, problems);
        if (entry == null) {
            invalidNames.get(section.name()).add(name);
            entriesBySection.get(section.name()).remove(name);
        } else {
            entriesBySection.get(section.name()).put(name, entry);
        }
    }

    /** Removes an entry and returns whether it existed. */
    boolean remove(CatalogueSection<?> section, String name) {
        return entriesBySection.get(section.name()).remove(name) != null;
    }

    /** Returns the names of declared entries that failed validation, by section. */
    Map<String, Set<String>> invalidNames() {
        return invalidNames;
    }

    Catalogue build(long version) {
        return new Catalogue(
                version,
                entries(CatalogueSections.CLASSES, RequestClass.class),
                entries(CatalogueSections.OWNERS, Owner.class),
                entries(CatalogueSections.POOLS, Pool.class),
                entries(CatalogueSections.BACKEND_SERVERS, BackendServer.class),
                entries(CatalogueSections.MODELS, ModelEntry.class),
                entries(CatalogueSections.SERVICES, ServiceEntry.class));
    }

    private <T> Map<String, T> entries(CatalogueSection<T> section, Class<T> type) {
        Map<String, T> result = new HashMap<>();
        entriesBySection.get(section.name()).forEach((name, entry) -> result.put(name, type.cast(entry)));
        return result;
    }
}
