package org.agatehatch.daemon.traffic;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.api.time.WallClock;
import org.agatehatch.daemon.metrics.NodeMetrics;
import org.agatehatch.internal.connection.PrefixIndex;
import org.agatehatch.internal.connection.RunnerLoadTrackers;
import org.agatehatch.internal.process.AccountReporter;
import org.agatehatch.internal.process.OwnerShares;
import org.agatehatch.internal.process.OwnerUsage;
import org.agatehatch.internal.process.PrefixAffinity;
import org.agatehatch.internal.version.RoutingView;

/**
 * State and callbacks of the node that request handling uses. All of them are thread-safe.
 *
 * @param distanceMillis one-way network delay from this node to a backend server, in ms
 * @param liveNodes number of nodes that serve callers
 * @param crashDetector detects crashes of backend servers
 * @param onLeavingRefusal called with a backend server that refused an attempt because it is leaving
 * @param onMissingReplica called with a model and a runner that does not have it or is unreachable
 * @param demand receives the tokens of each model request, by resident model
 */
public record TrafficDependencies(
        Supplier<RoutingView> view,
        RunnerLoadTrackers trackers,
        PrefixIndex prefixIndex,
        PrefixAffinity prefixAffinity,
        OwnerUsage usage,
        OwnerShares shares,
        AccountReporter accounts,
        SuspicionTracker suspicions,
        CrashCheck crashDetector,
        Consumer<BackendServer> onLeavingRefusal,
        BiConsumer<String, String> onMissingReplica,
        DemandSink demand,
        ToDoubleFunction<BackendServer> distanceMillis,
        IntSupplier liveNodes,
        MonotonicClock clock,
        WallClock wallClock,
        NodeMetrics metrics) {
    /** Receives the demand for models. */
    @FunctionalInterface
    public interface DemandSink {
        /** Adds prompt or output tokens of a request. */
        void add(String residentModel, long tokens);
    }

    static double randomFraction() {
        return ThreadLocalRandom.current().nextDouble();
    }
}
