package org.agatehatch.internal.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.agatehatch.internal.version.record.StateRecord.Strike;

/**
 * Crashes of backend server processes, by the fingerprints of the requests that were in flight there. The table uses no
 * clock: each node measures the age of a crash from the time at which it read the record.
 */
public final class StrikeTable {
    /** Maximum number of fingerprints kept: covers 20 crashes with 200 requests in flight each. */
    public static final int MAX_FINGERPRINTS = 4096;
    /** Maximum number of crashes kept per fingerprint; two crashes quarantine a fingerprint. */
    public static final int MAX_CRASHES_PER_FINGERPRINT = 4;

    private final Map<Long, List<Crash>> crashesByFingerprint = new LinkedHashMap<>();

    /** Returns the known crashes of a fingerprint, oldest first. */
    public List<Crash> crashes(long fingerprint) {
        return List.copyOf(crashesByFingerprint.getOrDefault(fingerprint, List.of()));
    }

    /** Returns all crashes, ordered by the last crash of their fingerprint. */
    public List<Crash> all() {
        return crashesByFingerprint.values().stream().flatMap(List::stream).toList();
    }

    void apply(long offset, Strike strike) {
        add(new Crash(strike.fingerprint(), strike.backendServer(), strike.runnerEpoch(), offset));
    }

    void restore(Collection<Crash> restored) {
        restored.forEach(this::add);
    }

    // Several nodes may report the same crash. Their reports have the same process epoch, so the crash counts once.
    private void add(Crash crash) {
        List<Crash> crashes = crashesByFingerprint.getOrDefault(crash.fingerprint(), new ArrayList<>());
        if (crashes.stream().anyMatch(crash::isSameProcess)) {
            return;
        }
        crashes.add(crash);
        if (crashes.size() > MAX_CRASHES_PER_FINGERPRINT) {
            crashes.remove(0);
        }
        crashesByFingerprint.remove(crash.fingerprint());
        crashesByFingerprint.put(crash.fingerprint(), crashes);
        if (crashesByFingerprint.size() > MAX_FINGERPRINTS) {
            Iterator<Long> oldest = crashesByFingerprint.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * A process crash while the request was in flight.
     *
     * @param offset log offset of the first report
     */
    public record Crash(long fingerprint, String backendServer, String runnerEpoch, long offset) {
        boolean isSameProcess(Crash other) {
            return backendServer.equals(other.backendServer) && runnerEpoch.equals(other.runnerEpoch);
        }
    }
}
