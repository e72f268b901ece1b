package org.agatehatch.internal.process;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.agatehatch.api.time.MonotonicClock;

/**
 * The requests that all nodes have in flight at the backend servers. The placement holder collects them from the nodes'
 * reports and returns to each node the sum over the other nodes. Runs on the control thread.
 */
public final class LoadAggregator {
    /**
     * Requests in flight at a server.
     *
     * @param pendingPromptTokens uncached prompt tokens of the requests whose answers have not begun
     */
    public record Load(int requests, long pendingPromptTokens) {
        /** Nothing in flight. */
        public static final Load NONE = new Load(0, 0);

        Load plus(Load other) {
            return new Load(requests + other.requests, pendingPromptTokens + other.pendingPromptTokens);
        }

        Load minus(Load other) {
            return new Load(requests - other.requests, pendingPromptTokens - other.pendingPromptTokens);
        }
    }

    private record NodeLoads(Map<String, Load> loads, long atMillis) {}

    private final MonotonicClock clock;
    private final IntSupplier nodeCount;
    private final Map<String, NodeLoads> reportByNode = new HashMap<>();
    private final Map<String, Load> totals = new HashMap<>();

    /**
     * Creates an aggregator without reports.
     *
     * @param nodeCount number of nodes in the group
     */
    public LoadAggregator(MonotonicClock clock, IntSupplier nodeCount) {
        this.clock = clock;
        this.nodeCount = nodeCount;
    }

    /** Replaces a node's report and returns the sum of the other nodes' reports, by backend server. */
    public Map<String, Load> exchange(String node, Map<String, Load> loads) {
        removeStaleReports();
        subtract(reportByNode.get(node));
        Map<String, Load> others = Map.copyOf(totals);
        reportByNode.put(node, new NodeLoads(loads, clock.millis()));
        loads.forEach((server, load) -> totals.merge(server, load, Load::plus));
        return others;
    }

    private void removeStaleReports() {
        long cutoffMillis = clock.millis() - ReportIntervals.staleAfterMillis(nodeCount.getAsInt());
        reportByNode.values().removeIf(report -> {
            boolean stale = report.atMillis < cutoffMillis;
            if (stale) {
                subtract(report);
            }
            return stale;
        });
    }

    private void subtract(NodeLoads report) {
        if (report == null) {
            return;
        }
        report.loads.forEach((server, load) -> totals.computeIfPresent(server, (name, total) -> {
            Load remaining = total.minus(load);
            return remaining.equals(Load.NONE) ? null : remaining;
        }));
    }
}
