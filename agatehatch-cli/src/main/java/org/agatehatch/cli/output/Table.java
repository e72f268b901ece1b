package org.agatehatch.cli.output;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Lays out rows in columns. */
public final class Table {
    private static final String GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    /** Creates a table with a header row. */
    public Table(List<String> header) {
        rows.add(List.copyOf(header));
    }

    /** Returns a table of the given fields of each object in a list. */
    public static String ofObjects(JsonNode list, List<String> fields) {
        Table table = new Table(fields);
        for (JsonNode object : list) {
            table.row(fields.stream().map(field -> text(object.path(field))).toList());
        }
        return table.toString();
    }

    /** Adds a row. */
    public Table row(List<String> cells) {
        rows.add(List.copyOf(cells));
        return this;
    }

    private static String text(JsonNode value) {
        return value.isValueNode() ? value.asText() : value.isMissingNode() ? "-" : value.toString();
    }

    @Override
    public String toString() {
        int columns = rows.get(0).size();
        int[] widths = new int[columns];
        for (List<String> row : rows) {
            for (int i = 0; i < columns; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < columns; i++) {
                line.append(row.get(i))
                        .append(" ".repeat(widths[i] - row.get(i).length()))
                        .append(GAP);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }
}
