package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Matches broken connections with the deaths of the server processes behind them. A broken connection alone does not prove a
 * crash; it counts if the process is known to have died within the confirmation window before or after. Not thread-safe.
 *
 * @param <T> what was in flight on a connection
 */
public final class CrashCorrelator<T> {
    /** Longest time between a broken connection and the death of its server for both to count as one crash. */
    static final long CONFIRMATION_WINDOW_MILLIS = 5_000;

    /** Receives what was in flight at a process that crashed. */
    @FunctionalInterface
    public interface Listener<T> {
        /**
         * Called for each broken connection once the crash is confirmed.
         *
         * @param brokenAtMillis time at which the connection broke
         */
        void onCrash(T inFlight, String process, long brokenAtMillis);
    }

    private record BrokenConnection<T>(T inFlight, long atMillis) {}

    private final MonotonicClock clock;
    private final Listener<T> listener;
    private final Map<String, List<BrokenConnection<T>>> brokenConnectionsByProcess = new HashMap<>();
    private final Map<String, Long> deathMillisByProcess = new HashMap<>();

    public CrashCorrelator(MonotonicClock clock, Listener<T> listener) {
        this.clock = clock;
        this.listener = listener;
    }

    /** Records that a connection to a server's process broke. */
    public void connectionBroken(T inFlight, String process) {
        expireOld();
        if (deathMillisByProcess.containsKey(process)) {
            listener.onCrash(inFlight, process, clock.millis());
            return;
        }
        brokenConnectionsByProcess
                .computeIfAbsent(process, name -> new ArrayList<>())
                .add(new BrokenConnection<>(inFlight, clock.millis()));
    }

    /** Records that a server's process has died. */
    public void processDied(String process) {
        expireOld();
        deathMillisByProcess.put(process, clock.millis());
        List<BrokenConnection<T>> broken = brokenConnectionsByProcess.remove(process);
        if (broken != null) {
            broken.forEach(entry -> listener.onCrash(entry.inFlight(), process, entry.atMillis()));
        }
    }

    /** Returns whether a process is known to have died within the confirmation window. */
    public boolean isKnownDead(String process) {
        expireOld();
        return deathMillisByProcess.containsKey(process);
    }

    private void expireOld() {
        long nowMillis = clock.millis();
        brokenConnectionsByProcess.values().removeIf(entries -> {
            entries.removeIf(entry -> nowMillis - entry.atMillis() > CONFIRMATION_WINDOW_MILLIS);
            return entries.isEmpty();
        });
        deathMillisByProcess.values().removeIf(atMillis -> nowMillis - atMillis > CONFIRMATION_WINDOW_MILLIS);
    }
}
