package org.agatehatch.api.catalogue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * The difference between two catalogues: entries to add or replace as a whole, and entries to remove.
 *
 * @param upserts fields as in the YAML catalogue, by section name and entry name
 * @param removals removed entry names by section
 */
public record CatalogueDiff(Map<String, Map<String, Map<String, Object>>> upserts, Map<String, List<String>> removals) {
    /** Returns the changes from one catalogue to another, in a fixed order. Versions are not compared. */
    public static CatalogueDiff between(Catalogue before, Catalogue after) {
        Map<String, Map<String, Map<String, Object>>> upserts = new LinkedHashMap<>();
        Map<String, List<String>> removals = new LinkedHashMap<>();
        for (CatalogueSection<?> section : CatalogueSections.ALL) {
            Map<String, Map<String, Object>> old = section.toFields(before);
            Map<String, Map<String, Object>> changed = new LinkedHashMap<>();
            section.toFields(after).forEach((name, fields) -> {
                if (!fields.equals(old.remove(name))) {
                    changed.put(name, fields);
                }
            });
            if (!changed.isEmpty()) {
                upserts.put(section.name(), changed);
            }
            if (!old.isEmpty()) {
                removals.put(section.name(), List.copyOf(old.keySet()));
            }
        }
        return new CatalogueDiff(upserts, removals);
    }

    /** Returns whether there is no change. */
    public boolean isEmpty() {
        return upserts.isEmpty() && removals.isEmpty();
    }

    /**
     * Applies the diff and returns the resulting catalogue, or the problems that make it invalid. Unknown sections and
     * fields are ignored, since the diff may come from a node with a newer software version.
     */
    public CatalogueResult applyTo(Catalogue base, long newVersion) {
        List<CatalogueProblem> problems = new ArrayList<>();
        CatalogueBuilder builder = new CatalogueBuilder(base);
        removals.forEach((sectionName, names) -> CatalogueSections.named(sectionName)
                .ifPresent(section -> names.forEach(name -> remove(builder, section, name, problems))));
        upserts.forEach((sectionName, entries) -> CatalogueSections.named(sectionName)
                .ifPresent(section ->
                        entries.forEach((name, fields) -> builder.put(section, name, fields, true, problems))));
        Catalogue changed = builder.build(newVersion);
        problems.addAll(CatalogueValidator.validate(changed, builder.invalidNames()));
        return CatalogueResult.of(changed, problems);
    }

    /** Returns the diff against {@code base} as text, with one line per entry or changed field. */
    public String toText(Catalogue base) {
        StringBuilder text = new StringBuilder();
        for (CatalogueSection<?> section : CatalogueSections.ALL) {
            Map<String, Map<String, Object>> old = section.toFields(base);
            removals.getOrDefault(section.name(), List.of())
                    .forEach(name ->
                            text.append("- ").append(path(section, name)).append('\n'));
            upserts.getOrDefault(section.name(), Map.of()).forEach((name, fields) -> {
                if (old.containsKey(name)) {
                    appendChangedFields(text, path(section, name), old.get(name), fields);
                } else {
                    text.append("+ ")
                            .append(path(section, name))
                            .append(": ")
                            .append(fields)
                            .append('\n');
                }
            });
        }
        return text.toString();
    }

    private static void remove(
            CatalogueBuilder builder, CatalogueSection<?> section, String name, List<CatalogueProblem> problems) {
        if (!builder.remove(section, name)) {
            problems.add(CatalogueProblem.of(
                    path(section, name), "removal of an entry that does not exist", "names of existing entries"));
        }
    }

    private static void appendChangedFields(
            StringBuilder text, String path, Map<String, Object> old, Map<String, Object> changed) {
        Set<String> names = new LinkedHashSet<>(old.keySet());
        names.addAll(changed.keySet());
        for (String name : names) {
            Object before = old.get(name);
            Object after = changed.get(name);
            if (!Objects.equals(before, after)) {
                text.append("~ ").append(path).append('.').append(name).append(": ");
                text.append(before).append(" -> ").append(after).append('\n');
            }
        }
    }

    private static String path(CatalogueSection<?> section, String name) {
        return section.name() + "." + name;
    }
}
