package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Set;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Detects poison requests, that is requests that crash the backend server they run on, and quarantines them. A request
 * gets a strike if its connection broke and the server's process is known to have died within the confirmation window
 * before or after: the server refused connections, left, or came back as another process. Not thread-safe.
 */
public final class PoisonRequestDetector {
    /** Number of crashed processes after which a request is refused. */
    static final int QUARANTINE_STRIKES = 2;

    /** Time after a request's latest strike at which its strikes expire. */
    static final long STRIKE_TTL_MILLIS = 600_000;

    /** Bounds the memory; beyond it the request that got its first strike earliest is evicted. */
    private static final int MAX_REQUESTS = 2_000;

    /**
     * A crash of a server's process while a request was running on it.
     *
     * @param fingerprint hash of the request
     * @param process the server's id and start time
     */
    public record Strike(long fingerprint, String process) {}

    /** Receives each new strike. */
    @FunctionalInterface
    public interface StrikeListener {
        /**
         * Called after a strike was recorded.
         *
         * @param strikes number of strikes of the request, including this one
         * @param own whether this node saw the crash, not a peer
         */
        void onStrike(Strike strike, int strikes, boolean own);
    }

    private record RequestStrikes(Set<String> processes, long atMillis) {}

    private final MonotonicClock clock;
    private final StrikeListener listener;
    private final CrashCorrelator<Long> crashes;
    private final LinkedHashMap<Long, RequestStrikes> strikesByFingerprint = new LinkedHashMap<>();

    public PoisonRequestDetector(MonotonicClock clock, StrikeListener listener) {
        this.clock = clock;
        this.listener = listener;
        this.crashes = new CrashCorrelator<>(
                clock, (fingerprint, process, brokenAtMillis) -> addStrike(new Strike(fingerprint, process), true));
    }

    /** Records that a connection broke while a request was running on a server's process. */
    public void connectionBroken(long fingerprint, String process) {
        expireOld();
        crashes.connectionBroken(fingerprint, process);
    }

    /** Records that a server's process has died. */
    public void processDied(String process) {
        expireOld();
        crashes.processDied(process);
    }

    /** Records that a request was answered. This removes its strikes unless it is quarantined. */
    public void requestAnswered(long fingerprint) {
        RequestStrikes strikes = strikesByFingerprint.get(fingerprint);
        if (strikes != null && strikes.processes().size() < QUARANTINE_STRIKES) {
            strikesByFingerprint.remove(fingerprint);
        }
    }

    /** Returns whether a request is quarantined and must be refused. */
    public boolean isQuarantined(long fingerprint) {
        RequestStrikes strikes = strikesByFingerprint.get(fingerprint);
        return strikes != null
                && clock.millis() - strikes.atMillis() < STRIKE_TTL_MILLIS
                && strikes.processes().size() >= QUARANTINE_STRIKES;
    }

    /** Merges strikes that other nodes have recorded. */
    public void merge(Collection<Strike> strikes) {
        strikes.forEach(strike -> addStrike(strike, false));
    }

    /** Returns all strikes, to be sent to other nodes. */
    public List<Strike> strikes() {
        List<Strike> all = new ArrayList<>();
        strikesByFingerprint.forEach((fingerprint, strikes) ->
                strikes.processes().forEach(process -> all.add(new Strike(fingerprint, process))));
        return all;
    }

    private void addStrike(Strike strike, boolean own) {
        RequestStrikes previous = strikesByFingerprint.get(strike.fingerprint());
        Set<String> processes = new HashSet<>(previous == null ? Set.of() : previous.processes());
        if (!processes.add(strike.process())) {
            return;
        }
        strikesByFingerprint.put(strike.fingerprint(), new RequestStrikes(processes, clock.millis()));
        if (strikesByFingerprint.size() > MAX_REQUESTS) {
            Iterator<Long> oldest = strikesByFingerprint.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        listener.onStrike(strike, processes.size(), own);
    }

    private void expireOld() {
        long nowMillis = clock.millis();
        strikesByFingerprint.values().removeIf(strikes -> nowMillis - strikes.atMillis() >= STRIKE_TTL_MILLIS);
    }
}
