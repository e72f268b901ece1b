package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Requests that were running on servers whose processes died. A request gets a strike only if the process is known to have
 * died: its connection broke, and shortly before or after the server refused connections, left or came back as another
 * process. A cut connection alone proves nothing. Not safe for use by several threads.
 */
public final class PoisonRequestDetector {
    /** Crashes after which a request is refused. */
    static final int QUARANTINE_STRIKES = 2;

    /** Time within which a broken connection and the death of its server belong together. */
    static final long CONFIRMATION_WINDOW_MILLIS = 5_000;

    /** Time for which strikes are kept. */
    static final long STRIKE_TTL_MILLIS = 600_000;

    /** Bounds the memory; the oldest strikes go first. */
    private static final int MAX_REQUESTS = 2_000;

    /**
     * A crash of a server's process while a request ran there.
     *
     * @param process the server's id and the time of its start
     */
    public record Strike(long fingerprint, String process) {}

    private record BrokenConnection(long fingerprint, long atMillis) {}

    private record RequestStrikes(Set<String> processes, long atMillis) {}

    private final MonotonicClock clock;
    private final Map<String, List<BrokenConnection>> brokenConnectionsByProcess = new HashMap<>();
    private final LinkedHashMap<Long, RequestStrikes> strikesByFingerprint = new LinkedHashMap<>();
    private final Map<String, Long> deathMillisByProcess = new HashMap<>();

    public PoisonRequestDetector(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Notes that a connection broke while a request was running at a process. */
    public void connectionBroken(long fingerprint, String process) {
        expireOld();
        if (deathMillisByProcess.containsKey(process)) {
            addStrike(new Strike(fingerprint, process));
            return;
        }
        brokenConnectionsByProcess
                .computeIfAbsent(process, name -> new ArrayList<>())
                .add(new BrokenConnection(fingerprint, clock.millis()));
    }

    /** Notes that a process has died. */
    public void processDied(String process) {
        expireOld();
        deathMillisByProcess.put(process, clock.millis());
        List<BrokenConnection> broken = brokenConnectionsByProcess.remove(process);
        if (broken != null) {
            broken.forEach(entry -> addStrike(new Strike(entry.fingerprint(), process)));
        }
    }

    /** Notes that a request was answered, which clears it unless it is refused already. */
    public void requestAnswered(long fingerprint) {
        RequestStrikes strikes = strikesByFingerprint.get(fingerprint);
        if (strikes != null && strikes.processes().size() < QUARANTINE_STRIKES) {
            strikesByFingerprint.remove(fingerprint);
        }
    }

    /** Returns whether a request is refused. */
    public boolean isQuarantined(long fingerprint) {
        RequestStrikes strikes = strikesByFingerprint.get(fingerprint);
        return strikes != null
                && clock.millis() - strikes.atMillis() < STRIKE_TTL_MILLIS
                && strikes.processes().size() >= QUARANTINE_STRIKES;
    }

    /** Merges strikes that other nodes have seen. */
    public void merge(Collection<Strike> strikes) {
        strikes.forEach(this::addStrike);
    }

    /** Returns all strikes, for other nodes. */
    public List<Strike> strikes() {
        List<Strike> all = new ArrayList<>();
        strikesByFingerprint.forEach((fingerprint, strikes) ->
                strikes.processes().forEach(process -> all.add(new Strike(fingerprint, process))));
        return all;
    }

    private void addStrike(Strike strike) {
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
    }

    private void expireOld() {
        long nowMillis = clock.millis();
        brokenConnectionsByProcess.values().removeIf(entries -> {
            entries.removeIf(entry -> nowMillis - entry.atMillis() > CONFIRMATION_WINDOW_MILLIS);
            return entries.isEmpty();
        });
        deathMillisByProcess.values().removeIf(atMillis -> nowMillis - atMillis > CONFIRMATION_WINDOW_MILLIS);
        strikesByFingerprint.values().removeIf(strikes -> nowMillis - strikes.atMillis() >= STRIKE_TTL_MILLIS);
    }
}
