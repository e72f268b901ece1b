package org.agatehatch.standins;

import com.typesafe.config.ConfigFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.standins.http.Json;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;
import org.apache.pekko.actor.ActorSystem;

/** Starts the stand-ins of a platform and prints one line of JSON with their addresses. */
public final class PlatformMain {
    private static final int EXIT_WRONG_FLAGS = 2;
    private static final String LOG_SETTINGS_PROPERTY = "logback.configurationFile";
    private static final String PEKKO_SETTINGS = """
            pekko.loggers = ["org.apache.pekko.event.slf4j.Slf4jLogger"]
            pekko.logging-filter = "org.apache.pekko.event.slf4j.Slf4jLoggingFilter"
            pekko.loglevel = WARNING
            """;
    private static final String EXAMPLES = String.join(
            System.lineSeparator(),
            "",
            "Each flag can also be set as an environment variable: --time-scale as "
                    + PlatformOptions.ENVIRONMENT_PREFIX + "TIME_SCALE.",
            "",
            "Examples:",
            "  Two engines and two servers of a plain service on ephemeral ports:",
            "    --engines 2 --services order-desk=2",
            "  Six engines on fixed ports, 20 times faster than real time, one of which ignores fencing numbers:",
            "    --base-port 9000 --engines 6 --time-scale 20 --ignore-fencing runner-6",
            "  A log that loses one answer in ten, and engines that cut their next two streams after 5 tokens:",
            "    --log-faults '{\"lost_answers\":{\"next\":0,\"fraction\":0.1}}' \\",
            "    --engine-faults '{\"cut_streams\":{\"next\":2,\"fraction\":0},\"cut_after_tokens\":5}'",
            "");

    private PlatformMain() {}

    /** Starts the stand-ins; ends when the process is told to. */
    public static void main(String[] arguments) {
        if (System.getProperty(LOG_SETTINGS_PROPERTY) == null) {
            System.setProperty(LOG_SETTINGS_PROPERTY, "logback-platform.xml");
        }
        int status = run(arguments, System.getenv(), System.out, System.err);
        if (status != 0) {
            System.exit(status);
        }
    }

    /** Starts the stand-ins and returns the exit status; 0 leaves them running. */
    static int run(String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
        if (Arrays.asList(arguments).contains("--help")) {
            printHelp(out);
            return 0;
        }
        PlatformSettings settings;
        try {
            settings = PlatformOptions.parse(arguments, environment);
        } catch (AgatehatchException e) {
            err.println(e.getMessage());
            return EXIT_WRONG_FLAGS;
        }
        ActorSystem system = ActorSystem.create(
                "platform", ConfigFactory.parseString(PEKKO_SETTINGS).withFallback(ConfigFactory.load()));
        try {
            Platform platform = Platform.start(system, settings);
            Runtime.getRuntime().addShutdownHook(new Thread(platform::close, "platform-stop"));
            out.println(Json.text(platform.addresses()));
            out.flush();
            return 0;
        } catch (AgatehatchException e) {
            err.println(e.getMessage());
            system.terminate();
            return EXIT_WRONG_FLAGS;
        }
    }

    private static void printHelp(PrintStream out) {
        PrintWriter writer = new PrintWriter(out, false, StandardCharsets.UTF_8);
        HelpFormatter formatter = HelpFormatter.builder()
                .setHelpAppendable(new TextHelpAppendable(writer))
                .setShowSince(false)
                .get();
        try {
            formatter.printHelp(
                    "platform [flags]",
                    "Starts stand-ins of log, VM list, weight store, engines and plain services.",
                    PlatformOptions.flags(),
                    "",
                    false);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        writer.print(EXAMPLES);
        writer.flush();
    }
}
