package org.agatehatch.cli.report;

import java.util.List;
import java.util.Map;
import org.agatehatch.cli.Command;
import org.agatehatch.cli.ExitCode;
import org.agatehatch.cli.Invocation;
import org.apache.commons.cli.Options;

/** Takes a backend server out of service, or puts it back. */
public final class DrainCommand implements Command {
    private static final String UNDO = "undo";

    @Override
    public String name() {
        return "drain";
    }

    @Override
    public String summary() {
        return "take a backend server out of service, or put it back with --undo";
    }

    @Override
    public String arguments() {
        return "SERVER";
    }

    @Override
    public Options options() {
        Options options = new Options();
        options.addOption(null, UNDO, false, "put the server back into service");
        return options;
    }

    @Override
    public List<String> examples() {
        return List.of("agatehatch drain runner-1", "agatehatch drain runner-1 --undo");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        String server = invocation.onlyArgument("SERVER");
        boolean draining = !invocation.line().hasOption(UNDO);
        Map<String, String> query = Map.of(
                "backend_server", server, "draining", Boolean.toString(draining), "operator", invocation.operator());
        invocation
                .output()
                .print(
                        invocation.node().post("drain", query, "").json(),
                        json -> draining
                                ? server + " gets no new work; requests in flight end there"
                                : server + " is back in service");
        return ExitCode.OK;
    }
}
