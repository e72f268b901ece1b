package org.agatehatch.internal.request;

import java.util.HashMap;
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
         */
        void onChange(String process, OptionalDouble perSecond);
    }

    private record Limit(double perSecond, long namedMillis) {}

    private final MonotonicClock clock;
    private final Listener listener;
    private final Map<String, Limit> limitByProcess = new HashMap<>();

    public ServerLimits(MonotonicClock clock, Listener listener) {
        this.clock = clock;
        this.listener = listener;
    }

    /**
     * Records what the head of a server's own answer says. An answer without a limit ends the limit only if its request was sent
     * after the limit was last named, since answers on different connections may overtake each other.
     */
    public void answered(ServerEntry server, OptionalDouble perSecond, long sentMillis) {
        String process = server.processKey();
        Limit known = limitByProcess.get(process);
        if (perSecond.isPresent()) {
            name(process, perSecond.getAsDouble());
        } else if (known != null && sentMillis > known.namedMillis()) {
            end(process);
        }
    }

    /** Returns the limit of a server's process; empty if it names none. */
    public OptionalDouble perSecond(String process) {
        Limit limit = limitByProcess.get(process);
        return limit == null ? OptionalDouble.empty() : OptionalDouble.of(limit.perSecond());
    }

    /** Returns the number of processes that name a limit. */
    public int size() {
        return limitByProcess.size();
    }

    /** Forgets the limits of processes that are gone. */
    public void retain(Set<String> processes) {
        limitByProcess.keySet().retainAll(processes);
    }

    private void name(String process, double perSecond) {
        Limit before = limitByProcess.put(process, new Limit(perSecond, clock.millis()));
        if (before == null || before.perSecond() != perSecond) {
            listener.onChange(process, OptionalDouble.of(perSecond));
        }
    }

    private void end(String process) {
        limitByProcess.remove(process);
        listener.onChange(process, OptionalDouble.empty());
    }
}
