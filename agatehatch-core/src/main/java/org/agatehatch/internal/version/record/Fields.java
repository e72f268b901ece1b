package org.agatehatch.internal.version.record;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Typed access to the fields of a decoded map. A missing field or a value of another type causes an
 * {@link IllegalArgumentException} that names the field.
 */
public final class Fields {
    private final Map<?, ?> fields;

    public Fields(Object map) {
        if (!(map instanceof Map<?, ?> fieldsByName)) {
            throw new IllegalArgumentException("expected a map, found " + typeName(map));
        }
        this.fields = fieldsByName;
    }

    /** Returns a text field. */
    public String text(String name) {
        return required(name, String.class);
    }

    /** Returns a text field, or empty if it is missing. */
    public Optional<String> optionalText(String name) {
        return fields.get(name) == null ? Optional.empty() : Optional.of(text(name));
    }

    /** Returns whether a field is present. */
    public boolean has(String name) {
        return fields.get(name) != null;
    }

    /** Returns an integer field. */
    public long integer(String name) {
        return required(name, Long.class);
    }

    /** Returns an integer field; its value must fit 32 bits. */
    public int int32(String name) {
        long value = integer(name);
        if (value != (int) value) {
            throw new IllegalArgumentException("field '" + name + "' is " + value + ", outside the 32-bit range");
        }
        return (int) value;
    }

    /** Returns a field that is an integer or a floating-point number. */
    public double number(String name) {
        return required(name, Number.class).doubleValue();
    }

    /** Returns a boolean field. */
    public boolean flag(String name) {
        return required(name, Boolean.class);
    }

    /** Returns a binary field. */
    public byte[] bytes(String name) {
        return required(name, byte[].class);
    }

    /** Returns a text field as the enum constant of that name. */
    public <E extends Enum<E>> E enumConstant(String name, Class<E> type) {
        return Enum.valueOf(type, text(name));
    }

    /** Returns a list field whose items all have one type. */
    public <T> List<T> list(String name, Class<T> itemType) {
        return items(name, required(name, List.class), itemType);
    }

    /** Returns a list of integers. Throws {@link ArithmeticException} if one does not fit 32 bits. */
    public List<Integer> int32List(String name) {
        return list(name, Long.class).stream().map(Math::toIntExact).toList();
    }

    /** Returns a field that is a map with string keys. */
    public Map<String, Object> map(String name) {
        return stringKeys(name, required(name, Map.class));
    }

    /** Returns a list field whose items are maps. */
    public List<Fields> maps(String name) {
        return list(name, Map.class).stream().map(Fields::new).toList();
    }

    /** Returns a value as a map with string keys. */
    static Map<String, Object> stringKeys(String name, Object value) {
        if (!(value instanceof Map<?, ?> map)) {
            throw new IllegalArgumentException("field '" + name + "' is " + typeName(value) + ", expected a map");
        }
        Map<String, Object> result = new LinkedHashMap<>();
        map.forEach((key, item) -> result.put((String) key, item));
        return result;
    }

    /** Returns a value as a list whose items all have one type. */
    static <T> List<T> items(String name, Object value, Class<T> itemType) {
        if (!(value instanceof List<?> list)) {
            throw new IllegalArgumentException("field '" + name + "' is " + typeName(value) + ", expected a list");
        }
        List<T> result = new ArrayList<>(list.size());
        for (Object item : list) {
            if (!itemType.isInstance(item)) {
                throw new IllegalArgumentException("field '" + name + "' has an item of type " + typeName(item)
                        + ", expected " + itemType.getSimpleName());
            }
            result.add(itemType.cast(item));
        }
        return result;
    }

    private <T> T required(String name, Class<T> type) {
        Object value = fields.get(name);
        if (!type.isInstance(value)) {
            throw new IllegalArgumentException(
                    "field '" + name + "' is " + typeName(value) + ", expected " + type.getSimpleName());
        }
        return type.cast(value);
    }

    private static String typeName(Object value) {
        return value == null ? "missing" : value.getClass().getSimpleName();
    }
}
