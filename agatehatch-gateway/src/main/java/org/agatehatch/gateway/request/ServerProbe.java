package org.agatehatch.gateway.request;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.util.function.Consumer;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.gateway.connection.BackendConnection;
import org.agatehatch.gateway.connection.BackendConnectionPool;

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

    private final BackendConnectionPool connectionPool;

    public ServerProbe(BackendConnectionPool connectionPool) {
        this.connectionPool = connectionPool;
    }

    /** Probes a server and passes on the result, from within this call or later. */
    void probe(ServerEntry server, Consumer<Result> listener) {
        probe(server, MAX_ATTEMPTS, listener);
    }

    /** Returns whether a connection was refused, which, unlike a timeout, proves that no process listens. */
    static boolean isRefusal(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    private void probe(ServerEntry server, int attemptsLeft, Consumer<Result> listener) {
        connectionPool.acquire(server.address(), server.processKey(), 0, new BackendConnectionPool.AcquireListener() {
            @Override
            public void onConnection(BackendConnection connection) {
                connection.release();
                listener.accept(Result.LISTENS);
            }

            @Override
            public void onFailure(Throwable cause) {
                if (isRefusal(cause)) {
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
