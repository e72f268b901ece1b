package org.agatehatch.cli.catalogue;

import java.util.List;
import java.util.Optional;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.catalogue.CatalogueWriter;
import org.agatehatch.cli.Command;
import org.agatehatch.cli.ExitCode;
import org.agatehatch.cli.Invocation;
import org.agatehatch.cli.Usage;
import org.agatehatch.cli.node.NodeClient;
import org.apache.commons.cli.Options;

/** Makes the content of an earlier version the next version. */
public final class RollbackCommand implements Command {
    @Override
    public String name() {
        return "catalogue rollback";
    }

    @Override
    public String summary() {
        return "make the content of an earlier version the next version";
    }

    @Override
    public String arguments() {
        return "VERSION";
    }

    @Override
    public Options options() {
        return Changes.options();
    }

    @Override
    public List<String> examples() {
        return List.of("agatehatch catalogue history", "agatehatch catalogue rollback 7 --wait");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        Changes.check(invocation);
        long wanted = Usage.number("VERSION", invocation.onlyArgument("VERSION"), 0, Long.MAX_VALUE);
        NodeClient node = invocation.node();
        CatalogueCalls calls = new CatalogueCalls(node, invocation.operator());
        Catalogue inForce = calls.read(Optional.empty());
        if (wanted >= inForce.version()) {
            throw Usage.wrong("version " + wanted + " is not older than version " + inForce.version()
                    + ", which is in force; see 'agatehatch catalogue history'");
        }
        Catalogue old = calls.read(Optional.of(wanted));
        long version = calls.apply("version-" + wanted, CatalogueWriter.write(old), inForce.version());
        Changes.finish(invocation, node, version);
        return ExitCode.OK;
    }
}
