package org.agatehatch.gateway.links;

import io.netty.channel.Channel;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.agatehatch.api.fleet.PeerAddress;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.gateway.connection.BackendConnection;
import org.agatehatch.gateway.connection.BackendConnectionPool;
import org.agatehatch.internal.connection.ConnectRace;
import org.agatehatch.internal.process.NodeIdentity;
import org.agatehatch.internal.process.RelayMessages;
import org.agatehatch.internal.process.RelayMessages.Outcome;
import org.agatehatch.internal.process.ServerPaths;

/**
 * Provides connections to backend servers: a pooled one, a new one, or, while this node's own path to the server is cut, one that
 * another node relays. Runs on the traffic thread.
 */
public final class ServerConnector {
    /** A relay keeps a connection for a while after its request is due, so that it is this node that ends it. */
    private static final long RELAY_MARGIN_MILLIS = 1_000;

    /** A connection that was opened to learn about a path goes to the pool, or is closed if it is a relayed one. */
    private static final BackendConnectionPool.AcquireListener PROBE = new BackendConnectionPool.AcquireListener() {
        @Override
        public void onConnection(BackendConnection connection) {
            connection.release();
        }

        @Override
        public void onFailure(Throwable cause) {}
    };

    private final EventLoop loop;
    private final BackendConnectionPool pool;
    private final ServerPaths paths;
    private final RelayDialer dialer;
    private final int peerPort;
    private final MonotonicClock clock;

    /**
     * Creates a connector.
     *
     * @param peerPort port of the links between nodes, the same on all nodes
     */
    public ServerConnector(
            EventLoop loop,
            BackendConnectionPool pool,
            ServerPaths paths,
            RelayDialer dialer,
            int peerPort,
            MonotonicClock clock) {
        this.loop = loop;
        this.pool = pool;
        this.paths = paths;
        this.dialer = dialer;
        this.peerPort = peerPort;
        this.clock = clock;
    }

    /**
     * Acquires a connection to a server.
     *
     * @param maxIdleMillis maximum time for which a pooled connection may have been idle
     * @param neededMillis time after which the connection is not needed any more
     * @param reusable whether a pooled connection may carry the request; a new one always may
     */
    public void acquire(
            ServerEntry server,
            long maxIdleMillis,
            long neededMillis,
            Predicate<BackendConnection> reusable,
            BackendConnectionPool.AcquireListener acquirer) {
        if (paths.trustsOpenConnections(server)) {
            Optional<BackendConnection> idle =
                    pool.takeIdle(server.address(), server.processKey(), maxIdleMillis, reusable);
            if (idle.isPresent()) {
                acquirer.onConnection(idle.get());
                return;
            }
        }
        new Opening(server, paths.plan(server), neededMillis, acquirer).race.start();
    }

    /** Opens connections to the servers of which it is to be known whether this node reaches them, while some are cut off. */
    public void probeCutPaths(Collection<ServerEntry> servers) {
        for (ServerEntry server : paths.takeDueProbes(servers)) {
            new Opening(server, paths.planProbe(server), 0, PROBE).race.start();
        }
    }

    /** Records what a direct connect says of the path to its server, and passes the result on. */
    private void openDirectly(ServerEntry server, BackendConnectionPool.AcquireListener listener) {
        long begunMillis = clock.millis();
        pool.open(server.address(), server.processKey(), new BackendConnectionPool.AcquireListener() {
            @Override
            public void onConnection(BackendConnection connection) {
                paths.directOpened(server);
                listener.onConnection(connection);
            }

            @Override
            public void onFailure(Throwable cause) {
                paths.directFailed(server, failure(cause), begunMillis);
                listener.onFailure(cause);
            }
        });
    }

    private static ServerPaths.Failure failure(Throwable cause) {
        return BackendConnectionPool.isRefusal(cause) ? ServerPaths.Failure.REFUSED : ServerPaths.Failure.TIMED_OUT;
    }

    /** Opens one connection, directly or through another node. */
    private final class Opening implements ConnectRace.Connects {
        private final ServerEntry server;
        private final long neededMillis;
        private final BackendConnectionPool.AcquireListener acquirer;
        private final ConnectRace race;
        private String directCause = "path is cut";
        private String relayOutcomes = "";

        private Opening(
                ServerEntry server,
                ServerPaths.Plan plan,
                long neededMillis,
                BackendConnectionPool.AcquireListener acquirer) {
            this.server = server;
            this.neededMillis = neededMillis;
            this.acquirer = acquirer;
            this.race = new ConnectRace(plan, this, clock);
        }

        @Override
        public void direct() {
            openDirectly(server, new BackendConnectionPool.AcquireListener() {
                @Override
                public void onConnection(BackendConnection connection) {
                    if (race.directOpened()) {
                        acquirer.onConnection(connection);
                    } else {
                        connection.release();
                    }
                }

                @Override
                public void onFailure(Throwable cause) {
                    directCause = String.valueOf(cause.getMessage());
                    race.directFailed(failure(cause));
                }
            });
        }

        @Override
        public void scheduleRelay(long delayMillis) {
            loop.schedule(race::onRelayDue, delayMillis, TimeUnit.MILLISECONDS);
        }

        @Override
        public void through(NodeIdentity relay) {
            RelayMessages.Open question = new RelayMessages.Open(
                    server.service(), server.processKey(), Math.max(0, neededMillis) + RELAY_MARGIN_MILLIS);
            dialer.open(new PeerAddress(relay.host(), peerPort), question, new RelayDialer.Listener() {
                @Override
                public void onOpened(Channel channel) {
                    paths.relayAnswered(server, relay, Outcome.OPENED);
                    BackendConnection connection = pool.relayed(channel, relay.name());
                    if (race.relayOpened()) {
                        acquirer.onConnection(connection);
                    } else {
                        connection.release();
                    }
                }

                @Override
                public void onFailed(Outcome outcome) {
                    paths.relayAnswered(server, relay, outcome);
                    relayOutcomes += " " + relay.name() + "=" + outcome;
                    race.relayFailed(outcome);
                }
            });
        }

        @Override
        public void failed(boolean refused) {
            String cause = relayOutcomes.isEmpty() ? directCause : directCause + ", relays:" + relayOutcomes;
            acquirer.onFailure(refused ? new ConnectException(cause) : new ConnectTimeoutException(cause));
        }
    }
}
