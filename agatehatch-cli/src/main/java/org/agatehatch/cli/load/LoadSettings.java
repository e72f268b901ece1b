package org.agatehatch.cli.load;

import java.util.List;

/**
 * What a load run does.
 *
 * @param targets one or two base URLs; arrivals alternate between them
 * @param ratePerSecond mean arrivals a second over all targets
 * @param promptBytes length of a prompt, including its shared prefix
 * @param sharedPrefixBytes first bytes of the prompt that all requests for a model share
 * @param connections most requests in flight at each target
 * @param timeoutMillis longest wait for one answer
 */
record LoadSettings(
        List<Target> targets,
        List<String> models,
        double ratePerSecond,
        double durationSeconds,
        int maxTokens,
        int promptBytes,
        int sharedPrefixBytes,
        boolean stream,
        int connections,
        long seed,
        long timeoutMillis) {
    static final double MAX_RATE_PER_SECOND = 10_000;
    static final double MAX_DURATION_SECONDS = 3_600;
    /** Keeps the arrival times of a run in memory. */
    static final long MAX_REQUESTS = 1_000_000;

    LoadSettings {
        targets = List.copyOf(targets);
        models = List.copyOf(models);
    }

    /** One address under load. */
    record Target(String name, String url) {}
}
