package org.agatehatch.cli.catalogue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.agatehatch.api.catalogue.CatalogueReader;
import org.agatehatch.cli.Command;
import org.agatehatch.cli.ExitCode;
import org.agatehatch.cli.Invocation;
import org.agatehatch.cli.node.NodeAnswer;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Prints the catalogue in force, or an earlier version. */
public final class GetCommand implements Command {
    private static final String VERSION = "version";

    @Override
    public String name() {
        return "catalogue get";
    }

    @Override
    public String summary() {
        return "print the catalogue as YAML";
    }

    @Override
    public Options options() {
        Options options = new Options();
        options.addOption(Option.builder()
                .longOpt(VERSION)
                .hasArg()
                .argName("N")
                .desc("one of the last versions (default: the one in force)")
                .get());
        return options;
    }

    @Override
    public List<String> examples() {
        return List.of("agatehatch catalogue get > catalogue.yaml", "agatehatch catalogue get --version 7");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        invocation.requireAtMost(0);
        NodeAnswer answer = new CatalogueCalls(invocation.node(), invocation.operator())
                .yaml(invocation.number(VERSION, 0, Long.MAX_VALUE));
        ObjectNode result = JsonNodeFactory.instance
                .objectNode()
                .put(
                        "version",
                        answer.catalogueVersion()
                                .orElseGet(() -> CatalogueReader.read(answer.url(), answer.body())
                                        .orThrow()
                                        .version()))
                .put("yaml", answer.body());
        invocation.output().print(result, json -> answer.body());
        return ExitCode.OK;
    }
}
