package org.agatehatch.api.catalogue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * One section of the catalogue: its fields, and the conversion between entries and fields.
 *
 * @param entries returns the section's entries in a catalogue, by name
 * @param entryFactory creates an entry from its name and its validated fields
 * @param values returns an entry's field values in the order of {@code fields}
 */
record CatalogueSection<T>(
        String name,
        String description,
        List<FieldSpec> fields,
        Function<Catalogue, Map<String, T>> entries,
        EntryFactory<T> entryFactory,
        Function<T, List<Object>> values) {
    /** Only model names may contain slashes: other names are single segments of URL paths. */
    private static final Pattern MODEL_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/@-]{0,127}");

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

    /** Creates an entry from its name and its validated fields. */
    @FunctionalInterface
    interface EntryFactory<T> {
        T build(String name, Map<String, Object> fields);
    }

    /** Returns the field with this name, or null. */
    FieldSpec field(String fieldName) {
        return fields.stream()
                .filter(field -> field.name().equals(fieldName))
                .findFirst()
                .orElse(null);
    }

    /** Returns the pattern of entry names. */
    Pattern namePattern() {
        return name.equals("models") ? MODEL_NAME : NAME;
    }

    /** Returns the fields of each entry, sorted by entry name. Fields whose value is an empty string are omitted. */
    Map<String, Map<String, Object>> toFields(Catalogue catalogue) {
        Map<String, Map<String, Object>> result = new TreeMap<>();
        entries.apply(catalogue).forEach((entryName, entry) -> result.put(entryName, entryFields(entry)));
        return result;
    }

    private Map<String, Object> entryFields(T entry) {
        Map<String, Object> result = new LinkedHashMap<>();
        List<Object> entryValues = values.apply(entry);
        for (int i = 0; i < fields.size(); i++) {
            if (!"".equals(entryValues.get(i))) {
                result.put(fields.get(i).name(), entryValues.get(i));
            }
        }
        return result;
    }

    /**
     * Returns the entry, or null if it is invalid, after adding its problems to {@code problems}.
     *
     * @param ignoreUnknown whether unknown fields are ignored instead of reported as problems
     */
    T toEntry(String entryName, Map<String, Object> raw, boolean ignoreUnknown, List<CatalogueProblem> problems) {
        int problemsBefore = problems.size();
        String path = name + "." + entryName;
        if (!namePattern().matcher(entryName).matches()) {
            problems.add(CatalogueProblem.of(
                    path,
                    "name '" + entryName + "'",
                    "names that match " + namePattern().pattern()));
        }
        Map<String, Object> checked = new LinkedHashMap<>();
        for (FieldSpec field : fields) {
            Object value = raw.containsKey(field.name())
                    ? raw.get(field.name())
                    : field.defaultValue().orElse(null);
            if (value == null && !raw.containsKey(field.name())) {
                problems.add(CatalogueProblem.of(path + "." + field.name(), "no value", field.allowed()));
            } else if (!field.allows(value)) {
                problems.add(CatalogueProblem.of(path + "." + field.name(), quoted(value), field.allowed()));
            }
            checked.put(field.name(), value);
        }
        if (!ignoreUnknown) {
            addUnknownFields(path, raw.keySet(), problems);
        }
        return problems.size() == problemsBefore ? entryFactory.build(entryName, checked) : null;
    }

    private void addUnknownFields(String path, Set<String> names, List<CatalogueProblem> problems) {
        for (String fieldName : names) {
            if (field(fieldName) == null) {
                problems.add(CatalogueProblem.of(
                        path + "." + fieldName,
                        "unknown field '" + fieldName + "'",
                        "fields " + fields.stream().map(FieldSpec::name).toList()));
            }
        }
    }

    static String quoted(Object value) {
        return value == null ? "null" : "'" + value + "'";
    }
}
