package org.agatehatch.api.catalogue;

import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;
import org.yaml.snakeyaml.nodes.Tag;

/**
 * Parses and validates a YAML catalogue. All problems are reported at once, each with its file, line, field, the value
 * found and the allowed values.
 *
 * <pre>{@code
 * Catalogue catalogue = CatalogueReader.read("catalogue.yaml", text).orThrow();
 * }</pre>
 */
public final class CatalogueReader {
    /** Maximum size of a catalogue file in characters. 1,800 entries take about 360 KB. */
    public static final int MAX_CHARACTERS = 4 * 1024 * 1024;

    /** Field with the catalogue version that the file was written from, and to which its changes apply. */
    static final String VERSION_FIELD = "version";

    private static final int MAX_ALIASES = 50;
    /** A valid catalogue has four levels: the document, its sections, entries and lists. */
    private static final int MAX_NESTING = 8;

    /** Accepts plain decimals only, since YAML 1.1 reads 010 as octal and 1_0 as 10. */
    private static final Pattern INTEGER = Pattern.compile("-?(0|[1-9][0-9]{0,17})");

    private static final Pattern NUMBER = Pattern.compile("-?[0-9]{1,18}(\\.[0-9]{1,18})?([eE][-+]?[0-9]{1,2})?");

    private final String file;
    private final List<CatalogueProblem> problems = new ArrayList<>();
    private final Map<String, Integer> lineByPath = new HashMap<>();
    private final CatalogueBuilder builder = new CatalogueBuilder(Catalogue.EMPTY);
    private long version;

    private CatalogueReader(String file) {
        this.file = file;
    }

    /**
     * Reads a catalogue.
     *
     * @param file file name for the problem messages
     */
    public static CatalogueResult read(String file, String yaml) {
        CatalogueReader reader = new CatalogueReader(file);
        reader.parse(yaml);
        Catalogue catalogue = reader.builder.build(reader.version);
        reader.addProblems(CatalogueValidator.validate(catalogue, reader.builder.invalidNames()));
        return CatalogueResult.of(catalogue, reader.problems);
    }

    private void parse(String yaml) {
        if (yaml.length() > MAX_CHARACTERS) {
            addProblem("document", 0, yaml.length() + " characters", "at most " + MAX_CHARACTERS + " characters");
            return;
        }
        LoaderOptions options = new LoaderOptions();
        options.setCodePointLimit(MAX_CHARACTERS);
        options.setMaxAliasesForCollections(MAX_ALIASES);
        options.setNestingDepthLimit(MAX_NESTING);
        try {
            Node document = new Yaml(options).compose(new StringReader(yaml));
            if (document == null) {
                addProblem("document", 1, "no content", "a map of sections");
                return;
            }
            readDocument(document);
        } catch (MarkedYAMLException e) {
            int line = e.getProblemMark() == null ? 0 : e.getProblemMark().getLine() + 1;
            addProblem("document", line, "invalid YAML: " + e.getProblem(), "one YAML document");
        } catch (YAMLException e) {
            addProblem("document", 0, "unsupported YAML: " + e.getMessage(), "one YAML document");
        }
    }

    private void readDocument(Node document) {
        tuples("document", document).forEach((name, tuple) -> {
            Node value = tuple.getValueNode();
            Optional<CatalogueSection<?>> section = CatalogueSections.named(name);
            if (section.isPresent()) {
                if (!isNull(value)) {
                    readSection(section.get(), value);
                }
            } else if (name.equals(VERSION_FIELD)) {
                readVersion(value);
            } else {
                List<String> allowed = new ArrayList<>(List.of(VERSION_FIELD));
                CatalogueSections.ALL.forEach(known -> allowed.add(known.name()));
                addProblem(name, line(tuple.getKeyNode()), "unknown section '" + name + "'", "sections " + allowed);
            }
        });
    }

    private void readVersion(Node node) {
        if (scalar(node) instanceof Long number && number >= 0) {
            version = number;
            return;
        }
        addProblem(VERSION_FIELD, line(node), describe(node), "integer of at least 0");
    }

    private void readSection(CatalogueSection<?> section, Node node) {
        tuples(section.name(), node).forEach((name, tuple) -> {
            String path = section.name() + "." + name;
            lineByPath.put(path, line(tuple.getKeyNode()));
            Map<String, Object> fields = new LinkedHashMap<>();
            tuples(path, tuple.getValueNode()).forEach((fieldName, field) -> {
                lineByPath.put(path + "." + fieldName, line(field.getKeyNode()));
                fields.put(fieldName, value(section.field(fieldName), field.getValueNode()));
            });
            List<CatalogueProblem> found = new ArrayList<>();
            builder.put(section, name, fields, false, found);
            addProblems(found);
        });
    }

    private Map<String, NodeTuple> tuples(String path, Node node) {
        Map<String, NodeTuple> tuples = new LinkedHashMap<>();
        if (!(node instanceof MappingNode mapping)) {
            addProblem(path, line(node), describe(node), "a map");
            return tuples;
        }
        for (NodeTuple tuple : mapping.getValue()) {
            if (!(tuple.getKeyNode() instanceof ScalarNode key)) {
                addProblem(path, line(tuple.getKeyNode()), describe(tuple.getKeyNode()), "a name as key");
            } else if (tuples.putIfAbsent(key.getValue(), tuple) != null) {
                addProblem(
                        path + "." + key.getValue(),
                        line(key),
                        "duplicate key '" + key.getValue() + "'",
                        "each key once");
            }
        }
        return tuples;
    }

    private static Object value(FieldSpec field, Node node) {
        if (field != null && field.kind() == FieldKind.TEXT && node instanceof ScalarNode text && !isNull(node)) {
            return text.getValue();
        }
        if (node instanceof SequenceNode sequence) {
            return sequence.getValue().stream().map(CatalogueReader::text).toList();
        }
        return node instanceof ScalarNode ? scalar(node) : describe(node);
    }

    // FieldSpec.allows rejects list items that are not strings, so other nodes become a description that no choice
    // matches.
    private static Object text(Node node) {
        return node instanceof ScalarNode scalar ? scalar.getValue() : describe(node);
    }

    private static Object scalar(Node node) {
        if (!(node instanceof ScalarNode scalar)) {
            return null;
        }
        String text = scalar.getValue();
        if (scalar.getTag().equals(Tag.NULL)) {
            return null;
        }
        if (scalar.getTag().equals(Tag.INT) && INTEGER.matcher(text).matches()) {
            return Long.parseLong(text);
        }
        if (scalar.getTag().equals(Tag.FLOAT) && NUMBER.matcher(text).matches()) {
            return Double.parseDouble(text);
        }
        if (scalar.getTag().equals(Tag.BOOL) && (text.equals("true") || text.equals("false"))) {
            return text.equals("true");
        }
        return text;
    }

    private void addProblems(List<CatalogueProblem> found) {
        found.forEach(problem -> problems.add(problem.at(file, lineOf(problem.field()))));
    }

    /** Returns the line of the field or, if the field is missing, the line of its entry. */
    private int lineOf(String path) {
        Integer line = lineByPath.get(path);
        int lastDot = path.lastIndexOf('.');
        if (line != null || lastDot < 0) {
            return line == null ? 0 : line;
        }
        return lineOf(path.substring(0, lastDot));
    }

    private void addProblem(String path, int line, String found, String allowed) {
        problems.add(new CatalogueProblem(file, line, path, found, allowed));
    }

    private static boolean isNull(Node node) {
        return node.getTag().equals(Tag.NULL);
    }

    private static int line(Node node) {
        return node.getStartMark().getLine() + 1;
    }

    private static String describe(Node node) {
        if (node instanceof ScalarNode scalar) {
            return "'" + scalar.getValue() + "'";
        }
        return node instanceof SequenceNode ? "a list" : "a map";
    }
}
