package org.agatehatch.cli;

import java.util.List;
import org.agatehatch.cli.catalogue.ApplyCommand;
import org.agatehatch.cli.catalogue.DiffCommand;
import org.agatehatch.cli.catalogue.GetCommand;
import org.agatehatch.cli.catalogue.HistoryCommand;
import org.agatehatch.cli.catalogue.RollbackCommand;
import org.agatehatch.cli.catalogue.ValidateCommand;
import org.agatehatch.cli.load.LoadCommand;
import org.agatehatch.cli.report.DrainCommand;
import org.agatehatch.cli.report.Reports;

/** The commands of the program, in the order of the help text. */
final class Commands {
    private Commands() {}

    static List<Command> all() {
        return List.of(
                new ValidateCommand(),
                new DiffCommand(),
                new ApplyCommand(),
                new GetCommand(),
                new HistoryCommand(),
                new RollbackCommand(),
                Reports.status(),
                Reports.nodes(),
                Reports.placement(),
                Reports.accounts(),
                new DrainCommand(),
                new LoadCommand(),
                new ExperimentCommand());
    }
}
