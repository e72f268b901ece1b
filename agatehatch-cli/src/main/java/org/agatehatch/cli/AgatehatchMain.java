package org.agatehatch.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.slf4j.LoggerFactory;

/** Entry point of the operators' command line. */
public final class AgatehatchMain {
    private AgatehatchMain() {}

    /** Runs one command and ends the process with its exit code. */
    public static void main(String[] arguments) {
        if (LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME) instanceof Logger root) {
            root.setLevel(Level.WARN);
        }
        System.exit(run(List.of(arguments), System.getenv(), System.out, System.err));
    }

    /**
     * Runs one command.
     *
     * @return the exit code
     */
    public static int run(List<String> arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
        Program program = new Program(Commands.all(), environment, out, err, System::nanoTime, AgatehatchMain::pause);
        return program.run(arguments).number();
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting", e);
        }
    }
}
