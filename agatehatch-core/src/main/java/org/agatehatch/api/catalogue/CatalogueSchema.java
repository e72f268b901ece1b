package org.agatehatch.api.catalogue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Generates the JSON schema of catalogue files from the field specifications that the reader also uses. */
public final class CatalogueSchema {
    private CatalogueSchema() {}

    /** Returns the schema as published in {@code docs/catalogue-schema.json}. */
    public static String json() {
        Map<String, Object> properties = new LinkedHashMap<>();
        Map<String, Object> version = new LinkedHashMap<>();
        version.put("description", "Version that the file was written from; a change is made on that version.");
        version.put("type", "integer");
        version.put("minimum", 0);
        properties.put(CatalogueReader.VERSION_FIELD, version);
        CatalogueSections.ALL.forEach(section -> properties.put(section.name(), section(section)));
        Map<String, Object> schema = new LinkedHashMap<>();
        schema.put("$schema", "https://json-schema.org/draft/2020-12/schema");
        schema.put("title", "agatehatch catalogue");
        schema.put("type", "object");
        schema.put("additionalProperties", false);
        schema.put("properties", properties);
        try {
            return new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(schema) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the catalogue schema could not be serialized to JSON", e);
        }
    }

    private static Map<String, Object> section(CatalogueSection<?> section) {
        Map<String, Object> properties = new LinkedHashMap<>();
        section.fields().forEach(field -> properties.put(field.name(), field(field)));
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("type", "object");
        entry.put("additionalProperties", false);
        entry.put(
                "required",
                section.fields().stream()
                        .filter(FieldSpec::isRequired)
                        .map(FieldSpec::name)
                        .toList());
        entry.put("properties", properties);
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("description", section.description());
        result.put("type", List.of("object", "null"));
        result.put(
                "propertyNames", Map.of("pattern", "^" + section.namePattern().pattern() + "$"));
        result.put("additionalProperties", entry);
        return result;
    }

    private static Map<String, Object> field(FieldSpec field) {
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("description", field.description());
        switch (field.kind()) {
            case TEXT -> putText(field, result);
            case INTEGER -> putRange("integer", field, result);
            case NUMBER -> putRange("number", field, result);
            case FLAG -> result.put("type", "boolean");
            case TEXT_LIST -> {
                result.put("type", "array");
                result.put("items", Map.of("enum", field.choices()));
            }
        }
        field.defaultValue().ifPresent(value -> result.put("default", value));
        return result;
    }

    private static void putText(FieldSpec field, Map<String, Object> result) {
        if (!field.choices().isEmpty()) {
            result.put("enum", field.choices());
            return;
        }
        // YAML tools parse unquoted values such as 1.10 as numbers; the reader keeps them as written.
        result.put("type", List.of("string", "number", "boolean"));
        result.put("minLength", (long) field.minimum());
        result.put("maxLength", (long) field.maximum());
    }

    private static void putRange(String type, FieldSpec field, Map<String, Object> result) {
        result.put("type", type);
        result.put(
                "minimum",
                field.minimum() == Math.rint(field.minimum())
                        ? (Object) (long) field.minimum()
                        : (Object) field.minimum());
        result.put("maximum", (long) field.maximum());
    }
}
