package org.agatehatch.standins.http;

import java.util.concurrent.atomic.AtomicReference;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;

/** One TCP connection of a caller. */
public final class Connection {
    private final SharedKillSwitch killSwitch = KillSwitches.shared("connection");
    private final AtomicReference<Runnable> onClose = new AtomicReference<>(Connection::nothing);
    private volatile boolean closed;

    /** Cuts the connection without an answer. */
    public void abort() {
        killSwitch.abort(new ConnectionCut());
    }

    /** Calls {@code action} once if the connection closes before the next call of this method. */
    public void onClose(Runnable action) {
        onClose.set(action);
        if (closed) {
            closed();
        }
    }

    /** Forgets the action of {@link #onClose}. */
    public void clearOnClose() {
        onClose.set(Connection::nothing);
    }

    SharedKillSwitch killSwitch() {
        return killSwitch;
    }

    void closed() {
        closed = true;
        onClose.getAndSet(Connection::nothing).run();
    }

    private static void nothing() {}

    /** Ends the streams of a connection that a fault cuts; carries no stack, as it is expected. */
    private static final class ConnectionCut extends RuntimeException {
        private static final long serialVersionUID = 1L;

        ConnectionCut() {
            super("the stand-in cuts this connection", null, false, false);
        }
    }
}
