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
 * Which backend servers of one pool may get requests, as this node sees it.
 *
 * <ul>
 *   <li>Failures in a row, or a latency far above the pool's, take a server out for a growing time.
 *   <li>After that time, probing requests bring it back, one at a time.
 *   <li>At most half of the pool is out for latency alone.
 *   <li>When most of the pool looks bad, ejections are ignored: the fault is then more likely on this side.
 *   <li>A leaving server gets nothing, whatever else holds.
 * </ul>
 *
 * <p>Queries take no lock; changes of state do.
 */
public final class BackendServerHealth {
    /** Weight of the newest answer in a server's mean latency. */
    private static final double LATENCY_SMOOTHING = 0.1;
    /** Part of a pool that may be out for latency alone. */
    private static final double MAX_LATENCY_EJECTED_FRACTION = 0.5;

    private final EjectionPolicy policy;
    private final MonotonicClock clock;
    private final DoubleSupplier random;
    private final Map<String, ServerState> servers = new ConcurrentHashMap<>();
    private volatile boolean panicMode;

    /**
     * Creates the health of a pool without servers.
     *
     * @param random supplies uniform values from 0 inclusive to 1 exclusive
     */
    public BackendServerHealth(EjectionPolicy rules, MonotonicClock clock, DoubleSupplier random) {
        this.policy = rules;
        this.clock = clock;
        this.random = random;
    }

    /** Sets which servers the pool has. Servers that stay keep their state. */
    public synchronized void setServers(Collection<String> names) {
        servers.keySet().retainAll(Set.copyOf(names));
        names.forEach(name -> servers.computeIfAbsent(name, key -> new ServerState()));
        updatePanicMode();
    }

    /** Returns whether a server may be a candidate now. A server that is being probed may while no probe is on its way. */
    public boolean isAvailable(String name) {
        ServerState server = servers.get(name);
        if (server == null) {
            return true;
        }
        ServerStatus standing = server.status;
        if (standing.leaving) {
            return false;
        }
        if (!standing.ejected || panicMode) {
            return true;
        }
        long nowNanos = clock.nanos();
        return nowNanos - standing.ejectedUntilNanos >= 0 && nowNanos - server.probeUntilNanos >= 0;
    }

    /**
     * Notes that a request is about to be sent. For a server that is being probed, only one caller at a time gets true;
     * the others route again.
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
     * Notes an answer.
     *
     * @param latencyMillis time to the first token or byte, without what is explained by the prompt's length
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

    /** Notes that a request failed in a way that the server answers for: no connection, a broken answer, a 5xx. */
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

    /** Notes that a started request ended without saying anything about the server, for example by a cancel. */
    public synchronized void recordInconclusive(String name) {
        ServerState server = servers.get(name);
        if (server != null) {
            server.probeUntilNanos = clock.nanos();
        }
    }

    /** Takes a server out at once, or lets it back as far as this source is concerned. */
    public synchronized void setLeaving(String name, LeavingSource source, boolean leaving) {
        ServerState server = servers.computeIfAbsent(name, key -> new ServerState());
        boolean changed = leaving ? server.leavingSources.add(source) : server.leavingSources.remove(source);
        if (changed) {
            server.status = server.status.withLeaving(!server.leavingSources.isEmpty());
            updatePanicMode();
        }
    }

    /** Returns whether ejections are ignored because most of the pool looks bad. */
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
        double doubled = (double) policy.baseEjectionMillis() * Math.pow(2, server.ejections);
        double millis = Math.min((double) policy.maxEjectionMillis(), doubled);
        double jittered = millis * (1 + policy.jitterFraction() * random.getAsDouble());
        long untilNanos = clock.nanos() + (long) (jittered * 1e6);
        server.ejections++;
        server.successfulProbes = 0;
        server.probeUntilNanos = untilNanos;
        server.status = new ServerStatus(server.status.leaving, true, forLatency, untilNanos);
        updatePanicMode();
    }

    /** A server that stayed in for the longest ejection time starts again with the shortest. */
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
        long out = servers.values().stream()
                .filter(server -> server.status.ejected || server.status.leaving)
                .count();
        return out + 1 <= servers.size() * MAX_LATENCY_EJECTED_FRACTION;
    }

    private void updatePanicMode() {
        ServerStatus[] present = servers.values().stream()
                .map(server -> server.status)
                .filter(standing -> !standing.leaving)
                .toArray(ServerStatus[]::new);
        long ejected = Arrays.stream(present).filter(ServerStatus::ejected).count();
        panicMode = ejected > present.length * policy.panicFraction();
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
