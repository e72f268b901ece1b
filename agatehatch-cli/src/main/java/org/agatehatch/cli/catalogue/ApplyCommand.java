package org.agatehatch.cli.catalogue;

import java.util.List;
import java.util.Optional;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.CatalogueDiff;
import org.agatehatch.cli.Command;
import org.agatehatch.cli.ExitCode;
import org.agatehatch.cli.Invocation;
import org.agatehatch.cli.node.NodeClient;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Makes a file the next version of the catalogue. */
public final class ApplyCommand implements Command {
    private static final String BASE_VERSION = "base-version";

    @Override
    public String name() {
        return "catalogue apply";
    }

    @Override
    public String summary() {
        return "make a catalogue file the next version";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public Options options() {
        Options options = Changes.options();
        options.addOption(Option.builder()
                .longOpt(BASE_VERSION)
                .hasArg()
                .argName("N")
                .desc("version that the file was edited from (default: the file's 'version:')")
                .get());
        return options;
    }

    @Override
    public List<String> examples() {
        return List.of(
                "agatehatch catalogue get > catalogue.yaml   # edit it, then:",
                "agatehatch catalogue apply catalogue.yaml --wait --timeout-ms 15000",
                "agatehatch catalogue apply generated.yaml --base-version 7");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        Changes.check(invocation);
        CatalogueFile file = CatalogueFile.read(invocation.onlyArgument("FILE"));
        long baseVersion = invocation.number(BASE_VERSION, 0, Long.MAX_VALUE).orElseGet(file::baseVersion);
        NodeClient node = invocation.node();
        CatalogueCalls calls = new CatalogueCalls(node, invocation.operator());
        Catalogue inForce = calls.read(Optional.empty());
        // The node refuses a file without changes; for a script that applies the same file again that is no failure.
        boolean unchanged = inForce.version() == baseVersion
                && CatalogueDiff.between(inForce, file.catalogue()).isEmpty();
        if (unchanged) {
            invocation.output().progress("the file equals version " + baseVersion + "; there is nothing to apply");
        }
        long version = unchanged ? baseVersion : calls.apply(file.name(), file.yaml(), baseVersion);
        Changes.finish(invocation, node, version);
        return ExitCode.OK;
    }
}
