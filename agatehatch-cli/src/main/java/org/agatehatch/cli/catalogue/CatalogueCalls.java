package org.agatehatch.cli.catalogue;

import java.util.Map;
import java.util.Optional;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.CatalogueReader;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.cli.node.NodeAnswer;
import org.agatehatch.cli.node.NodeClient;

/** Calls of the node that concern the catalogue. */
final class CatalogueCalls {
    private static final String PATH = "catalogue";

    private final NodeClient node;
    private final String operator;

    CatalogueCalls(NodeClient node, String operator) {
        this.node = node;
        this.operator = operator;
    }

    /** Returns the catalogue as YAML: the one in force, or that of an earlier version. */
    NodeAnswer yaml(Optional<Long> version) {
        return node.get(
                PATH,
                version.map(number -> Map.of("version", Long.toString(number))).orElse(Map.of()));
    }

    Catalogue read(Optional<Long> version) {
        NodeAnswer answer = yaml(version);
        return CatalogueReader.read(answer.url(), answer.body()).orThrow();
    }

    /** Applies a catalogue and returns its new version. A conflict's message has both versions. */
    long apply(String file, String yaml, long baseVersion) {
        Map<String, String> query =
                Map.of("base_version", Long.toString(baseVersion), "operator", operator, "file", file);
        try {
            return node.post(PATH, query, yaml).json().path("version").asLong();
        } catch (AgatehatchException e) {
            throw e.code() == ErrorCode.VERSION_CONFLICT ? withBothVersions(e, baseVersion) : e;
        }
    }

    private AgatehatchException withBothVersions(AgatehatchException conflict, long baseVersion) {
        String inForce;
        try {
            inForce = Long.toString(read(Optional.empty()).version());
        } catch (AgatehatchException ignored) {
            // The conflict is what the operator has to know; the node's message has its version too.
            inForce = "unknown";
        }
        return new AgatehatchException(
                conflict.code(),
                conflict.step(),
                conflict.peer(),
                conflict.outcome(),
                "the file was edited from version " + baseVersion + ", the version in force is " + inForce
                        + "; export it with 'agatehatch catalogue get', repeat the edit and apply again (node: "
                        + conflict.getMessage() + ")",
                conflict);
    }
}
