package org.agatehatch.standins;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.DoublePredicate;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;
import org.agatehatch.standins.engine.EngineFaults;
import org.agatehatch.standins.engine.EngineSettings;
import org.agatehatch.standins.http.Json;
import org.agatehatch.standins.log.LogFaults;
import org.agatehatch.standins.service.ServiceFaults;
import org.agatehatch.standins.vmlist.VmListFaults;
import org.agatehatch.standins.weights.WeightStoreFaults;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Reads the settings of {@link PlatformMain} from flags and environment variables; the flag wins. */
final class PlatformOptions {
    static final String ENVIRONMENT_PREFIX = "AGATEHATCH_PLATFORM_";

    private static final int MAX_ENGINES = 1_000;
    private static final int MAX_SERVERS = 1_000;
    private static final int MAX_PORT = 65_535;

    private final CommandLine line;
    private final Map<String, String> environment;
    private final List<String> errors = new ArrayList<>();

    private PlatformOptions(CommandLine line, Map<String, String> environment) {
        this.line = line;
        this.environment = environment;
    }

    /** Returns the flags, in the order of the help text. */
    static Options flags() {
        Options options = new Options();
        options.addOption(flag("host", "ADDRESS", "loopback address to listen on; default 127.0.0.1"));
        options.addOption(flag("base-port", "PORT", "port of the log, the others follow; default 0: ephemeral ports"));
        options.addOption(flag("engines", "COUNT", "number of engines runner-1, runner-2...; default 2"));
        options.addOption(flag("services", "NAME=COUNT,...", "servers of plain services; default none"));
        options.addOption(flag("failure-domains", "NAME,...", "spread servers over these; default domain-a,domain-b"));
        options.addOption(flag("time-scale", "FACTOR", "run engines and weight store faster; default 1"));
        options.addOption(flag("ignore-fencing", "NAME,...", "engines that ignore fencing numbers; default none"));
        options.addOption(flag("adapter-loads", "COUNT", "adapter loads in flight at full speed; default 30"));
        options.addOption(flag("engine-settings", "JSON", "fields of EngineSettings that differ from the defaults"));
        options.addOption(flag("engine-faults", "JSON", "fields of EngineFaults, as for POST /faults"));
        options.addOption(flag("service-faults", "JSON", "fields of ServiceFaults"));
        options.addOption(flag("log-faults", "JSON", "fields of LogFaults"));
        options.addOption(flag("vm-list-faults", "JSON", "fields of VmListFaults"));
        options.addOption(flag("weight-store-faults", "JSON", "fields of WeightStoreFaults"));
        options.addOption(
                Option.builder().longOpt("help").desc("print this text").build());
        return options;
    }

    /** Returns the settings; fails with {@code INVALID_SETTING} and a message that names all errors at once. */
    static PlatformSettings parse(String[] arguments, Map<String, String> environment) {
        CommandLine line;
        try {
            line = new DefaultParser().parse(flags(), arguments);
        } catch (ParseException e) {
            throw invalid(List.of(e.getMessage() + "; see --help"));
        }
        PlatformOptions options = new PlatformOptions(line, environment);
        line.getArgList().forEach(extra -> options.errors.add("argument '" + extra + "' is not a flag; see --help"));
        return options.settings();
    }

    private PlatformSettings settings() {
        PlatformSettings standard = PlatformSettings.standard(0, 1);
        String host = host(standard.host());
        int engineCount = (int) number("engines", 2, value -> value >= 0 && value <= MAX_ENGINES && isWhole(value));
        int basePort = (int) number("base-port", 0, value -> value >= 0 && value <= MAX_PORT && isWhole(value));
        double timeScale = number("time-scale", 1, value -> value > 0);
        int adapterLoads = (int) number("adapter-loads", 30, value -> value >= 1 && isWhole(value));
        List<EngineSettings> engines = engines(engineCount);
        List<PlatformSettings.ServiceServer> services = services();
        List<String> domains = list("failure-domains", standard.failureDomains());
        LogFaults log = json("log-faults", LogFaults.none(), LogFaults.class);
        VmListFaults vmList = json("vm-list-faults", VmListFaults.none(), VmListFaults.class);
        WeightStoreFaults weightStore = json("weight-store-faults", WeightStoreFaults.none(), WeightStoreFaults.class);
        EngineFaults engineFaults = json("engine-faults", EngineFaults.none(), EngineFaults.class);
        ServiceFaults serviceFaults = json("service-faults", ServiceFaults.none(), ServiceFaults.class);
        int lastPort = basePort + 2 + engines.size() + services.size();
        if (basePort > 0 && lastPort > MAX_PORT) {
            errors.add("--base-port " + basePort + " leaves no ports for all stand-ins; the last would be " + lastPort
                    + ", choose a lower one");
        }
        if (!errors.isEmpty()) {
            throw invalid(errors);
        }
        return new PlatformSettings(
                host,
                basePort,
                timeScale,
                engines,
                services,
                domains,
                adapterLoads,
                log,
                vmList,
                weightStore,
                engineFaults,
                serviceFaults);
    }

    private String host(String defaultHost) {
        String host = text("host", defaultHost);
        try {
            if (!InetAddress.getByName(host).isLoopbackAddress()) {
                errors.add("--host " + host + " is no loopback address; use 127.0.0.1");
            }
        } catch (UnknownHostException e) {
            errors.add("--host " + host + " is no address; use 127.0.0.1");
        }
        return host;
    }

    private List<EngineSettings> engines(int count) {
        Set<String> ignoring = Set.copyOf(list("ignore-fencing", List.of()));
        EngineSettings template = json("engine-settings", EngineSettings.standard("runner"), EngineSettings.class);
        List<EngineSettings> engines = new ArrayList<>();
        List<String> names = new ArrayList<>();
        for (int number = 1; number <= count; number++) {
            String name = "runner-" + number;
            names.add(name);
            boolean checks = template.checksFencing() && !ignoring.contains(name);
            engines.add(template.withName(name).withChecksFencing(checks));
        }
        ignoring.stream()
                .filter(name -> !names.contains(name))
                .sorted()
                .forEach(name -> errors.add(
                        "--ignore-fencing names '" + name + "', which is no engine; the engines are " + names));
        return engines;
    }

    private List<PlatformSettings.ServiceServer> services() {
        List<PlatformSettings.ServiceServer> servers = new ArrayList<>();
        for (String entry : list("services", List.of())) {
            String[] parts = entry.split("=", -1);
            boolean wellFormed = parts.length == 2 && !parts[0].isBlank() && parts[1].matches("[1-9][0-9]{0,3}");
            if (!wellFormed || Integer.parseInt(parts[1]) > MAX_SERVERS) {
                errors.add("--services has '" + entry + "'; write NAME=COUNT with a count from 1 to " + MAX_SERVERS);
                continue;
            }
            for (int number = 1; number <= Integer.parseInt(parts[1]); number++) {
                servers.add(new PlatformSettings.ServiceServer(parts[0], parts[0] + "-" + number));
            }
        }
        return servers;
    }

    private double number(String name, double defaultValue, DoublePredicate allowed) {
        String text = text(name, "");
        if (text.isEmpty()) {
            return defaultValue;
        }
        try {
            double value = Double.parseDouble(text);
            if (allowed.test(value)) {
                return value;
            }
        } catch (NumberFormatException ignored) {
            // Reported below, as a number outside the bounds is.
        }
        errors.add("--" + name + " is '" + text + "', which is no number or out of bounds; see --help");
        return defaultValue;
    }

    private List<String> list(String name, List<String> defaultValue) {
        String text = text(name, "");
        if (text.isEmpty()) {
            return defaultValue;
        }
        List<String> items =
                Arrays.stream(text.split(",", -1)).map(String::trim).toList();
        if (items.contains("")) {
            errors.add("--" + name + " is '" + text + "', which has an empty item; separate items with one comma");
        }
        return items;
    }

    private <T> T json(String name, T defaults, Class<T> type) {
        String text = text(name, "");
        if (text.isEmpty()) {
            return defaults;
        }
        try {
            return Json.merge(defaults, Json.tree(text.getBytes(StandardCharsets.UTF_8)), type);
        } catch (AgatehatchException e) {
            errors.add("--" + name + ": " + e.getMessage());
            return defaults;
        }
    }

    private String text(String name, String defaultValue) {
        String variable = ENVIRONMENT_PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
        return line.getOptionValue(name, environment.getOrDefault(variable, defaultValue));
    }

    private static boolean isWhole(double value) {
        return value == Math.rint(value);
    }

    private static Option flag(String name, String argument, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .desc(description)
                .build();
    }

    private static AgatehatchException invalid(List<String> errors) {
        return new AgatehatchException(
                ErrorCode.INVALID_SETTING,
                "settings",
                "self",
                Outcome.NOT_RUN,
                String.join(System.lineSeparator(), errors));
    }
}
