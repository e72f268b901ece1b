package org.agatehatch.cli;

import java.util.List;
import java.util.Optional;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.cli.node.NodeClient;
import org.agatehatch.cli.output.Output;
import org.apache.commons.cli.CommandLine;

/**
 * What a command runs with.
 *
 * @param line parsed options and arguments of the command
 * @param nodeUrls URLs of nodes in the order in which to try them
 * @param operator name of the operator for the history of changes
 * @param pause waits between polls
 */
public record Invocation(
        CommandLine line, List<String> nodeUrls, String operator, Output output, MonotonicClock clock, Pause pause) {
    public Invocation {
        nodeUrls = List.copyOf(nodeUrls);
    }

    /** Waits for some time. */
    @FunctionalInterface
    public interface Pause {
        /** Waits. */
        void pauseMillis(long millis);
    }

    /** Returns a client of the nodes. */
    public NodeClient node() {
        return NodeClient.of(nodeUrls);
    }

    /** Returns the only positional argument. */
    public String onlyArgument(String name) {
        List<String> arguments = line.getArgList();
        if (arguments.isEmpty()) {
            throw Usage.wrong("the argument " + name + " is missing");
        }
        requireAtMost(1);
        return arguments.get(0);
    }

    /** Fails if there are more positional arguments than that. */
    public void requireAtMost(int count) {
        if (line.getArgList().size() > count) {
            throw Usage.wrong("unexpected argument '" + line.getArgList().get(count) + "'");
        }
    }

    /** Returns the whole number given with an option. */
    public Optional<Long> number(String option, long min, long max) {
        return Optional.ofNullable(line.getOptionValue(option))
                .map(text -> Usage.number("--" + option, text, min, max));
    }
}
