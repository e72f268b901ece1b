package org.agatehatch.daemon.wiring;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.catalogue.Catalogue;
import org.agatehatch.api.engine.LoadReport;
import org.agatehatch.internal.connection.RunnerLoadTrackers;
import org.agatehatch.internal.process.RendezvousHash;
import org.agatehatch.internal.process.digest.DigestEntry;
import org.agatehatch.internal.process.digest.DigestKind;
import org.agatehatch.internal.process.digest.DigestPacing;
import org.agatehatch.internal.process.digest.DigestPayloads;
import org.agatehatch.internal.process.digest.RunnerAdapters;
import org.agatehatch.internal.process.digest.RunnerLoad;

/**
 * Polls and publishes the load of the runners that this node observes, and tracks the loads that other nodes publish.
 * Two nodes observe each runner, so the rate of load requests to a runner does not grow with the number of nodes.
 */
final class RunnerLoadPoller {
    private static final int OBSERVERS_PER_RUNNER = 2;
    private static final long TAKEOVER_PERIODS = 2;
    /** Unchanged loads are published again after this time, before other nodes treat them as unknown. */
    private static final long REFRESH_INTERVAL_MILLIS = 5_000;
    /** Consecutive failed reads after which a runner counts as unresponsive. */
    private static final int UNRESPONSIVE_AFTER_FAILURES = 3;

    private final NodeContext context;
    private final RunnerLoadTrackers trackers;
    private final PeerNetwork peers;
    private final Map<String, ObservedRunner> observed = new HashMap<>();
    private final Map<Long, String> namesByKey = new HashMap<>();
    private final Map<Long, RunnerAdapters> adaptersByKey = new HashMap<>();
    private final Map<String, String> epochs = new ConcurrentHashMap<>();

    RunnerLoadPoller(NodeContext context, RunnerLoadTrackers trackers, PeerNetwork peers) {
        this.context = context;
        this.trackers = trackers;
        this.peers = peers;
    }

    /** Polls the observed runners that are due; called on the control thread. */
    void tick(Catalogue catalogue) {
        List<String> nodes = peers.leaseCandidates();
        long nowMillis = context.clock().millis();
        long period = DigestPacing.loadPeriodMillis(catalogue.backendServers().size());
        Set<String> observedNames = new HashSet<>();
        namesByKey.clear();
        for (BackendServer server : catalogue.backendServers().values()) {
            if (server.accelerators() == 0) {
                continue;
            }
            namesByKey.put(RendezvousHash.hash(server.name()), server.name());
            if (isObserver(server.name(), nodes)) {
                observedNames.add(server.name());
                ObservedRunner state = observed.computeIfAbsent(server.name(), name -> new ObservedRunner());
                state.periodMillis = period;
                state.primaryObserver = nodes.isEmpty()
                        || RendezvousHash.rank(server.name(), nodes)
                                .get(0)
                                .equals(context.settings().nodeName());
                if (!state.reading && nowMillis >= state.nextMillis) {
                    state.reading = true;
                    state.nextMillis = nowMillis + period;
                    read(server, state);
                }
            }
        }
        observed.keySet().retainAll(observedNames);
    }

    /** Applies a load or the adapters that another node published. */
    void onEntry(DigestEntry entry) {
        if (entry.kind() == DigestKind.RUNNER_ADAPTERS) {
            adaptersByKey.put(entry.key(), DigestPayloads.decodeAdapters(entry.payload()));
        }
        if (entry.kind() != DigestKind.RUNNER_LOAD) {
            return;
        }
        String name = namesByKey.get(entry.key());
        if (name == null || observed.containsKey(name)) {
            return;
        }
        RunnerLoad load = DigestPayloads.decodeRunnerLoad(entry.payload());
        recordEpoch(name, Integer.toHexString(load.epochHash()));
        RunnerAdapters adapters = adaptersByKey.getOrDefault(entry.key(), RunnerAdapters.NONE);
        long transitMillis = Math.max(0, context.wallClock().epochMillis() - entry.version());
        trackers.getOrCreate(name).applyReport(load.toReport(adapters.names()), transitMillis);
    }

    /**
     * Returns whether this node observes the runner and at least {@link #UNRESPONSIVE_AFTER_FAILURES} load reads in a
     * row have failed.
     */
    boolean isUnresponsive(String runner) {
        ObservedRunner state = observed.get(runner);
        return state != null && state.failures >= UNRESPONSIVE_AFTER_FAILURES;
    }

    /** Records the epoch of a runner's engine process, in the form of {@link RunnerLoad#epochText}. */
    void recordEpoch(String runner, String epochText) {
        epochs.put(runner, epochText);
    }

    /**
     * Returns the last known epoch of a runner's engine process, in the form of {@link RunnerLoad#epochText}; empty if
     * unknown. May be called on any thread.
     */
    String lastEpoch(String runner) {
        return epochs.getOrDefault(runner, "");
    }

    private boolean isObserver(String runner, List<String> nodes) {
        return nodes.isEmpty()
                || RendezvousHash.rank(runner, nodes).stream()
                        .limit(OBSERVERS_PER_RUNNER)
                        .anyMatch(context.settings().nodeName()::equals);
    }

    private void read(BackendServer server, ObservedRunner state) {
        context.engines()
                .load(server)
                .whenComplete((report, failure) -> context.control().execute(() -> {
                    state.reading = false;
                    if (failure != null) {
                        state.failures++;
                        return;
                    }
                    state.failures = 0;
                    recordEpoch(server.name(), RunnerLoad.epochText(report.runnerEpoch()));
                    trackers.getOrCreate(server.name()).applyReport(report);
                    publish(server.name(), state, report);
                }));
    }

    /** Publishes a changed load. The secondary observer publishes only when the primary observer's entries stop. */
    private void publish(String runner, ObservedRunner state, LoadReport report) {
        long key = RendezvousHash.hash(runner);
        long silenceMillis =
                peers.digest().ageMillis(DigestKind.RUNNER_LOAD, key).orElse(Long.MAX_VALUE);
        if (!state.primaryObserver
                && silenceMillis < TAKEOVER_PERIODS * Math.max(state.periodMillis, REFRESH_INTERVAL_MILLIS)) {
            return;
        }
        RunnerLoad load = RunnerLoad.of(report).quantised();
        boolean refresh = context.clock().millis() - state.publishedMillis >= REFRESH_INTERVAL_MILLIS;
        if (refresh || !load.equalsIgnoringSequence(state.published)) {
            state.published = load;
            state.publishedMillis = context.clock().millis();
            peers.publish(DigestKind.RUNNER_LOAD, key, DigestPayloads.encode(load));
        }
        RunnerAdapters adapters = new RunnerAdapters(report.adapters());
        if (!adapters.equals(state.publishedAdapters)) {
            state.publishedAdapters = adapters;
            peers.publish(DigestKind.RUNNER_ADAPTERS, key, DigestPayloads.encode(adapters));
        }
    }

    private static final class ObservedRunner {
        private boolean reading;
        private boolean primaryObserver;
        private long periodMillis;
        private long nextMillis;
        private int failures;
        private RunnerLoad published;
        private long publishedMillis;
        private RunnerAdapters publishedAdapters;
    }
}
