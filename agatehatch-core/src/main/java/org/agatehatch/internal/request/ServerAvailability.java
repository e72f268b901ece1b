package org.agatehatch.internal.request;

import java.util.LinkedHashMap;
import java.util.Map;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.time.MonotonicClock;

/**
 * What backend servers have told this node about themselves in their answers: that they are leaving, or that they take no
 * requests from this node for a time. Both hold for the process that said so, at its address, and bind this node in every path
 * that sends a request. Runs on the traffic thread.
 *
 * <p>A process that has said that it is leaving is never sent a request again, also if its entry is removed and comes back. A
 * closure ends with its time; of several closures the one that ends last counts, since answers on different connections may
 * overtake each other.
 */
public final class ServerAvailability {
    /** Longest closure that is believed, so that one absurd value does not lose a server for good. */
    static final long MAX_CLOSURE_MILLIS = 3_600_000;

    /** Maximum number of processes remembered for each of the two states, many times those of a deployment. */
    private static final int MAX_PROCESSES = 8_192;

    /** Receives changes of the state of servers. */
    public interface Listener {
        /** Called when a server has said for the first time that it is leaving. */
        void onLeaving(ServerEntry server);

        /** Called when a server has asked this node to send nothing for a time. */
        void onClosed(ServerEntry server, long durationMillis);
    }

    private final MonotonicClock clock;
    private final Listener listener;
    private final Map<String, Boolean> leaving = new BoundedMap<>();
    private final Map<String, Long> closedUntilMillis = new BoundedMap<>();
    private int waiting;

    public ServerAvailability(MonotonicClock clock, Listener listener) {
        this.clock = clock;
        this.listener = listener;
    }

    /** Records that a server has said that it is leaving. */
    public void recordLeaving(ServerEntry server) {
        if (leaving.put(key(server), true) == null) {
            listener.onLeaving(server);
        }
    }

    /** Records that a server has asked this node to send nothing for a time. */
    public void recordClosed(ServerEntry server, long durationMillis) {
        long boundedMillis = Math.min(Math.max(0, durationMillis), MAX_CLOSURE_MILLIS);
        long untilMillis = clock.millis() + boundedMillis;
        if (untilMillis <= clock.millis() || untilMillis <= closedUntilMillis.getOrDefault(key(server), 0L)) {
            return;
        }
        closedUntilMillis.put(key(server), untilMillis);
        listener.onClosed(server, boundedMillis);
    }

    /** Returns whether a server has said that it is leaving. */
    public boolean isLeaving(ServerEntry server) {
        return !leaving.isEmpty() && leaving.containsKey(key(server));
    }

    /** Returns the time until a server takes requests from this node again; 0 if it takes them now. */
    public long opensInMillis(ServerEntry server) {
        if (closedUntilMillis.isEmpty()) {
            return 0;
        }
        Long untilMillis = closedUntilMillis.get(key(server));
        return untilMillis == null ? 0 : Math.max(0, untilMillis - clock.millis());
    }

    /** Returns whether this node may send a request to a server now. */
    public boolean maySend(ServerEntry server) {
        return !isLeaving(server) && opensInMillis(server) == 0;
    }

    /**
     * Lets a request wait until a closed server opens again, unless as many wait already.
     *
     * @param places number of requests that the servers can be expected to take from this node when they open
     */
    public boolean tryStartWait(int places) {
        if (waiting >= places) {
            return false;
        }
        waiting++;
        return true;
    }

    /** Ends a wait that {@link #tryStartWait} allowed. */
    public void endWait() {
        waiting--;
    }

    /** The address tells two processes apart if their entries do not say when they started. */
    private static String key(ServerEntry server) {
        return server.processKey() + '/' + server.address();
    }

    private static final class BoundedMap<V> extends LinkedHashMap<String, V> {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
            return size() > MAX_PROCESSES;
        }
    }
}
