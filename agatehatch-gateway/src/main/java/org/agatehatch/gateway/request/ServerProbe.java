package org.agatehatch.gateway.request;

import java.util.function.Consumer;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.gateway.connection.BackendConnection;
import org.agatehatch.gateway.connection.BackendConnectionPool;
import org.agatehatch.gateway.links.ServerConnector;

/**
 * Finds out whether the process of a backend server still listens, by opening a connection to it. The connection goes to the
 * pool, where it replaces the one whose end gave rise to the question. Runs on the traffic thread.
 */
public final class ServerProbe {
    /** What a probe found. */
    public enum Result {
        /** A process listens at the server's address. */
        LISTENS,
        /** The host refuses connections, which proves that no process listens. */
        REFUSES,
        /** No connection was opened in time. */
        UNKNOWN
    }

    /** Attempts before the result is unknown. A server whose queue of new connections is full drops some. */
    private static final int MAX_ATTEMPTS = 3;

    /** The relay of a probe's connection closes it at once if this node does not. */
    private static final long NEEDED_MILLIS = 0;

    private final ServerConnector connector;

    public ServerProbe(ServerConnector connector) {
        this.connector = connector;
    }

    /** Probes a server and passes on the result, from within this call or later. */
    void probe(ServerEntry server, Consumer<Result> listener) {
        probe(server, MAX_ATTEMPTS, listener);
    }

    private void probe(ServerEntry server, int attemptsLeft, Consumer<Result> listener) {
        connector.acquire(server, 0, NEEDED_MILLIS, connection -> true, new BackendConnectionPool.AcquireListener() {
            @Override
            public void onConnection(BackendConnection connection) {
                connection.release();
                listener.accept(Result.LISTENS);
            }

            @Override
            public void onFailure(Throwable cause) {
                if (BackendConnectionPool.isRefusal(cause)) {
                    listener.accept(Result.REFUSES);
                } else if (attemptsLeft > 1) {
                    probe(server, attemptsLeft - 1, listener);
                } else {
                    listener.accept(Result.UNKNOWN);
                }
            }
        });
    }
}
