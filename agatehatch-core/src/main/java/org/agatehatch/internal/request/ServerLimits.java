package org.agatehatch.internal.request;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.agatehatch.api.fleet.ServerEntry;
import org.agatehatch.api.time.MonotonicClock;

/**
 * The limits that backend servers name in their answers: requests per second that a server takes from all nodes together, for
 * as long as it names the limit. Runs on the traffic thread.
 */
public final class ServerLimits {
    /** Receives changes of the limits. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Called when a server's limit is new, has changed or has ended.
         *
         * @param perSecond empty if the server no longer names a limit
         * @param own whether an answer to this node said so, not a peer
         */
        void onChange(String process, OptionalDouble perSecond, boolean own);
    }

    private record Limit(double perSecond, long heardMillis, boolean own) {}

    private final MonotonicClock clock;
    private final Listener listener;
    private final Map<String, Limit> limitByProcess = new HashMap<>();

    public ServerLimits(MonotonicClock clock, Listener listener) {
        this.clock = clock;
        this.listener = listener;
    }

    /**
     * Records what the head of a server's own answer says. An answer without a limit ends the limit only if its request was sent
     * after the limit was last heard of, since answers on different connections may overtake each other.
     */
    public void answered(ServerEntry server, OptionalDouble perSecond, long sentMillis) {
        String process = server.processKey();
        Limit known = limitByProcess.get(process);
        if (perSecond.isPresent() || (known != null && sentMillis > known.heardMillis())) {
            update(process, perSecond, true);
        }
    }

    /** Records what a peer has heard from a server; an empty limit has ended. */
    public void heardFromPeer(String process, OptionalDouble perSecond) {
        update(process, perSecond, false);
    }

    /** Returns the limit of a server's process; empty if it names none. */
    public OptionalDouble perSecond(String process) {
        Limit limit = limitByProcess.get(process);
        return limit == null ? OptionalDouble.empty() : OptionalDouble.of(limit.perSecond());
    }

    /** Returns the limits that answers to this node have named within a time, by process. */
    public Map<String, Double> namedWithin(long ageMillis) {
        Map<String, Double> named = new LinkedHashMap<>();
        limitByProcess.forEach((process, limit) -> {
            if (limit.own() && clock.millis() - limit.heardMillis() <= ageMillis) {
                named.put(process, limit.perSecond());
            }
        });
        return named;
    }

    /** Returns the number of processes that name a limit. */
    public int size() {
        return limitByProcess.size();
    }

    /** Forgets the limits of processes that are gone. */
    public void retain(Set<String> processes) {
        limitByProcess.keySet().retainAll(processes);
    }

    private void update(String process, OptionalDouble perSecond, boolean own) {
        OptionalDouble before = perSecond(process);
        if (perSecond.isPresent()) {
            limitByProcess.put(process, new Limit(perSecond.getAsDouble(), clock.millis(), own));
        } else {
            limitByProcess.remove(process);
        }
        if (!before.equals(perSecond)) {
            listener.onChange(process, perSecond, own);
        }
    }
}
