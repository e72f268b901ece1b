package org.agatehatch.api.catalogue;

import java.util.List;
import java.util.Optional;

/**
 * Type, range and default value of a catalogue field.
 *
 * @param defaultValue value if the field is missing; empty if the field is required
 * @param minimum minimum of a number, or minimum length of a text in characters
 * @param maximum maximum of a number, or maximum length of a text in characters
 * @param choices the allowed texts; empty if any text is allowed
 */
record FieldSpec(
        String name,
        FieldKind kind,
        Optional<Object> defaultValue,
        double minimum,
        double maximum,
        List<String> choices,
        String description) {
    private static final int MAX_TEXT_CHARACTERS = 128;

    static FieldSpec text(String name, String description) {
        return new FieldSpec(name, FieldKind.TEXT, Optional.empty(), 1, MAX_TEXT_CHARACTERS, List.of(), description);
    }

    static FieldSpec optionalText(String name, String description) {
        return new FieldSpec(name, FieldKind.TEXT, Optional.of(""), 0, MAX_TEXT_CHARACTERS, List.of(), description);
    }

    static FieldSpec choice(String name, List<String> choices, String description) {
        return new FieldSpec(name, FieldKind.TEXT, Optional.empty(), 1, MAX_TEXT_CHARACTERS, choices, description);
    }

    static FieldSpec choices(String name, List<String> choices, String description) {
        return new FieldSpec(
                name, FieldKind.TEXT_LIST, Optional.of(List.of()), 1, MAX_TEXT_CHARACTERS, choices, description);
    }

    static FieldSpec integer(String name, long minimum, long maximum, String description) {
        return new FieldSpec(name, FieldKind.INTEGER, Optional.empty(), minimum, maximum, List.of(), description);
    }

    static FieldSpec number(String name, double minimum, double maximum, String description) {
        return new FieldSpec(name, FieldKind.NUMBER, Optional.empty(), minimum, maximum, List.of(), description);
    }

    static FieldSpec flag(String name, boolean defaultValue, String description) {
        return new FieldSpec(name, FieldKind.FLAG, Optional.of(defaultValue), 0, 0, List.of(), description);
    }

    FieldSpec withDefault(Object value) {
        return new FieldSpec(name, kind, Optional.of(value), minimum, maximum, choices, description);
    }

    boolean isRequired() {
        return defaultValue.isEmpty();
    }

    /** Returns whether the value has this field's type and is in its range. */
    boolean allows(Object value) {
        return switch (kind) {
            case TEXT -> value instanceof String text && allowsText(text);
            case INTEGER -> value instanceof Long number && number >= minimum && number <= maximum;
            case NUMBER ->
                value instanceof Number number && number.doubleValue() >= minimum && number.doubleValue() <= maximum;
            case FLAG -> value instanceof Boolean;
            case TEXT_LIST ->
                value instanceof List<?> items
                        && items.stream().allMatch(item -> item instanceof String text && allowsText(text));
        };
    }

    /** Returns a description of the allowed values for problem messages. */
    String allowed() {
        return switch (kind) {
            case TEXT -> choices.isEmpty() ? "text of " + range() + " characters" : "one of " + choices;
            case INTEGER -> "integer from " + range();
            case NUMBER -> "number from " + range();
            case FLAG -> "true or false";
            case TEXT_LIST -> "list of any of " + choices;
        };
    }

    private boolean allowsText(String text) {
        return text.length() >= minimum && text.length() <= maximum && (choices.isEmpty() || choices.contains(text));
    }

    private String range() {
        return format(minimum) + " to " + format(maximum);
    }

    static String format(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }
}
