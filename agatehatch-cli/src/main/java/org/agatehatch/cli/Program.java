package org.agatehatch.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.cli.output.Output;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Finds the command, parses its options, runs it and turns errors into messages and exit codes. */
final class Program {
    static final String NODE = "node";
    static final String OUTPUT = "output";
    static final String HELP = "help";
    private static final String NODE_VARIABLE = "AGATEHATCH_NODE";
    private static final String DEFAULT_NODE = "http://127.0.0.1:8080";
    private static final int MAX_NAME_WORDS = 2;

    private final List<Command> commands;
    private final Map<String, String> environment;
    private final PrintStream out;
    private final PrintStream err;
    private final MonotonicClock clock;
    private final Invocation.Pause pause;

    Program(
            List<Command> commands,
            Map<String, String> environment,
            PrintStream out,
            PrintStream err,
            MonotonicClock clock,
            Invocation.Pause pause) {
        this.commands = List.copyOf(commands);
        this.environment = Map.copyOf(environment);
        this.out = out;
        this.err = err;
        this.clock = clock;
        this.pause = pause;
    }

    /** Returns the options that every command takes. */
    static Options options() {
        Options options = new Options();
        options.addOption(Option.builder()
                .longOpt(NODE)
                .hasArg()
                .argName("URL[,URL]")
                .desc("URLs of nodes, tried in order; also from " + NODE_VARIABLE + " (default " + DEFAULT_NODE + ")")
                .get());
        options.addOption(Option.builder()
                .longOpt(OUTPUT)
                .hasArg()
                .argName("table|json")
                .desc("form of the output (default table)")
                .get());
        options.addOption(null, HELP, false, "print help and exit");
        return options;
    }

    ExitCode run(List<String> arguments) {
        boolean json = asksForJson(arguments);
        try {
            return dispatch(arguments);
        } catch (AgatehatchException e) {
            ExitCode code = ExitCode.of(e);
            err.println(ErrorText.of(e, code, json));
            return code;
        } finally {
            out.flush();
            err.flush();
        }
    }

    private ExitCode dispatch(List<String> arguments) {
        CommandLine general = parse(options(), arguments, true);
        List<String> words = general.getArgList();
        if (words.isEmpty()) {
            if (!general.hasOption(HELP)) {
                throw Usage.wrong("no command given; see agatehatch --help");
            }
            out.print(Help.program(commands, options()));
            return ExitCode.OK;
        }
        Optional<Command> command = find(words);
        if (command.isEmpty()) {
            return withoutCommand(words, general);
        }
        List<String> rest = new ArrayList<>(arguments.subList(0, arguments.size() - words.size()));
        rest.addAll(words.subList(wordCount(command.get()), words.size()));
        Options options = options();
        command.get().options().getOptions().forEach(options::addOption);
        CommandLine line = parse(options, rest, false);
        if (line.hasOption(HELP)) {
            out.print(Help.command(command.get(), options()));
            return ExitCode.OK;
        }
        return command.get().run(invocation(line));
    }

    private ExitCode withoutCommand(List<String> words, CommandLine general) {
        List<Command> group = commands.stream()
                .filter(command -> command.name().startsWith(words.get(0) + " "))
                .toList();
        if (!group.isEmpty() && (general.hasOption(HELP) || words.contains("--" + HELP))) {
            out.print(Help.program(group, options()));
            return ExitCode.OK;
        }
        List<Command> offered = group.isEmpty() ? commands : group;
        throw Usage.wrong("there is no command '" + String.join(" ", words) + "'; the commands are "
                + offered.stream().map(Command::name).toList() + ", see agatehatch --help");
    }

    private Optional<Command> find(List<String> words) {
        return commands.stream()
                .filter(command -> wordCount(command) <= words.size()
                        && command.name().equals(String.join(" ", words.subList(0, wordCount(command)))))
                .max(Comparator.comparingInt(Program::wordCount));
    }

    private static int wordCount(Command command) {
        return Math.min(MAX_NAME_WORDS, command.name().split(" ", -1).length);
    }

    private Invocation invocation(CommandLine line) {
        String urls = line.getOptionValue(NODE, environment.getOrDefault(NODE_VARIABLE, DEFAULT_NODE));
        List<String> nodes =
                Arrays.stream(urls.split(",", -1)).map(String::trim).toList();
        String operator = environment.getOrDefault("USER", "unknown");
        Output output = new Output(out, err, Output.Format.named(line.getOptionValue(OUTPUT, "table")));
        return new Invocation(line, nodes, operator, output, clock, pause);
    }

    private static CommandLine parse(Options options, List<String> arguments, boolean stopAtCommand) {
        try {
            return new DefaultParser(false).parse(options, arguments.toArray(new String[0]), stopAtCommand);
        } catch (ParseException e) {
            throw Usage.wrong(e.getMessage() + "; see --help of the command");
        }
    }

    /** Errors in the options themselves are shown in the wanted form too, so the parser is not used here. */
    private static boolean asksForJson(List<String> arguments) {
        int option = arguments.indexOf("--" + OUTPUT);
        boolean separate = option >= 0
                && option + 1 < arguments.size()
                && arguments.get(option + 1).equals("json");
        return separate || arguments.contains("--" + OUTPUT + "=json");
    }
}
