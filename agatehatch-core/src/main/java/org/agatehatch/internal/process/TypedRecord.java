package org.agatehatch.internal.process;

import java.util.List;
import java.util.Map;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/**
 * One record of a batch: {@code [type, version, body map]}. The typed getters fail with {@code BAD_FRAME} if a field
 * is missing or has another type; other fields are ignored.
 *
 * @param body values of type {@code Long}, {@code Boolean}, {@code String}, {@code byte[]}, {@code List} or {@code Map}
 */
record TypedRecord(String type, int version, Map<String, Object> body) {
    String text(String field) {
        return get(field, String.class);
    }

    long number(String field) {
        return get(field, Long.class);
    }

    int smallNumber(String field) {
        long value = number(field);
        if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
            throw badFrame("field '" + field + "' is out of range", null);
        }
        return (int) value;
    }

    boolean flag(String field) {
        return get(field, Boolean.class);
    }

    byte[] bytes(String field) {
        return get(field, byte[].class);
    }

    List<?> list(String field) {
        return get(field, List.class);
    }

    Map<?, ?> map(String field) {
        return get(field, Map.class);
    }

    private <T> T get(String field, Class<T> valueType) {
        Object value = body.get(field);
        if (!valueType.isInstance(value)) {
            throw badFrame("record '" + type + "' has no valid field '" + field + "'", null);
        }
        return valueType.cast(value);
    }

    static AgatehatchException badFrame(String message, Throwable cause) {
        return new AgatehatchException(
                ErrorCode.BAD_FRAME,
                "decode",
                "self",
                Outcome.NOT_RUN,
                message + "; check that the sender is an agatehatch node of a supported version",
                cause);
    }
}
