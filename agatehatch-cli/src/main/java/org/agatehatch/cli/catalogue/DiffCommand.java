package org.agatehatch.cli.catalogue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.CatalogueDiff;
import org.agatehatch.cli.Command;
import org.agatehatch.cli.ExitCode;
import org.agatehatch.cli.Invocation;

/** Shows what a file would change in the catalogue in force. */
public final class DiffCommand implements Command {
    private static final ObjectMapper JSON = new ObjectMapper();

    @Override
    public String name() {
        return "catalogue diff";
    }

    @Override
    public String summary() {
        return "show what a catalogue file would change";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public List<String> examples() {
        return List.of("agatehatch catalogue diff catalogue.yaml");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        CatalogueFile file = CatalogueFile.read(invocation.onlyArgument("FILE"));
        Catalogue inForce = new CatalogueCalls(invocation.node(), invocation.operator()).read(Optional.empty());
        CatalogueDiff diff = CatalogueDiff.between(inForce, file.catalogue());
        ObjectNode result = JSON.createObjectNode();
        result.put("version_in_force", inForce.version());
        if (file.namesVersion()) {
            result.put("file_version", file.catalogue().version());
        }
        result.set("upserts", JSON.valueToTree(diff.upserts()));
        result.set("removals", JSON.valueToTree(diff.removals()));
        invocation.output().print(result, json -> {
            String changes = diff.isEmpty() ? "no changes\n" : diff.toText(inForce);
            boolean old = file.namesVersion() && file.catalogue().version() != inForce.version();
            return "version in force: " + inForce.version() + "\n"
                    + (old
                            ? "the file was edited from version "
                                    + file.catalogue().version() + ", apply would be a conflict\n"
                            : "")
                    + changes;
        });
        return ExitCode.OK;
    }
}
