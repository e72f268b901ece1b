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
 * What traffic shares with the rest of the node. All parts may be used by many threads.
 *
 * @param distanceMillis one way from this node to a backend server
 * @param liveNodes number of nodes that serve callers
 * @param crashDetector finds out whether a backend server died
 * @param onLeavingRefusal is told of a backend server that refused work because it is leaving
 * @param onMissingReplica is told of a runner that does not have a model, or cannot be reached
 * @param demand is told the tokens of each request for a model, by resident model
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
        CrashDetector crashDetector,
        Consumer<BackendServer> onLeavingRefusal,
        BiConsumer<String, String> onMissingReplica,
        DemandSink demand,
        ToDoubleFunction<BackendServer> distanceMillis,
        IntSupplier liveNodes,
        MonotonicClock clock,
        WallClock wallClock,
        NodeMetrics metrics) {
    /** Is told of demand. */
    @FunctionalInterface
    public interface DemandSink {
        /** Adds tokens of a request for a model. */
        void add(String residentModel, long tokens);
    }

    static double randomFraction() {
        return ThreadLocalRandom.current().nextDouble();
    }
}
