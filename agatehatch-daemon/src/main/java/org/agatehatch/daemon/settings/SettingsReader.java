package org.agatehatch.daemon.settings;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Reads settings from flags and environment variables. A flag takes precedence over its variable, and all errors are
 * reported together.
 */
public final class SettingsReader {
    private static final Setting<String> NODE_NAME =
            text("node-name", "NAME", "node-1", "letters, digits, '-' and '.'", "name of this node", "[A-Za-z0-9.-]+");
    private static final Setting<String> FAILURE_DOMAIN = text(
            "failure-domain", "NAME", "local", "letters, digits and '-'", "failure domain of this VM", "[A-Za-z0-9-]+");
    private static final Setting<String> REGION =
            text("region", "NAME", "local", "letters, digits and '-'", "region of this VM", "[A-Za-z0-9-]+");
    private static final Setting<String> LISTEN_HOST =
            host("listen-host", "127.0.0.1", "IP number for callers and operators");
    private static final Setting<Integer> LISTEN_PORT =
            integer("listen-port", "PORT", "8080", 0, 65_535, "port for callers and operators; 0 for any free port");
    private static final Setting<Integer> PEER_PORT =
            integer("peer-port", "PORT", "0", 0, 65_535, "port for links from other nodes; 0 for any free port");
    private static final Setting<String> ADVERTISED_HOST =
            host("advertised-host", "127.0.0.1", "IP number under which others reach this node");
    private static final Setting<URI> LOG_URL =
            url("log-url", "http://127.0.0.1:7001", "base URL of the append-only log");
    private static final Setting<URI> VM_LIST_URL =
            url("vm-list-url", "http://127.0.0.1:7003", "base URL of the VM list");
    private static final Setting<String> PEER_KEY = new Setting<>(
            "peer-key",
            "KEY",
            Optional.empty(),
            "at least " + NodeSettings.MIN_PEER_KEY_LENGTH + " characters",
            "shared key of all nodes; prefer the environment variable",
            SettingsReader::parseKey,
            true);
    private static final Setting<Integer> CLAIM_PARTITIONS = integer(
            "claim-partitions", "N", "1", 1, 256, "claim streams; the same on all nodes (1 for 8 nodes, 32 for 390)");
    private static final Setting<Integer> CLAIM_INTERVAL_MILLIS =
            integer("claim-interval-ms", "MS", "40", 1, 1_000, "time over which claims are gathered into one append");
    private static final Setting<Integer> ENTRY_ANSWER_MILLIS = integer(
            "entry-answer-ms", "MS", "10000", 0, 600_000, "how long callers may keep an answer of /v1/entry-nodes");
    private static final Setting<Integer> DRAIN_LIMIT_MILLIS =
            integer("drain-limit-ms", "MS", "120000", 0, 3_600_000, "longest wait for requests in flight at a stop");
    private static final Setting<Integer> MAX_BODY_BYTES =
            integer("max-body-bytes", "BYTES", "1048576", 1_024, 67_108_864, "largest request body");
    private static final Setting<String> LOG_FORMAT =
            text("log-format", "FORMAT", "text", "text or json", "format of log lines on standard output", "text|json");

    private static final List<Setting<?>> SETTINGS = List.of(
            NODE_NAME,
            FAILURE_DOMAIN,
            REGION,
            LISTEN_HOST,
            LISTEN_PORT,
            PEER_PORT,
            ADVERTISED_HOST,
            LOG_URL,
            VM_LIST_URL,
            PEER_KEY,
            CLAIM_PARTITIONS,
            CLAIM_INTERVAL_MILLIS,
            ENTRY_ANSWER_MILLIS,
            DRAIN_LIMIT_MILLIS,
            MAX_BODY_BYTES,
            LOG_FORMAT);
    private static final String EMBEDDED_FLAG = "embedded";
    private static final String EMBEDDED_PEER_KEY = "embedded-only-peer-key";

    private final Map<String, String> environment;
    private final List<String> errors = new ArrayList<>();

    public SettingsReader(Map<String, String> environment) {
        this.environment = Map.copyOf(environment);
    }

    /** Returns the flags for parsing and for the help text. */
    public static Options options() {
        Options options = new Options();
        for (Setting<?> setting : SETTINGS) {
            options.addOption(Option.builder()
                    .longOpt(setting.flag())
                    .hasArg()
                    .argName(setting.argument())
                    .desc(describe(setting))
                    .get());
        }
        options.addOption(null, EMBEDDED_FLAG, false, "run stand-ins of the platform inside this process");
        options.addOption(null, "print-settings", false, "print the settings with their sources and exit");
        options.addOption(null, "help", false, "print this help and exit");
        return options;
    }

    /** Parses the flags. Throws {@code INVALID_SETTING} for an unknown flag or a positional argument. */
    public static CommandLine parse(String[] arguments) {
        try {
            CommandLine line = new DefaultParser(false).parse(options(), arguments);
            if (!line.getArgList().isEmpty()) {
                throw invalid("unexpected argument '" + line.getArgList().get(0) + "'; see agatehatchd --help");
            }
            return line;
        } catch (ParseException e) {
            throw invalid(e.getMessage() + "; see agatehatchd --help");
        }
    }

    /** Reads and validates all settings. Throws {@code INVALID_SETTING} with one line for each error. */
    public NodeSettings read(CommandLine line) {
        errors.clear();
        boolean embedded = line.hasOption(EMBEDDED_FLAG);
        NodeSettings settings = new NodeSettings(
                value(line, NODE_NAME, ""),
                value(line, FAILURE_DOMAIN, ""),
                value(line, REGION, ""),
                value(line, LISTEN_HOST, ""),
                value(line, LISTEN_PORT, 0),
                value(line, PEER_PORT, 0),
                value(line, ADVERTISED_HOST, ""),
                value(line, LOG_URL, URI.create("http://127.0.0.1")),
                value(line, VM_LIST_URL, URI.create("http://127.0.0.1")),
                peerKey(line, embedded),
                value(line, CLAIM_PARTITIONS, 1),
                value(line, CLAIM_INTERVAL_MILLIS, 1),
                value(line, ENTRY_ANSWER_MILLIS, 0),
                value(line, DRAIN_LIMIT_MILLIS, 0),
                value(line, MAX_BODY_BYTES, 0),
                value(line, LOG_FORMAT, ""),
                embedded);
        if (!errors.isEmpty()) {
            throw invalid(String.join("\n", errors));
        }
        return settings;
    }

    /** Returns one line for each setting: flag, value and source. Secrets are masked. */
    public String print(CommandLine line) {
        return SETTINGS.stream()
                .map(setting -> "--" + setting.flag() + "="
                        + (setting.secret() ? "***" : rawText(line, setting).orElse("")) + "  ("
                        + source(line, setting) + ")")
                .collect(Collectors.joining("\n"));
    }

    private String peerKey(CommandLine line, boolean embedded) {
        if (embedded && rawText(line, PEER_KEY).isEmpty()) {
            return EMBEDDED_PEER_KEY;
        }
        return value(line, PEER_KEY, "");
    }

    private <T> T value(CommandLine line, Setting<T> setting, T fallback) {
        Optional<String> raw = rawText(line, setting);
        if (raw.isEmpty()) {
            errors.add("--" + setting.flag() + " is required; set it or " + setting.variable() + ": "
                    + setting.description());
            return fallback;
        }
        try {
            return setting.parse().apply(raw.get());
        } catch (IllegalArgumentException e) {
            String shown = setting.secret() ? "the given value" : "'" + raw.get() + "'";
            errors.add("--" + setting.flag() + " (" + source(line, setting) + "): " + shown + " is not allowed; use "
                    + setting.allowed());
            return fallback;
        }
    }

    private Optional<String> rawText(CommandLine line, Setting<?> setting) {
        if (line.hasOption(setting.flag())) {
            return Optional.of(line.getOptionValue(setting.flag()));
        }
        String fromEnvironment = environment.get(setting.variable());
        return fromEnvironment != null ? Optional.of(fromEnvironment) : setting.defaultText();
    }

    private String source(CommandLine line, Setting<?> setting) {
        if (line.hasOption(setting.flag())) {
            return "flag";
        }
        return environment.containsKey(setting.variable()) ? setting.variable() : "default";
    }

    private static String describe(Setting<?> setting) {
        String base = setting.description() + "; " + setting.allowed() + " [" + setting.variable() + "]";
        return setting.defaultText()
                .map(text -> base + " (default " + text + ")")
                .orElse(base + " (required)");
    }

    private static Setting<String> text(
            String flag, String argument, String defaultText, String allowed, String description, String pattern) {
        Function<String, String> parse = value -> {
            if (!value.matches(pattern)) {
                throw new IllegalArgumentException(value);
            }
            return value;
        };
        return new Setting<>(flag, argument, Optional.of(defaultText), allowed, description, parse, false);
    }

    private static Setting<String> host(String flag, String defaultText, String description) {
        return text(
                flag, "IP", defaultText, "an IP number, not a host name", description, "[0-9.]{7,15}|[0-9a-fA-F:]+");
    }

    private static Setting<Integer> integer(
            String flag, String argument, String defaultText, int min, int max, String description) {
        Function<String, Integer> parse = value -> {
            int parsed = Integer.parseInt(value);
            if (parsed < min || parsed > max) {
                throw new IllegalArgumentException(value);
            }
            return parsed;
        };
        String allowed = "a whole number from " + min + " to " + max;
        return new Setting<>(flag, argument, Optional.of(defaultText), allowed, description, parse, false);
    }

    private static Setting<URI> url(String flag, String defaultText, String description) {
        Function<String, URI> parse = value -> {
            URI uri = URI.create(value);
            if (!"http".equals(uri.getScheme()) || uri.getHost() == null || uri.getPort() < 1) {
                throw new IllegalArgumentException(value);
            }
            return uri;
        };
        String allowed = "http://IP:PORT";
        return new Setting<>(flag, "URL", Optional.of(defaultText), allowed, description, parse, false);
    }

    private static String parseKey(String value) {
        if (value.length() < NodeSettings.MIN_PEER_KEY_LENGTH) {
            throw new IllegalArgumentException("too short");
        }
        return value;
    }

    private static AgatehatchException invalid(String message) {
        return new AgatehatchException(ErrorCode.INVALID_SETTING, "read settings", "self", Outcome.NOT_RUN, message);
    }
}
