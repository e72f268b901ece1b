package org.agatehatch.experiment;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.agatehatch.api.errors.AgatehatchException;
import org.agatehatch.api.errors.ErrorCode;
import org.agatehatch.api.errors.Outcome;

/**
 * The command line's options.
 *
 * @param runs every combination of deployment, policy, admission, load and seed
 * @param plots directory for the charts
 */
record ExperimentOptions(List<ExperimentSettings> runs, boolean json, int threads, Optional<String> plots) {
    static final String USAGE = """
            --deployment almaty|uruguay|all   default all
            --policy NAME[,NAME...]|all       agatehatch, random, round-robin, least-load, static-placement; default all
            --admission NAME[,NAME...]|all    none, deadline, holdback-static, holdback-stepwise, holdback-proportional;
                                              default deadline
            --seed N, or --seeds FIRST..LAST  default 1
            --minutes M                       virtual time in which requests arrive; default 10
            --load FACTOR[,FACTOR...]         offered work over capacity; default 0.9
            --output table|json               default table
            --threads N                       runs at once; default 2
            --plots DIRECTORY                 also writes charts against the load factor
            """;

    private static final Set<String> NAMES = Set.of(
            "deployment", "policy", "admission", "seed", "seeds", "minutes", "load", "output", "threads", "plots");
    private static final int MOST_RUNS = 10_000;
    private static final int MOST_THREADS = 16;
    private static final String ALL = "all";

    /** Returns the options; unknown names and values are refused with what is allowed. */
    static ExperimentOptions parse(String[] arguments) {
        Map<String, String> values = new HashMap<>();
        for (int i = 0; i < arguments.length; i += 2) {
            String name = arguments[i].startsWith("--") ? arguments[i].substring(2) : "";
            if (!NAMES.contains(name) || i + 1 == arguments.length) {
                throw invalid("'" + arguments[i] + "' is not an option with a value; the options are\n" + USAGE);
            }
            values.put(name, arguments[i + 1]);
        }
        List<DeploymentKind> deployments =
                choices(values.getOrDefault("deployment", ALL), DeploymentKind.values(), DeploymentKind::label);
        List<PolicyKind> policies = choices(values.getOrDefault("policy", ALL), PolicyKind.values(), PolicyKind::label);
        List<AdmissionKind> admissions =
                choices(values.getOrDefault("admission", "deadline"), AdmissionKind.values(), AdmissionKind::label);
        List<Double> loads = Arrays.stream(values.getOrDefault("load", "0.9").split(",", -1))
                .map(text -> number("load", text))
                .toList();
        double minutes = number("minutes", values.getOrDefault("minutes", "10"));
        List<Long> seeds = seeds(values.getOrDefault("seeds", values.getOrDefault("seed", "1")));
        List<ExperimentSettings> runs = new ArrayList<>();
        for (DeploymentKind deployment : deployments) {
            for (AdmissionKind admission : admissions) {
                for (double load : loads) {
                    for (PolicyKind policy : policies) {
                        for (long seed : seeds) {
                            runs.add(new ExperimentSettings(deployment, policy, admission, seed, minutes, load));
                        }
                    }
                }
            }
        }
        if (runs.size() > MOST_RUNS) {
            throw invalid(runs.size() + " runs are asked for; ask for at most " + MOST_RUNS);
        }
        int threads = (int) number("threads", values.getOrDefault("threads", "2"));
        return new ExperimentOptions(
                runs,
                output(values.getOrDefault("output", "table")),
                Math.max(1, Math.min(MOST_THREADS, threads)),
                Optional.ofNullable(values.get("plots")));
    }

    private static boolean output(String text) {
        if (!Set.of("table", "json").contains(text)) {
            throw invalid("output is '" + text + "'; give table or json");
        }
        return "json".equals(text);
    }

    private static <T> List<T> choices(String text, T[] values, Function<T, String> label) {
        if (text.toLowerCase(Locale.ROOT).equals(ALL)) {
            return List.of(values);
        }
        Map<String, T> byLabel = Arrays.stream(values).collect(Collectors.toMap(label, Function.identity()));
        List<T> chosen = new ArrayList<>();
        for (String part : text.split(",", -1)) {
            if (!byLabel.containsKey(part)) {
                throw invalid("'" + part + "' is not one of " + new TreeSet<>(byLabel.keySet()) + " or all");
            }
            chosen.add(byLabel.get(part));
        }
        return chosen;
    }

    private static List<Long> seeds(String text) {
        String[] ends = text.split("\\.\\.", -1);
        long first = (long) number("seed", ends[0]);
        long last = (long) number("seed", ends[ends.length - 1]);
        if (last < first || last - first >= MOST_RUNS) {
            throw invalid("seeds are '" + text + "'; give FIRST..LAST with at most " + MOST_RUNS + " seeds");
        }
        return LongStream.rangeClosed(first, last).boxed().toList();
    }

    private static double number(String name, String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw invalid(name + " is '" + text + "'; give a number");
        }
    }

    private static AgatehatchException invalid(String message) {
        return new AgatehatchException(ErrorCode.INVALID_SETTING, "experiment", "self", Outcome.NOT_RUN, message);
    }
}
