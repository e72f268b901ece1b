package org.agatehatch.cli;

import java.util.Collection;
import java.util.List;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Renders help texts. */
final class Help {
    private static final int NAME_COLUMN = 26;

    private Help() {}

    static String program(List<Command> commands, Options general) {
        StringBuilder text = new StringBuilder("Usage: agatehatch [--node URL] <command> [options]\n\nCommands:\n");
        commands.forEach(command -> line(text, command.name(), command.summary()));
        text.append("\nEach command has its own --help.\n");
        options(text, "Options of every command", general.getOptions());
        exitCodes(text);
        text.append("\nExamples:\n  agatehatch --node http://127.0.0.1:8080 status\n")
                .append("  agatehatch catalogue get > catalogue.yaml\n")
                .append("  agatehatch catalogue apply catalogue.yaml --wait\n");
        return text.toString();
    }

    static String command(Command command, Options general) {
        StringBuilder text = new StringBuilder("Usage: agatehatch ").append(command.name());
        if (!command.arguments().isEmpty()) {
            text.append(' ').append(command.arguments());
        }
        text.append(" [options]\n\n").append(command.summary()).append('\n');
        Collection<Option> own = command.options().getOptions();
        if (!own.isEmpty()) {
            options(text, "Options", own);
        }
        options(text, "Options of every command", general.getOptions());
        exitCodes(text);
        text.append("\nExamples:\n");
        command.examples().forEach(example -> text.append("  ").append(example).append('\n'));
        return text.toString();
    }

    private static void options(StringBuilder text, String title, Collection<Option> options) {
        text.append('\n').append(title).append(":\n");
        options.forEach(option -> {
            String argument = option.hasArg() ? " " + option.getArgName() : "";
            line(text, "--" + option.getLongOpt() + argument, option.getDescription());
        });
    }

    private static void exitCodes(StringBuilder text) {
        text.append("\nExit codes:\n");
        for (ExitCode code : ExitCode.values()) {
            line(text, Integer.toString(code.number()), code.meaning());
        }
    }

    private static void line(StringBuilder text, String name, String description) {
        String padding = " ".repeat(Math.max(1, NAME_COLUMN - name.length()));
        text.append("  ").append(name).append(padding).append(description).append('\n');
    }
}
