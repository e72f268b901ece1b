package org.agatehatch.gateway.process;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.gateway.connection.BackendConnectionPool;
import org.agatehatch.gateway.links.RelayDialer;
import org.agatehatch.gateway.links.ServerConnector;
import org.agatehatch.gateway.links.ServerRelay;
import org.agatehatch.gateway.metrics.GatewayMetrics;
import org.agatehatch.internal.process.FleetView;
import org.agatehatch.internal.process.NodeIdentity;
import org.agatehatch.internal.process.NodeView;
import org.agatehatch.internal.process.ServerPaths;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A node's connections to backend servers: its own, those that others relay for it, and those that it relays for others. */
final class ServerConnections implements ServerPaths.Listener {
    private static final Logger log = LoggerFactory.getLogger(ServerConnections.class);

    private static final long PROBE_INTERVAL_MILLIS = 100;

    private final EventLoop loop;
    private final Supplier<FleetView> fleet;
    private final BackendConnectionPool pool;
    private final GatewayMetrics metrics;
    private final ServerPaths paths;
    private final ServerConnector connector;
    private final ServerRelay relay;
    private BooleanSupplier leaving = () -> false;
    private volatile boolean cutOffFromMost;

    ServerConnections(
            EventLoop loop,
            NodeIdentity self,
            Supplier<NodeView> nodes,
            Supplier<FleetView> fleet,
            int peerPort,
            BackendConnectionPool pool,
            MonotonicClock clock,
            GatewayMetrics metrics) {
        this.loop = loop;
        this.fleet = fleet;
        this.pool = pool;
        this.metrics = metrics;
        this.paths = new ServerPaths(self, nodes, clock, new Random(), this);
        this.connector = new ServerConnector(loop, pool, paths, new RelayDialer(loop), peerPort, clock);
        this.relay = new ServerRelay(
                loop,
                paths,
                this::server,
                this::servers,
                () -> leaving.getAsBoolean(),
                clock,
                metrics::relayedConnections,
                outcome -> metrics.relayAnswered(outcome.name()));
    }

    /** Starts to look for the end of cuts. */
    void start(BooleanSupplier nodeLeaving) {
        leaving = nodeLeaving;
        loop.scheduleWithFixedDelay(this::probe, PROBE_INTERVAL_MILLIS, PROBE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    ServerConnector connector() {
        return connector;
    }

    ServerRelay relay() {
        return relay;
    }

    /** Returns whether this node is cut off from most servers, while other nodes reach them. Callable from any thread. */
    boolean cutOffFromMost() {
        return cutOffFromMost;
    }

    /** Forgets all server processes but the given ones. */
    void retain(Set<String> processes) {
        paths.retain(processes);
        metrics.serversCutOff(paths.cutCount());
    }

    private void probe() {
        List<ServerEntry> servers = servers();
        connector.probeCutPaths(servers);
        cutOffFromMost = paths.isCutOffFromMost(servers);
    }

    private List<ServerEntry> servers() {
        return fleet.get().byService().values().stream().flatMap(List::stream).toList();
    }

    private Optional<ServerEntry> server(String service, String process) {
        return fleet.get().servers(service).stream()
                .filter(entry -> entry.processKey().equals(process))
                .findFirst();
    }

    @Override
    public void onCut(ServerEntry server, ServerPaths.Failure failure, Optional<NodeIdentity> relayedBy) {
        metrics.serversCutOff(paths.cutCount());
        log.info(
                "event=server_path_cut process={} service={} connect={} reached_through={} cut_servers={}",
                server.processKey(),
                server.service(),
                failure,
                relayedBy.map(NodeIdentity::name).orElse("none"),
                paths.cutCount());
        if (failure == ServerPaths.Failure.TIMED_OUT) {
            pool.distrust(server.address(), server.processKey());
        }
    }

    @Override
    public void onRestored(ServerEntry server, long cutMillis) {
        metrics.serversCutOff(paths.cutCount());
        log.info(
                "event=server_path_restored process={} service={} cut_ms={} cut_servers={}",
                server.processKey(),
                server.service(),
                cutMillis,
                paths.cutCount());
    }
}
