package org.agatehatch.internal.connection;

import java.util.List;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.internal.process.NodeIdentity;
import org.agatehatch.internal.process.RelayMessages.Outcome;
import org.agatehatch.internal.process.ServerPaths;

/**
 * Opens one connection to a backend server: directly, and through another node if that fails or takes long. Nothing is sent
 * before one of them is open, so the request cannot run twice. A relay connects only directly, so there is one hop. Not thread
 * safe.
 */
public final class ConnectRace {
    /** Relays that are asked one after the other before the race is lost. */
    static final int MAX_RELAYS = 4;

    /** Relays that have tried in vain before the server counts as unreachable for all. */
    static final int MAX_FAILED_RELAYS = 2;

    /** Time after which no further relay is asked, so that a server that nobody reaches does not use a request's time up. */
    static final long MAX_ASKING_MILLIS = 300;

    /** The connections that the race begins. */
    public interface Connects {
        /** Begins a direct connection. */
        void direct();

        /** Asks a node for a relayed connection. */
        void through(NodeIdentity relay);

        /** Calls {@link #onRelayDue} after a time. */
        void scheduleRelay(long delayMillis);

        /**
         * Called if no connection was opened.
         *
         * @param refused whether it is shown that no process listens at the server's address
         */
        void failed(boolean refused);
    }

    private final ServerPaths.Plan plan;
    private final Connects connects;
    private final MonotonicClock clock;
    private final long startMillis;
    private List<NodeIdentity> relays = List.of();
    private boolean relaysChosen;
    private boolean directPending;
    private boolean directRefused;
    private boolean relayPending;
    private int relaysAsked;
    private int relaysFailed;
    private int relaysRefused;
    private boolean decided;

    public ConnectRace(ServerPaths.Plan plan, Connects connects, MonotonicClock clock) {
        this.plan = plan;
        this.connects = connects;
        this.clock = clock;
        this.startMillis = clock.millis();
    }

    /** Begins the race. */
    public void start() {
        if (!plan.direct()) {
            askNextRelay();
            return;
        }
        directPending = true;
        connects.direct();
        if (!decided && relaysAsked == 0) {
            connects.scheduleRelay(plan.relayDelayMillis());
        }
    }

    /** Asks a relay unless the race is decided or one was asked. */
    public void onRelayDue() {
        if (!decided && relaysAsked == 0) {
            askNextRelay();
        }
    }

    /** Returns whether the direct connection, which was opened, has won. */
    public boolean directOpened() {
        directPending = false;
        return win();
    }

    /** Called when the direct connection could not be opened. */
    public void directFailed(ServerPaths.Failure failure) {
        directPending = false;
        directRefused = failure == ServerPaths.Failure.REFUSED;
        if (!decided && !relayPending) {
            askNextRelay();
        }
    }

    /** Returns whether a relayed connection, which was opened, has won. */
    public boolean relayOpened() {
        relayPending = false;
        return win();
    }

    /** Called when a node did not open a relayed connection. */
    public void relayFailed(Outcome outcome) {
        relayPending = false;
        relaysFailed += outcome.concernsServer() ? 1 : 0;
        relaysRefused += outcome == Outcome.REFUSED ? 1 : 0;
        if (!decided) {
            askNextRelay();
        }
    }

    private boolean win() {
        boolean won = !decided;
        decided = true;
        return won;
    }

    private void askNextRelay() {
        if (!relaysChosen) {
            relaysChosen = true;
            relays = plan.relays().get();
        }
        boolean inTime = clock.millis() - startMillis < MAX_ASKING_MILLIS;
        if (inTime && relaysAsked < Math.min(MAX_RELAYS, relays.size()) && relaysFailed < MAX_FAILED_RELAYS) {
            relayPending = true;
            connects.through(relays.get(relaysAsked++));
            return;
        }
        if (!directPending) {
            decided = true;
            connects.failed(isRefused());
        }
    }

    /** A refusal on this node's path alone shows nothing: the path may be what refuses. */
    private boolean isRefused() {
        int needed = Math.min(MAX_FAILED_RELAYS, relays.size());
        return (directRefused || !plan.direct()) && relaysRefused >= needed;
    }
}
