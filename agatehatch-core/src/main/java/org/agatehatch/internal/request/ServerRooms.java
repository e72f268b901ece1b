package org.agatehatch.internal.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Limits the requests that this node has in flight at servers which fail when they have to turn more than a few requests a second
 * away. When one has turned a request away, all nodes lower their limits below what they have in flight there, so that the sum is
 * below the room that the server was found to have. The limits then rise slowly, by so much that a full server is met about
 * as often as it bears. Runs on the traffic thread.
 */
public final class ServerRooms {
    /** Part of the requests in flight that all nodes together leave when a server was full. */
    private static final double KEPT_FRACTION = 0.7;

    /** Requests by which the limits of all nodes together rise in a second, for each that the server can turn away in it. */
    private static final double GROWTH_PER_REJECTION = 0.5;

    /** Interval at which a node decides whether the fraction of its limit allows one more request. */
    private static final long FRACTION_MILLIS = 100;

    /** Time after which a server that has turned nothing away has no limit any more. */
    private static final long FORGET_MILLIS = 20_000;

    /** Told of the requests that servers have turned away. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Called when a server has turned a request of this node away, so that the other nodes must be told.
         *
         * @param process the server's id and start time
         * @param maxPerSecond requests that it can turn away in a second
         */
        void onTurnedAway(String process, double maxPerSecond);
    }

    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final IntSupplier nodes;
    private final Listener listener;
    private final Map<String, Room> roomByProcess = new HashMap<>();

    private static final class Room {
        private double limit = Double.POSITIVE_INFINITY;
        private double growthPerMilli;
        private long grownMillis;
        private long fullMillis;
        private boolean shrinks;
        private long drawnMillis;
        private double drawn;
    }

    /**
     * Creates rooms without limits.
     *
     * @param nodes number of nodes in the group
     */
    public ServerRooms(MonotonicClock clock, RandomGenerator random, IntSupplier nodes, Listener listener) {
        this.clock = clock;
        this.random = random;
        this.nodes = nodes;
        this.listener = listener;
    }

    /** Records that a server has turned a request of this node away for want of room. */
    public void turnedAway(String process, double maxPerSecond) {
        lower(process, maxPerSecond);
        listener.onTurnedAway(process, maxPerSecond);
    }

    /** Records that a server has turned a request of another node away. */
    public void turnedAwayElsewhere(String process, double maxPerSecond) {
        lower(process, maxPerSecond);
    }

    private void lower(String process, double maxPerSecond) {
        Room room = roomByProcess.computeIfAbsent(process, key -> new Room());
        long nowMillis = clock.millis();
        room.shrinks = true;
        room.fullMillis = nowMillis;
        room.grownMillis = nowMillis;
        room.growthPerMilli = GROWTH_PER_REJECTION * maxPerSecond / 1_000 / Math.max(1, nodes.getAsInt());
    }

    /** Returns whether this node may send one more request to a server at which it has some in flight. */
    public boolean hasRoom(ServerEntry server, int inFlight) {
        if (roomByProcess.isEmpty()) {
            return true;
        }
        Room room = roomByProcess.get(server.processKey());
        if (room == null) {
            return true;
        }
        long nowMillis = clock.millis();
        if (nowMillis - room.fullMillis > FORGET_MILLIS) {
            roomByProcess.remove(server.processKey());
            return true;
        }
        if (room.shrinks) {
            room.shrinks = false;
            room.limit = Math.min(room.limit, inFlight) * KEPT_FRACTION;
        }
        room.limit += room.growthPerMilli * (nowMillis - room.grownMillis);
        room.grownMillis = nowMillis;
        if (nowMillis - room.drawnMillis >= FRACTION_MILLIS) {
            room.drawnMillis = nowMillis;
            room.drawn = random.nextDouble();
        }
        double whole = Math.floor(room.limit);
        return inFlight < whole + (room.drawn < room.limit - whole ? 1 : 0);
    }

    /** Forgets all server processes but the given ones. */
    public void retain(Set<String> processes) {
        roomByProcess.keySet().retainAll(processes);
    }
}
