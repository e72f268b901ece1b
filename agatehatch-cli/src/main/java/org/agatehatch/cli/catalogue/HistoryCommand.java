package org.agatehatch.cli.catalogue;

import java.util.List;
import java.util.Map;
import org.agatehatch.cli.Command;
import org.agatehatch.cli.ExitCode;
import org.agatehatch.cli.Invocation;
import org.agatehatch.cli.output.Table;

/** Lists the last changes of the catalogue. */
public final class HistoryCommand implements Command {
    @Override
    public String name() {
        return "catalogue history";
    }

    @Override
    public String summary() {
        return "list the last changes with their operators";
    }

    @Override
    public List<String> examples() {
        return List.of("agatehatch catalogue history");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        invocation.requireAtMost(0);
        invocation
                .output()
                .print(
                        invocation.node().get("catalogue/history", Map.of()).json(),
                        json -> Table.ofObjects(json.path("changes"), List.of("version", "offset", "operator")));
        return ExitCode.OK;
    }
}
