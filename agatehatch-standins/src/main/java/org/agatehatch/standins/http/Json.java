package org.agatehatch.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/** JSON with field names in snake_case. */
public final class Json {
    private static final ObjectMapper LENIENT = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .build();
    private static final ObjectMapper STRICT = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .build();

    private Json() {}

    /** Writes a value as UTF-8 JSON. */
    public static byte[] bytes(Object value) {
        try {
            return LENIENT.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("value of " + value.getClass() + " cannot be written as JSON", e);
        }
    }

    /** Writes a value as a JSON string on one line. */
    public static String text(Object value) {
        try {
            return LENIENT.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("value of " + value.getClass() + " cannot be written as JSON", e);
        }
    }

    /** Reads any JSON value; fails with {@code INVALID_REQUEST}. */
    public static JsonNode tree(byte[] bytes) {
        try {
            JsonNode node = LENIENT.readTree(bytes);
            if (node == null || node.isMissingNode()) {
                throw invalid("the body is empty; send a JSON object", null);
            }
            return node;
        } catch (IOException e) {
            throw invalid("the body is not JSON (" + brief(e) + "); send a JSON object", e);
        }
    }

    /** Reads a value, skipping fields that the type does not have; fails with {@code INVALID_REQUEST}. */
    public static <T> T read(byte[] bytes, Class<T> type) {
        JsonNode node = tree(bytes);
        try {
            return LENIENT.treeToValue(node, type);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw invalid("the body does not describe a " + type.getSimpleName() + ": " + brief(e), e);
        }
    }

    /** Returns an empty object. */
    public static ObjectNode object() {
        return LENIENT.createObjectNode();
    }

    /**
     * Returns {@code current} with the fields that {@code changes} names replaced. Fails with {@code INVALID_REQUEST} if
     * a field is unknown or its value is refused.
     */
    public static <T> T merge(T current, JsonNode changes, Class<T> type) {
        if (!changes.isObject()) {
            throw invalid("settings must be a JSON object, but are " + changes.getNodeType(), null);
        }
        ObjectNode merged = LENIENT.valueToTree(current);
        merged.setAll((ObjectNode) changes);
        try {
            return STRICT.treeToValue(merged, type);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw invalid(type.getSimpleName() + " refuses " + changes + ": " + brief(e), e);
        }
    }

    private static String brief(Exception e) {
        return e instanceof JsonProcessingException json ? json.getOriginalMessage() : e.getMessage();
    }

    private static AgatehatchException invalid(String message, Throwable cause) {
        return new AgatehatchException(ErrorCode.INVALID_REQUEST, "parse", "self", Outcome.NOT_RUN, message, cause);
    }
}
