package org.agatehatch.daemon;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.daemon.settings.NodeSettings;
import org.agatehatch.daemon.settings.SettingsReader;
import org.agatehatch.gateway.logging.LogSetup;
import org.agatehatch.internal.process.digest.NodeInfo;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.pekko.actor.ActorSystem;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Starts one entry node. */
public final class AgatehatchdMain {
    private static final Logger log = LoggerFactory.getLogger(AgatehatchdMain.class);
    private static final int EXIT_BAD_SETTINGS = 2;
    private static final int EXIT_FAILED = 1;

    private AgatehatchdMain() {}

    /** Starts the node and registers a shutdown hook that stops it gracefully. */
    public static void main(String[] arguments) throws Exception {
        SettingsReader reader = new SettingsReader(System.getenv());
        CommandLine line;
        NodeSettings settings;
        try {
            line = SettingsReader.parse(arguments);
            if (line.hasOption("help")) {
                printHelp();
                return;
            }
            settings = reader.read(line);
        } catch (AgatehatchException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_BAD_SETTINGS);
            return;
        }
        if (line.hasOption("print-settings")) {
            System.out.println(reader.print(line));
            return;
        }
        LogSetup.configure(settings.logFormat());
        run(settings);
    }

    private static void run(NodeSettings settings) {
        ActorSystem system = ActorSystem.create("agatehatchd");
        try {
            RunningNode running = RunningNode.start(system, settings);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(running, settings, system), "shutdown"));
            printAddresses(running);
        } catch (RuntimeException e) {
            log.error("node start failed: {}; exiting", e.getMessage(), e);
            system.terminate();
            System.exit(EXIT_FAILED);
        }
    }

    private static void stop(RunningNode running, NodeSettings settings, ActorSystem system) {
        long limitMillis = settings.entryAnswerMillis() + settings.drainLimitMillis() + 5_000;
        try {
            running.stop().toCompletableFuture().get(limitMillis, TimeUnit.MILLISECONDS);
        } catch (Exception e) {
            log.error("graceful stop failed or timed out; requests in flight are cut off", e);
        }
        system.terminate();
    }

    private static void printAddresses(RunningNode running) {
        NodeInfo info = running.info();
        System.out.println("agatehatchd: node " + info.name() + " listens on http://" + info.callerAddress()
                + " (peers: " + info.peerAddress() + ")");
        if (running.embedded()) {
            System.out.println(Examples.text("http://" + info.callerAddress()));
        }
        System.out.flush();
    }

    private static void printHelp() throws IOException {
        HelpFormatter.builder()
                .setShowSince(false)
                .get()
                .printHelp(
                        "agatehatchd [flags]",
                        "Runs an entry node. Each flag can also be set by the environment variable in brackets.",
                        SettingsReader.options(),
                        "Examples:\n  agatehatchd --embedded\n  AGATEHATCH_PEER_KEY=... agatehatchd --node-name=node-1"
                                + " --log-url=http://127.0.0.1:7001 --vm-list-url=http://127.0.0.1:7002",
                        false);
    }
}
