package org.agatehatch.cli.output;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.function.Function;
import org.agatehatch.cli.Usage;

/** Where a command writes its result and its progress, and in which form. */
public final class Output {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PrintStream out;
    private final PrintStream err;
    private final Format format;

    public Output(PrintStream out, PrintStream err, Format format) {
        this.out = out;
        this.err = err;
        this.format = format;
    }

    /** Form of a result. */
    public enum Format {
        TABLE,
        JSON;

        /** Returns the format of this name. */
        public static Format named(String name) {
            return switch (name) {
                case "table" -> TABLE;
                case "json" -> JSON;
                default -> throw Usage.wrong("--output is '" + name + "'; it must be table or json");
            };
        }
    }

    /** Returns the form of results. */
    public Format format() {
        return format;
    }

    /** Prints a result as JSON, or as the text that {@code table} makes of it. */
    public void print(JsonNode result, Function<JsonNode, String> table) {
        out.println(format == Format.JSON ? pretty(result) : table.apply(result).stripTrailing());
    }

    /** Prints a text as it is, whatever the format. */
    public void printText(String text) {
        out.print(text);
    }

    /** Prints a line about progress, which is no part of the result. */
    public void progress(String line) {
        err.println(line);
    }

    private static String pretty(JsonNode result) {
        try {
            return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(result);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree cannot be written", e);
        }
    }
}
