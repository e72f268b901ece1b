package org.agatehatch.cli.load;

import java.net.InetAddress;
import java.net.URI;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import org.agatehatch.cli.Command;
import org.agatehatch.cli.ExitCode;
import org.agatehatch.cli.Invocation;
import org.agatehatch.cli.Usage;
import org.agatehatch.cli.load.LoadSettings.Target;
import org.agatehatch.cli.node.NodeClient;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Puts load on a node, and on an engine for comparison, and checks every answer. */
public final class LoadCommand implements Command {
    private static final int MAX_TOKENS = 65_536;
    private static final int MAX_PROMPT_BYTES = 1_000_000;
    private static final int MAX_CONNECTIONS = 4_096;
    private static final long MAX_TIMEOUT_MILLIS = 600_000;

    @Override
    public String name() {
        return "load";
    }

    @Override
    public String summary() {
        return "put load on a node whose engines are stand-ins, and check every answer";
    }

    @Override
    public Options options() {
        Options options = new Options();
        options.addOption(option("url", "URL", "node under load (default: the first of --node)"));
        options.addOption(option("direct", "URL", "engine to call in turn with the node, for comparison"));
        options.addOption(option("model", "NAME", "model to ask; repeat it for several, chosen at random"));
        options.addOption(option("rate", "R", "arrivals a second over node and engine (default 10)"));
        options.addOption(option("duration-s", "S", "time over which requests arrive (default 10)"));
        options.addOption(option("max-tokens", "N", "tokens of each answer (default 64)"));
        options.addOption(option("prompt-bytes", "N", "length of each prompt (default 512)"));
        options.addOption(option("shared-prefix-bytes", "N", "first bytes that all prompts share (default 0)"));
        options.addOption(option("connections", "N", "most requests in flight at each target (default 256)"));
        options.addOption(option("seed", "N", "seed of arrivals and prompts (default 1)"));
        options.addOption(option("timeout-ms", "MS", "longest wait for one answer (default 60000)"));
        options.addOption(null, "stream", false, "ask for streams; without it there is no first-token time");
        options.addOption(null, "allow-remote", false, "allow addresses that are not loopback");
        return options;
    }

    @Override
    public List<String> examples() {
        return List.of(
                "agatehatch load --url http://127.0.0.1:8080 --model counter-8b --rate 100 --max-tokens 200 --stream",
                "agatehatch load --model counter-8b --stream --direct http://127.0.0.1:9003 --output json");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        invocation.requireAtMost(0);
        LoadSettings settings = settings(invocation);
        LoadRun run = new LoadRun(settings);
        List<TargetFigures> figures;
        try {
            figures = run.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
        invocation.output().print(LoadReport.json(figures, run.startNanos()), LoadReport::table);
        boolean failed = figures.stream().anyMatch(target -> target.corruptCount() > 0 || target.okCount() == 0);
        return failed ? ExitCode.FAILED : ExitCode.OK;
    }

    private static LoadSettings settings(Invocation invocation) {
        String[] models = invocation.line().getOptionValues("model");
        if (models == null) {
            throw Usage.wrong("--model is missing; name a model of the catalogue, see 'agatehatch catalogue get'");
        }
        double rate = decimal(invocation, "rate", "10", LoadSettings.MAX_RATE_PER_SECOND);
        double seconds = decimal(invocation, "duration-s", "10", LoadSettings.MAX_DURATION_SECONDS);
        if (rate * seconds > LoadSettings.MAX_REQUESTS) {
            throw Usage.wrong("--rate times --duration-s gives more than " + LoadSettings.MAX_REQUESTS
                    + " requests; lower one of them");
        }
        int promptBytes = number(invocation, "prompt-bytes", 1, MAX_PROMPT_BYTES, 512);
        int sharedBytes = number(invocation, "shared-prefix-bytes", 0, MAX_PROMPT_BYTES, 0);
        if (sharedBytes > promptBytes) {
            throw Usage.wrong("--shared-prefix-bytes " + sharedBytes + " is more than --prompt-bytes " + promptBytes
                    + "; the prefix is part of the prompt");
        }
        return new LoadSettings(
                targets(invocation),
                List.of(models),
                rate,
                seconds,
                number(invocation, "max-tokens", 1, MAX_TOKENS, 64),
                promptBytes,
                sharedBytes,
                invocation.line().hasOption("stream"),
                number(invocation, "connections", 1, MAX_CONNECTIONS, 256),
                invocation.number("seed", Long.MIN_VALUE, Long.MAX_VALUE).orElse(1L),
                invocation.number("timeout-ms", 1, MAX_TIMEOUT_MILLIS).orElse(60_000L));
    }

    private static List<Target> targets(Invocation invocation) {
        List<Target> targets = new ArrayList<>();
        String url =
                invocation.line().getOptionValue("url", invocation.nodeUrls().get(0));
        targets.add(new Target("node", checked(invocation, url)));
        String direct = invocation.line().getOptionValue("direct");
        if (direct != null) {
            targets.add(new Target("direct", checked(invocation, direct)));
        }
        return targets;
    }

    private static String checked(Invocation invocation, String url) {
        String base = NodeClient.checkedUrl(url);
        String host = URI.create(base).getHost();
        try {
            boolean loopback = InetAddress.getByName(host).isLoopbackAddress();
            if (!loopback && !invocation.line().hasOption("allow-remote")) {
                throw Usage.wrong("'" + url + "' is no loopback address; load on another machine needs --allow-remote");
            }
        } catch (UnknownHostException e) {
            throw Usage.wrong("the host of '" + url + "' is not known; use an IP number");
        }
        return base;
    }

    private static int number(Invocation invocation, String option, int min, int max, int fallback) {
        return invocation.number(option, min, max).map(Long::intValue).orElse(fallback);
    }

    private static double decimal(Invocation invocation, String option, String fallback, double max) {
        return Usage.positive("--" + option, invocation.line().getOptionValue(option, fallback), max);
    }

    private static Option option(String name, String argument, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .desc(description)
                .get();
    }
}
