package org.agatehatch.internal.request;

import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.agatehatch.api.catalogue.BackendServer;
import org.agatehatch.internal.connection.BackendServerHealth;
import org.agatehatch.internal.connection.LoadEstimate;
import org.agatehatch.internal.connection.PrefixIndex;
import org.agatehatch.internal.connection.RunnerLoadTracker;
import org.agatehatch.internal.process.AdapterLoadBudget;
import org.agatehatch.internal.process.PrefixAffinity;
import org.agatehatch.internal.version.RoutingView;

/**
 * Data sources of a {@link Router}. All of them must be thread safe.
 *
 * @param view current view of the replicated state
 * @param loadTracker load tracker of a backend server
 * @param loadEstimate load figures taken from a tracker: {@link RunnerLoadTracker#estimate()}, or
 *     {@link RunnerLoadTracker#reported()} for a baseline
 * @param health health of a pool's backend servers
 * @param adapterLoadBudget this node's budget of adapter loads in a pool
 * @param distanceMillis one-way network latency from this node to a backend server
 * @param liveNodes number of nodes that serve callers
 */
public record RouterInputs(
        Supplier<RoutingView> view,
        Function<String, RunnerLoadTracker> loadTracker,
        Function<RunnerLoadTracker, LoadEstimate> loadEstimate,
        PrefixIndex prefixIndex,
        PrefixAffinity prefixAffinity,
        Function<String, BackendServerHealth> health,
        Function<String, AdapterLoadBudget> adapterLoadBudget,
        ToDoubleFunction<BackendServer> distanceMillis,
        IntSupplier liveNodes) {}
