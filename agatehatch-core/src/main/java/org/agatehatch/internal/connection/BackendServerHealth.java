package org.agatehatch.internal.connection;

import java.util.Arrays;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Tracks the health of the backend servers of one pool as observed by this node, and decides which of them may receive
 * requests.
 *
 * <ul>
 *   <li>Consecutive failures, or a latency far above the pool's median, eject a server. The ejection time doubles with
 *       each further ejection.
 *   <li>After the ejection time, the server receives probe requests, one at a time, and is reinstated once enough of
 *       them succeed.
 *   <li>Latency alone never raises the ejected and leaving servers above half of the pool.
 *   <li>In panic mode, when most of the pool is ejected, ejections are ignored: the fault is then more likely on the
 *       side of this node.
 *   <li>A leaving server receives no requests, not even in panic mode.
 * </ul>
 *
 * <p>Reads take no lock; state changes do.
 */
public final class BackendServerHealth {
    /** Weight of the newest answer in the moving average of a server's latency. */
    private static final double LATENCY_SMOOTHING = 0.1;
    /** A latency outlier is ejected only if at most this fraction of the pool is then ejected or leaving. */
    private static final double MAX_LATENCY_EJECTED_FRACTION = 0.5;

    private final EjectionPolicy policy;
    private final MonotonicClock clock;
    private final DoubleSupplier random;
    private final Map<String, ServerState> servers = new ConcurrentHashMap<>();
    private volatile boolean panicMode;

    /**
     * Creates the health state of a pool without servers.
     *
     * @param random supplies uniform values from 0 inclusive to 1 exclusive, for the jitter of ejection times
     */
    public BackendServerHealth(EjectionPolicy rules, MonotonicClock clock, DoubleSupplier random) {
        this.policy = rules;
        this.clock = clock;
        this.random = random;
    }

    /** Sets the servers of the pool. Servers that were in the pool before keep their state. */
    public synchronized void setServers(Collection<String> serverNames) {
        servers.keySet().retainAll(Set.copyOf(serverNames));
        serverNames.forEach(name -> servers.computeIfAbsent(name, key -> new ServerState()));
        updatePanicMode();
    }

    /**
     * Returns whether a server may be a candidate now. After its ejection time, a server is available only while no
     * probe request is in flight. A server that is not in the pool is available.
     */
    public boolean isAvailable(String name) {
        ServerState server = servers.get(name);
        if (server == null) {
            return true;
        }
        ServerStatus status = server.status;
        if (status.leaving) {
            return false;
        }
        if (!status.ejected || panicMode) {
            return true;
        }
        long nowNanos = clock.nanos();
        return nowNanos - status.ejectedUntilNanos >= 0 && nowNanos - server.probeUntilNanos >= 0;
    }

    /**
     * Asks for permission to send a request to a server. While a server is being probed, only one caller at a time gets
     * true; a caller that gets false must choose another server.
     */
    public boolean tryStart(String name) {
        ServerState server = servers.get(name);
        if (server == null || (!server.status.leaving && (!server.status.ejected || panicMode))) {
            return true;
        }
        synchronized (this) {
            if (!isAvailable(name)) {
                return false;
            }
            server.probeUntilNanos = clock.nanos() + TimeUnit.MILLISECONDS.toNanos(policy.probeTimeoutMillis());
            return true;
        }
    }

    /**
     * Records a successful answer.
     *
     * @param latencyMillis time to the first token or byte, minus the time that the prompt's length explains
     */
    public synchronized void recordSuccess(String name, double latencyMillis) {
        ServerState server = servers.get(name);
        if (server == null) {
            return;
        }
        server.consecutiveFailures = 0;
        server.latencySamples++;
        server.meanLatencyMillis = server.latencySamples == 1
                ? latencyMillis
                : server.meanLatencyMillis + LATENCY_SMOOTHING * (latencyMillis - server.meanLatencyMillis);
        if (server.status.ejected) {
            finishProbe(server, latencyMillis);
        } else if (isLatencyOutlier(server) && mayEjectForLatency()) {
            eject(server, true);
        } else {
            resetEjectionCountIfHealthy(server);
        }
    }

    /** Records a failure that the server is responsible for: no connection, a broken answer or a 5xx status. */
    public synchronized void recordFailure(String name) {
        ServerState server = servers.get(name);
        if (server == null) {
            return;
        }
        server.consecutiveFailures++;
        if (server.status.ejected) {
            if (clock.nanos() - server.status.ejectedUntilNanos >= 0) {
                eject(server, false);
            }
        } else if (server.consecutiveFailures >= policy.consecutiveFailures()) {
            eject(server, false);
        }
    }

    /** Records that a started request ended without evidence about the server, for example because it was cancelled. */
    public synchronized void recordInconclusive(String name) {
        ServerState server = servers.get(name);
        if (server != null) {
            server.probeUntilNanos = clock.nanos();
        }
    }

    /**
     * Sets or clears one source's statement that a server is leaving. The server receives no requests from the first
     * statement until all sources have cleared theirs.
     */
    public synchronized void setLeaving(String name, LeavingSource source, boolean leaving) {
        ServerState server = servers.computeIfAbsent(name, key -> new ServerState());
        boolean changed = leaving ? server.leavingSources.add(source) : server.leavingSources.remove(source);
        if (changed) {
            server.status = server.status.withLeaving(!server.leavingSources.isEmpty());
            updatePanicMode();
        }
    }

    /** Returns whether ejections are ignored because the ejected fraction of the pool exceeds the policy's limit. */
    public boolean panicMode() {
        return panicMode;
    }

    private void finishProbe(ServerState server, double latencyMillis) {
        long nowNanos = clock.nanos();
        if (nowNanos - server.status.ejectedUntilNanos < 0) {
            return;
        }
        server.probeUntilNanos = nowNanos;
        if (server.status.ejectedForLatency && latencyMillis > outlierLimitMillis()) {
            eject(server, true);
            return;
        }
        server.successfulProbes++;
        if (server.successfulProbes >= policy.requiredProbes()) {
            server.status = server.status.reinstated();
            server.reinstatedNanos = nowNanos;
            server.latencySamples = 0;
            updatePanicMode();
        }
    }

    private void eject(ServerState server, boolean forLatency) {
        double backoffMillis = (double) policy.baseEjectionMillis() * Math.pow(2, server.ejections);
        double cappedMillis = Math.min((double) policy.maxEjectionMillis(), backoffMillis);
        double jitteredMillis = cappedMillis * (1 + policy.jitterFraction() * random.getAsDouble());
        long untilNanos = clock.nanos() + (long) (jitteredMillis * 1e6);
        server.ejections++;
        server.successfulProbes = 0;
        server.probeUntilNanos = untilNanos;
        server.status = new ServerStatus(server.status.leaving, true, forLatency, untilNanos);
        updatePanicMode();
    }

    /** Resets the ejection time to its base once the server has not been ejected for the maximum ejection time. */
    private void resetEjectionCountIfHealthy(ServerState server) {
        long healthyNanos = clock.nanos() - server.reinstatedNanos;
        if (server.ejections > 0 && healthyNanos > TimeUnit.MILLISECONDS.toNanos(policy.maxEjectionMillis())) {
            server.ejections = 0;
        }
    }

    private boolean isLatencyOutlier(ServerState server) {
        return server.latencySamples >= policy.minLatencySamples() && server.meanLatencyMillis > outlierLimitMillis();
    }

    private double outlierLimitMillis() {
        double[] latencies = servers.values().stream()
                .filter(server -> server.latencySamples > 0)
                .mapToDouble(server -> server.meanLatencyMillis)
                .sorted()
                .toArray();
        if (latencies.length < 2) {
            return Double.POSITIVE_INFINITY;
        }
        double median = latencies[(latencies.length - 1) / 2];
        return Math.max(policy.minOutlierLatencyMillis(), policy.latencyFactor() * median);
    }

    private boolean mayEjectForLatency() {
        long unavailable = servers.values().stream()
                .filter(server -> server.status.ejected || server.status.leaving)
                .count();
        return unavailable + 1 <= servers.size() * MAX_LATENCY_EJECTED_FRACTION;
    }

    private void updatePanicMode() {
        ServerStatus[] remaining = servers.values().stream()
                .map(server -> server.status)
                .filter(status -> !status.leaving)
                .toArray(ServerStatus[]::new);
        long ejected = Arrays.stream(remaining).filter(ServerStatus::ejected).count();
        panicMode = ejected > remaining.length * policy.panicFraction();
    }

    private static final class ServerState {
        private final EnumSet<LeavingSource> leavingSources = EnumSet.noneOf(LeavingSource.class);
        private volatile ServerStatus status = new ServerStatus(false, false, false, 0);
        private volatile long probeUntilNanos;
        private int consecutiveFailures;
        private int ejections;
        private int successfulProbes;
        private int latencySamples;
        private double meanLatencyMillis;
        private long reinstatedNanos;
    }

    private record ServerStatus(boolean leaving, boolean ejected, boolean ejectedForLatency, long ejectedUntilNanos) {
        private ServerStatus withLeaving(boolean next) {
            return new ServerStatus(next, ejected, ejectedForLatency, ejectedUntilNanos);
        }

        private ServerStatus reinstated() {
            return new ServerStatus(leaving, false, false, 0);
        }
    }
}
