package org.agatehatch.cli;

import java.util.List;
import org.apache.commons.cli.Options;

/**
 * One command of the program. A new command is added to the list in {@link Commands}.
 *
 * <p>Errors are thrown as {@link org.agatehatch.api.errors.AgatehatchException}; the program prints them and turns them
 * into an exit code.
 */
public interface Command {
    /** Returns the words that select the command, for example {@code catalogue apply}. */
    String name();

    /** Returns one sentence for the list of commands. */
    String summary();

    /** Returns the positional arguments as the help shows them; empty if there are none. */
    default String arguments() {
        return "";
    }

    /** Returns the command's own options, without those of the program. */
    default Options options() {
        return new Options();
    }

    /** Returns complete command lines for the help. */
    List<String> examples();

    /** Runs the command. */
    ExitCode run(Invocation invocation);
}
