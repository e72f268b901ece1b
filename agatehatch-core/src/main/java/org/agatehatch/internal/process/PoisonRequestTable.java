package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.agatehatch.internal.request.AttemptId;

/**
 * Tracks suspects, that is requests that were in flight on a backend server whose process died, and quarantines poison
 * requests. A request with one strike may run one trial at a time, on a backend server that runs no other suspect; a
 * request with two strikes is quarantined. Not thread-safe.
 *
 * <p>Ages are measured on the monotonic clock from the moment a strike was received, plus the age that a peer sent with
 * it.
 */
public final class PoisonRequestTable {
    /** Time after which a single strike expires. */
    public static final long STRIKE_TTL_MILLIS = 60_000;

    /** Time for which a request with two strikes is refused. */
    public static final long QUARANTINE_MILLIS = 30 * 60_000L;

    private static final int QUARANTINE_STRIKES = 2;

    /** Bounds the memory; beyond it the oldest suspects are evicted. */
    private static final int MAX_SUSPECTS = 10_000;

    /** Whether a request may be sent to a backend server. */
    public sealed interface Verdict {
        /** The request has no strike and may be sent. */
        record Allowed() implements Verdict {}

        /** The request has a strike and may be sent as the only suspect on this backend server. */
        record Trial() implements Verdict {}

        /**
         * The request is already in flight, or another suspect runs on this backend server. Another backend server or a
         * later retry may be allowed.
         */
        record Busy() implements Verdict {}

        /** The request must be refused. */
        record Quarantined(long remainingMillis) implements Verdict {}
    }

    private static final class Suspect {
        private final Set<CrashReport> strikes = new HashSet<>();
        private long expiresAtMillis;
        private boolean quarantined;
    }

    private record InFlight(long fingerprint, String backendServer) {}

    private final Map<Long, Suspect> suspectsByFingerprint = new LinkedHashMap<>();
    private final Map<CrashReport, Long> firstSeenMillisByReport = new LinkedHashMap<>();
    private final Map<AttemptId, InFlight> inFlight = new HashMap<>();

    /** Decides whether a request may be sent. The caller must call {@link #started} before it sends the request. */
    public Verdict check(long fingerprint, String backendServer, long nowMillis) {
        expireOld(nowMillis);
        Suspect suspect = suspectsByFingerprint.get(fingerprint);
        if (suspect == null) {
            return new Verdict.Allowed();
        }
        if (suspect.quarantined) {
            return new Verdict.Quarantined(suspect.expiresAtMillis - nowMillis);
        }
        boolean busy = inFlight.values().stream()
                .anyMatch(other -> other.fingerprint() == fingerprint
                        || (other.backendServer().equals(backendServer)
                                && suspectsByFingerprint.containsKey(other.fingerprint())));
        return busy ? new Verdict.Busy() : new Verdict.Trial();
    }

    /** Records that an attempt is in flight. */
    public void started(AttemptId attempt, long fingerprint, String backendServer) {
        inFlight.put(attempt, new InFlight(fingerprint, backendServer));
    }

    /**
     * Records that an attempt ended without a crash of its backend server.
     *
     * @param answered whether a complete answer arrived, which clears a request with one strike
     */
    public void finished(AttemptId attempt, boolean answered) {
        InFlight ended = inFlight.remove(attempt);
        if (ended == null || !answered) {
            return;
        }
        Suspect suspect = suspectsByFingerprint.get(ended.fingerprint());
        if (suspect != null && !suspect.quarantined) {
            suspectsByFingerprint.remove(ended.fingerprint());
        }
    }

    /**
     * Records the death of a backend server's process as a strike against every request in flight on it.
     *
     * @return the strikes, to be sent to the log and to peers before any of the callers is answered
     */
    public List<CrashReport> crashed(String backendServer, String runnerEpoch, long nowMillis) {
        Set<CrashReport> reports = new HashSet<>();
        for (Map.Entry<AttemptId, InFlight> entry : new ArrayList<>(inFlight.entrySet())) {
            if (entry.getValue().backendServer().equals(backendServer)) {
                inFlight.remove(entry.getKey());
                reports.add(new CrashReport(entry.getValue().fingerprint(), backendServer, runnerEpoch));
            }
        }
        reports.forEach(report -> merge(report, nowMillis));
        return List.copyOf(reports);
    }

    /** Merges a strike from the log, whose age is unknown and taken as 0. Idempotent. */
    public void merge(CrashReport report, long nowMillis) {
        merge(new AgedCrashReport(report, 0, false), nowMillis);
    }

    /** Merges a strike from a peer's digest. Idempotent. */
    public void merge(AgedCrashReport aged, long nowMillis) {
        expireOld(nowMillis);
        long ttlMillis = (aged.quarantined() ? QUARANTINE_MILLIS : STRIKE_TTL_MILLIS) - Math.max(0, aged.ageMillis());
        // A request that was cleared stays cleared when the same strike arrives again over a slower path.
        if (ttlMillis <= 0 || firstSeenMillisByReport.containsKey(aged.report())) {
            return;
        }
        evictOldest();
        firstSeenMillisByReport.put(aged.report(), nowMillis - Math.max(0, aged.ageMillis()));
        Suspect suspect = suspectsByFingerprint.computeIfAbsent(aged.report().fingerprint(), unused -> new Suspect());
        suspect.strikes.add(aged.report());
        boolean reachedQuarantine = suspect.strikes.size() == QUARANTINE_STRIKES;
        suspect.quarantined |= aged.quarantined() || reachedQuarantine;
        long expiresAtMillis =
                nowMillis + (reachedQuarantine ? QUARANTINE_MILLIS - Math.max(0, aged.ageMillis()) : ttlMillis);
        suspect.expiresAtMillis = Math.max(suspect.expiresAtMillis, expiresAtMillis);
    }

    /**
     * A strike in a node's digest.
     *
     * @param ageMillis time since the sender recorded the strike, plus the age with which the sender received it
     * @param quarantined whether the sender has quarantined the request
     */
    public record AgedCrashReport(CrashReport report, long ageMillis, boolean quarantined) {}

    /** Returns the strikes that have not expired, for the digest. */
    public List<AgedCrashReport> strikes(long nowMillis) {
        expireOld(nowMillis);
        List<AgedCrashReport> aged = new ArrayList<>();
        for (Suspect suspect : suspectsByFingerprint.values()) {
            for (CrashReport report : suspect.strikes) {
                long firstSeenMillis = firstSeenMillisByReport.getOrDefault(report, nowMillis);
                aged.add(new AgedCrashReport(report, nowMillis - firstSeenMillis, suspect.quarantined));
            }
        }
        return aged;
    }

    /** Returns the number of requests with at least one strike. */
    public int suspectCount() {
        return suspectsByFingerprint.size();
    }

    private void expireOld(long nowMillis) {
        suspectsByFingerprint.values().removeIf(suspect -> suspect.expiresAtMillis <= nowMillis);
        firstSeenMillisByReport.values().removeIf(seen -> nowMillis - seen >= QUARANTINE_MILLIS);
    }

    private void evictOldest() {
        if (suspectsByFingerprint.size() >= MAX_SUSPECTS) {
            suspectsByFingerprint.remove(
                    suspectsByFingerprint.keySet().iterator().next());
        }
        if (firstSeenMillisByReport.size() >= QUARANTINE_STRIKES * MAX_SUSPECTS) {
            firstSeenMillisByReport.remove(
                    firstSeenMillisByReport.keySet().iterator().next());
        }
    }
}
