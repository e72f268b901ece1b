package org.agatehatch.cli.catalogue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.cli.Command;
import org.agatehatch.cli.ExitCode;
import org.agatehatch.cli.Invocation;

/** Checks a catalogue file without a node. */
public final class ValidateCommand implements Command {
    @Override
    public String name() {
        return "catalogue validate";
    }

    @Override
    public String summary() {
        return "check a catalogue file without a node";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public List<String> examples() {
        return List.of("agatehatch catalogue validate catalogue.yaml");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        CatalogueFile file = CatalogueFile.read(invocation.onlyArgument("FILE"));
        Catalogue catalogue = file.catalogue();
        ObjectNode result = JsonNodeFactory.instance
                .objectNode()
                .put("valid", true)
                .put("version", catalogue.version())
                .put("backend_servers", catalogue.backendServers().size())
                .put("models", catalogue.models().size())
                .put("services", catalogue.services().size());
        invocation
                .output()
                .print(
                        result,
                        json -> file.name() + ": valid; " + json.path("backend_servers") + " backend servers, "
                                + json.path("models") + " models, " + json.path("services") + " services");
        return ExitCode.OK;
    }
}
