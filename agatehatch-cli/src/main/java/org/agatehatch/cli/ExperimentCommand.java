package org.agatehatch.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.agatehatch.cli.output.Output;
import org.agatehatch.experiment.ExperimentMain;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Runs the decision code against engine models under virtual time. */
final class ExperimentCommand implements Command {
    private static final int SUCCESS = 0;

    @Override
    public String name() {
        return "experiment";
    }

    @Override
    public String summary() {
        return "run the decision code against engine models under virtual time";
    }

    @Override
    public Options options() {
        Options options = new Options();
        options.addOption(option("deployment", "NAME", "almaty, uruguay or all (default all)"));
        options.addOption(option("policy", "NAME", "routing and placement policy, a list, or all (default all)"));
        options.addOption(option("admission", "NAME", "admission, a list, or all (default deadline)"));
        options.addOption(option("seed", "N", "seed of the run (default 1)"));
        options.addOption(option("seeds", "A..B", "several seeds, reported with mean and spread"));
        options.addOption(option("minutes", "M", "virtual minutes of arrivals (default 10)"));
        options.addOption(option("load", "F", "offered load over capacity, or a list (default 0.9)"));
        options.addOption(option("threads", "N", "runs at the same time (default 2)"));
        options.addOption(option("plots", "DIR", "directory for charts of attainment and moves"));
        return options;
    }

    @Override
    public List<String> examples() {
        return List.of(
                "agatehatch experiment --deployment almaty --policy agatehatch --seed 1 --minutes 4",
                "agatehatch --output json experiment --deployment uruguay --policy all --seeds 1..5 --load 0.6,0.9");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        invocation.requireAtMost(0);
        List<String> arguments = new ArrayList<>();
        for (Option option : invocation.line().getOptions()) {
            if (options().hasLongOption(option.getLongOpt())) {
                arguments.add("--" + option.getLongOpt());
                arguments.add(option.getValue());
            }
        }
        arguments.add("--output");
        arguments.add(invocation.output().format() == Output.Format.JSON ? "json" : "table");
        ByteArrayOutputStream result = new ByteArrayOutputStream();
        int code = ExperimentMain.run(
                arguments.toArray(String[]::new), new PrintStream(result, true, StandardCharsets.UTF_8));
        String text = result.toString(StandardCharsets.UTF_8);
        if (code != SUCCESS) {
            throw Usage.wrong(text.strip());
        }
        invocation.output().printText(text);
        return ExitCode.OK;
    }

    private static Option option(String name, String argument, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .desc(description)
                .get();
    }
}
