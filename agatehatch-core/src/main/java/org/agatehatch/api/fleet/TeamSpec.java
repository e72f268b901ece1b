package org.agatehatch.api.fleet;

import java.util.List;

/**
 * A team of the configuration, whose requests carry one of its API keys.
 *
 * @param apiKeys secrets; never written to a log, a metric, a message or an error
 * @param priority goes before the priority of the route; 0 is the highest
 */
public record TeamSpec(String name, List<String> apiKeys, int priority, QuotaSpec quota) {
    public TeamSpec {
        apiKeys = List.copyOf(apiKeys);
    }

    /** Names no key. */
    @Override
    public String toString() {
        return "TeamSpec[name=" + name + ", apiKeys=" + apiKeys.size() + ", priority=" + priority + ", quota=" + quota
                + "]";
    }
}
