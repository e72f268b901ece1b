package org.agatehatch.internal.process;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import org.agatehatch.api.time.MonotonicClock;

/**
 * What all nodes have in flight at the backend servers, collected at one node and handed back to each as the sum of the
 * others. Runs on the control thread.
 */
public final class LoadBoard {
    /**
     * Requests in flight at a server.
     *
     * @param unreadTokens prompt tokens of those whose answers have not begun
     */
    public record Load(int requests, long unreadTokens) {
        /** Nothing in flight. */
        public static final Load NONE = new Load(0, 0);

        Load plus(Load other) {
            return new Load(requests + other.requests, unreadTokens + other.unreadTokens);
        }

        Load minus(Load other) {
            return new Load(requests - other.requests, unreadTokens - other.unreadTokens);
        }
    }

    private record Report(Map<String, Load> loads, long atMillis) {}

    private final MonotonicClock clock;
    private final IntSupplier nodes;
    private final Map<String, Report> byNode = new HashMap<>();
    private final Map<String, Load> totals = new HashMap<>();

    /**
     * Creates an empty board.
     *
     * @param nodes number of nodes in the group
     */
    public LoadBoard(MonotonicClock clock, IntSupplier nodes) {
        this.clock = clock;
        this.nodes = nodes;
    }

    /** Takes a node's report and returns the sum of the other nodes' reports. */
    public Map<String, Load> exchange(String node, Map<String, Load> loads) {
        removeSilent();
        remove(byNode.get(node));
        Map<String, Load> others = Map.copyOf(totals);
        byNode.put(node, new Report(loads, clock.millis()));
        loads.forEach((server, load) -> totals.merge(server, load, Load::plus));
        return others;
    }

    private void removeSilent() {
        long oldestMillis = clock.millis() - ReportPace.silentMillis(nodes.getAsInt());
        byNode.values().removeIf(report -> {
            boolean silent = report.atMillis < oldestMillis;
            if (silent) {
                remove(report);
            }
            return silent;
        });
    }

    private void remove(Report report) {
        if (report == null) {
            return;
        }
        report.loads.forEach((server, load) -> totals.computeIfPresent(server, (name, total) -> {
            Load left = total.minus(load);
            return left.equals(Load.NONE) ? null : left;
        }));
    }
}
