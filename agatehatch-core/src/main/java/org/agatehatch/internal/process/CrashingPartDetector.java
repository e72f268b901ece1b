package org.agatehatch.internal.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.agatehatch.api.fleet.GenerationRequest;
import org.agatehatch.api.fleet.PromptPart;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Detects prompt parts that crash the servers that begin an answer to them, and quarantines them. It needs no request to be
 * sent twice: the evidence is kept for the parts that requests share. Not thread-safe.
 *
 * <p>Suspected of a crash are the shared parts of all requests whose answers had not begun, or had just begun, when their
 * server died. An answer that goes on for {@link #SURVIVAL_MILLIS} clears its parts of all crashes before its first byte, so
 * that parts of sound requests, which are suspected along with others, are cleared by the requests that follow. Crashes at
 * about the same time count as one, since their common cause is likelier to be outside.
 *
 * <p>The part with the most crashes is taken for their cause. Since requests with a crashing part also hold the parts before
 * it, a later part of the same requests that explains most of these crashes is preferred. Crashes that a quarantined part
 * explains no longer count against others. Verdicts are derived anew from the evidence of all nodes after each change: one
 * is withdrawn when its part is cleared, or another part turns out to explain the same crashes and more.
 */
public final class CrashingPartDetector {
    /** Crashes at different times after which a part is quarantined, if they hit servers at more than one address. */
    static final int QUARANTINE_CRASHES = 3;

    /** Crashes after which a part is quarantined although another one has as many. */
    static final int AMBIGUOUS_CRASHES = 4;

    /**
     * Crashes after which a part is quarantined with which answers have recently succeeded. Such a part may share the crashes
     * only because it is popular.
     */
    static final int RECENTLY_SOUND_CRASHES = 4;

    /** Crashes of servers at a single address after which a part, not the server, is taken for the cause. */
    static final int SINGLE_SERVER_CRASHES = 5;

    /** Fraction of a part's crashes that a later part of the same requests must exceed to be blamed in its place. */
    private static final double EXPLAINED_FRACTION = 0.5;

    /** Shortest time between two crashes that count separately; a sound part is cleared in less if traffic flows. */
    static final long SEPARATION_MILLIS = 250;

    /** Time after the first byte of an answer after which its server has survived the beginning. */
    public static final long SURVIVAL_MILLIS = 250;

    /** Time after which a crash that is not attributed to a quarantined part no longer counts. */
    static final long SUSPICION_TTL_MILLIS = 2 * 60_000L;

    /** Time after which a crash that is attributed to a quarantined part no longer counts. */
    static final long QUARANTINE_TTL_MILLIS = 30 * 60_000L;

    /** Time after the last crash of a part before one request with it is tried; doubled with each further crash. */
    public static final long FIRST_TRIAL_MILLIS = 30_000;

    static final long MAX_TRIAL_MILLIS = 8 * 60_000L;

    /** Time after a trial without a result before the next one. */
    static final long TRIAL_TIMEOUT_MILLIS = 10_000;

    /** Bounds the memory and the size of messages; beyond it the oldest crash is forgotten. */
    static final int MAX_CRASHES = 64;

    /** Bounds the memory; servers queue up to about as many requests. */
    static final int MAX_PROMPTS_PER_CRASH = 128;

    /** Bounds the memory and the size of messages; further parts of a prompt are not suspected. */
    static final int MAX_PARTS_PER_PROMPT = 16;

    /** Bounds the memory and the size of messages; a longer identifier is not suspected. */
    static final int MAX_PART_LENGTH = 32;

    /** Bounds the memory; beyond it the least recently used part is forgotten. */
    private static final int MAX_SOUND_PARTS = 4_096;

    /** Receives changes of verdicts. */
    public interface Listener {
        /** Called when a part was quarantined. */
        void onQuarantine(String part, Set<String> processes);

        /** Called when a quarantine ended. */
        void onRelease(String part);
    }

    private record Crash(
            String process,
            String address,
            long atMillis,
            Set<List<String>> prompts,
            Set<String> clearedParts,
            boolean followedBySoundAnswer) {
        private boolean involves(String part) {
            return prompts.stream().anyMatch(parts -> parts.contains(part));
        }

        /** Returns whether one request holds both parts, in this order. */
        private boolean involves(String earlier, String later) {
            return prompts.stream().anyMatch(parts -> {
                int position = parts.indexOf(earlier);
                return position >= 0 && parts.indexOf(later) > position;
            });
        }
    }

    private static final class Suspect {
        private final String part;
        private int depth;
        private final List<Crash> crashes = new ArrayList<>();

        private Suspect(String part) {
            this.part = part;
        }
    }

    private record InFlight(List<String> parts, String address) {}

    private final MonotonicClock clock;
    private final Predicate<String> trialOwner;
    private final Listener listener;
    private final CrashCorrelator<InFlight> broken;
    private final Map<String, Crash> crashByProcess = new LinkedHashMap<>();
    private final Map<String, Long> changeMillisByProcess = new HashMap<>();
    private final Map<String, Long> soundMillisByPart = new LinkedHashMap<>(16, 0.75f, true);
    private final Map<String, Long> trialMillisByPart = new HashMap<>();
    private Map<String, Suspect> quarantined = Map.of();
    private long changedAtMillis = Long.MIN_VALUE;
    private boolean stale;

    /**
     * Creates a detector without evidence.
     *
     * @param trialOwner whether this node, of all nodes, tries requests with a quarantined part
     */
    public CrashingPartDetector(MonotonicClock clock, Predicate<String> trialOwner, Listener listener) {
        this.clock = clock;
        this.trialOwner = trialOwner;
        this.listener = listener;
        this.broken = new CrashCorrelator<>(clock, this::onCrash);
    }

    /** Returns the parts of a prompt that other requests may share, which are all but the last, in order. */
    public static List<String> sharedParts(GenerationRequest generation) {
        List<PromptPart> parts = generation.parts();
        return parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .map(PromptPart::id)
                .filter(part -> part.length() <= MAX_PART_LENGTH)
                .limit(MAX_PARTS_PER_PROMPT)
                .toList();
    }

    /**
     * Records that a connection broke on which an answer had not begun or had just begun.
     *
     * @param process the server's id and start time
     * @param address address of the server, which a restart does not change
     */
    public void connectionBroken(List<String> sharedParts, String process, String address) {
        if (!sharedParts.isEmpty()) {
            broken.connectionBroken(new InFlight(sharedParts, address), process);
        }
    }

    /** Records that a server's process has died. */
    public void processDied(String process) {
        broken.processDied(process);
    }

    /**
     * Records that a server survived the beginning of an answer.
     *
     * @param begunMillis time of the first byte of the answer
     */
    public void answerSurvived(List<String> sharedParts, long begunMillis) {
        if (sharedParts.isEmpty()) {
            return;
        }
        for (String part : sharedParts) {
            soundMillisByPart.merge(part, begunMillis, Math::max);
        }
        while (soundMillisByPart.size() > MAX_SOUND_PARTS) {
            soundMillisByPart.remove(soundMillisByPart.keySet().iterator().next());
        }
        for (Crash crash : List.copyOf(crashByProcess.values())) {
            boolean isNews =
                    !crash.followedBySoundAnswer() || sharedParts.stream().anyMatch(crash::involves);
            if (isNews && crash.atMillis() < begunMillis) {
                replace(crash, withProofs(crash, true));
            }
        }
    }

    /**
     * Returns a quarantined part of a request, because of which it must not be sent; empty if it may be sent. From time to time
     * the owner of a part's trials may send one request with it, so that a wrong verdict ends.
     */
    public Optional<String> blockingPart(List<String> sharedParts) {
        update();
        List<Suspect> blocking = sharedParts.stream()
                .filter(quarantined::containsKey)
                .map(quarantined::get)
                .toList();
        if (blocking.isEmpty()) {
            return Optional.empty();
        }
        if (blocking.stream().allMatch(this::trialDue)) {
            blocking.forEach(suspect -> trialMillisByPart.put(suspect.part, clock.millis()));
            return Optional.empty();
        }
        return Optional.of(blocking.get(0).part);
    }

    /** Returns the quarantined parts. */
    public Set<String> quarantinedParts() {
        update();
        return quarantined.keySet();
    }

    /** Returns the time since the evidence last changed, by this node's own observations or those of peers. */
    public long sinceChangeMillis() {
        return changedAtMillis == Long.MIN_VALUE ? Long.MAX_VALUE : clock.millis() - changedAtMillis;
    }

    /** Returns whether no crash is known. */
    public boolean isEmpty() {
        return crashByProcess.isEmpty();
    }

    /** Returns all evidence, to be sent to another node. */
    public CrashEvidence evidence() {
        return evidenceSince(Long.MIN_VALUE);
    }

    /** Returns the evidence that has become known within a time. */
    public CrashEvidence recentEvidence(long maxAgeMillis) {
        return evidenceSince(clock.millis() - maxAgeMillis);
    }

    private CrashEvidence evidenceSince(long sinceMillis) {
        expireOld();
        long nowMillis = clock.millis();
        return new CrashEvidence(crashByProcess.values().stream()
                .filter(crash -> changeMillisByProcess.get(crash.process()) >= sinceMillis)
                .map(crash -> new CrashEvidence.Crash(
                        crash.process(),
                        crash.address(),
                        nowMillis - crash.atMillis(),
                        crash.prompts(),
                        crash.clearedParts(),
                        crash.followedBySoundAnswer()))
                .toList());
    }

    /** Merges the evidence of another node. Idempotent. */
    public void merge(CrashEvidence other) {
        long nowMillis = clock.millis();
        for (CrashEvidence.Crash crash : other.crashes()) {
            addCrash(new Crash(
                    crash.process(),
                    crash.address(),
                    nowMillis - Math.max(0, crash.ageMillis()),
                    crash.prompts(),
                    crash.clearedParts(),
                    crash.followedBySoundAnswer()));
        }
    }

    private void onCrash(InFlight inFlight, String process, long brokenAtMillis) {
        addCrash(new Crash(process, inFlight.address(), brokenAtMillis, Set.of(inFlight.parts()), Set.of(), false));
    }

    private void addCrash(Crash crash) {
        if (clock.millis() - crash.atMillis() >= QUARANTINE_TTL_MILLIS) {
            return;
        }
        Crash known = crashByProcess.get(crash.process());
        Crash merged = withProofs(known == null ? crash : union(known, crash), false);
        if (known != null) {
            replace(known, merged);
        } else if (crashByProcess.size() < MAX_CRASHES || evictOlderThan(crash.atMillis())) {
            put(merged);
        }
    }

    private void replace(Crash known, Crash merged) {
        if (!merged.equals(known)) {
            put(merged);
        }
    }

    private void put(Crash crash) {
        crashByProcess.put(crash.process(), crash);
        changedAtMillis = clock.millis();
        changeMillisByProcess.put(crash.process(), changedAtMillis);
        stale = true;
    }

    private boolean evictOlderThan(long atMillis) {
        Optional<Crash> oldest = crashByProcess.values().stream()
                .min(Comparator.comparingLong(Crash::atMillis))
                .filter(crash -> crash.atMillis() < atMillis);
        oldest.ifPresent(crash -> crashByProcess.remove(crash.process()));
        return oldest.isPresent();
    }

    private static Crash union(Crash known, Crash added) {
        Set<List<String>> prompts = new HashSet<>(known.prompts());
        prompts.addAll(added.prompts());
        Set<String> clearedParts = new HashSet<>(known.clearedParts());
        clearedParts.addAll(added.clearedParts());
        return new Crash(
                known.process(),
                known.address(),
                Math.min(known.atMillis(), added.atMillis()),
                prompts,
                clearedParts,
                known.followedBySoundAnswer() || added.followedBySoundAnswer());
    }

    /** Clears a crash's parts with which answers have begun since, and removes the prompts that hold no other parts. */
    private Crash withProofs(Crash crash, boolean followedBySoundAnswer) {
        Set<String> clearedParts = new HashSet<>(crash.clearedParts());
        crash.prompts()
                .forEach(parts -> parts.stream()
                        .filter(part -> soundMillisByPart.getOrDefault(part, Long.MIN_VALUE) > crash.atMillis())
                        .forEach(clearedParts::add));
        Set<List<String>> prompts = crash.prompts().stream()
                .filter(parts -> !clearedParts.containsAll(parts))
                .limit(MAX_PROMPTS_PER_CRASH)
                .collect(Collectors.toSet());
        return new Crash(
                crash.process(),
                crash.address(),
                crash.atMillis(),
                prompts,
                clearedParts,
                crash.followedBySoundAnswer() || followedBySoundAnswer);
    }

    private boolean trialDue(Suspect suspect) {
        long nowMillis = clock.millis();
        long lastCrashMillis = suspect.crashes.get(suspect.crashes.size() - 1).atMillis();
        int further = Math.max(0, separateCrashes(suspect.crashes) - QUARANTINE_CRASHES);
        long waitMillis = Math.min(MAX_TRIAL_MILLIS, FIRST_TRIAL_MILLIS << Math.min(further, 10));
        Long lastTrialMillis = trialMillisByPart.get(suspect.part);
        boolean idle = lastTrialMillis == null || nowMillis - lastTrialMillis >= TRIAL_TIMEOUT_MILLIS;
        return nowMillis - lastCrashMillis >= waitMillis && idle && trialOwner.test(suspect.part);
    }

    private void update() {
        expireOld();
        if (!stale) {
            return;
        }
        stale = false;
        Map<String, Suspect> before = quarantined;
        quarantined = verdicts(suspects());
        quarantined.forEach((part, suspect) -> {
            if (!before.containsKey(part)) {
                Set<String> processes = new HashSet<>();
                suspect.crashes.forEach(crash -> processes.add(crash.process()));
                listener.onQuarantine(part, processes);
            }
        });
        before.keySet().stream().filter(part -> !quarantined.containsKey(part)).forEach(listener::onRelease);
    }

    /** Returns the parts that are not cleared of all crashes, each with the crashes in the order of their times. */
    private Map<String, Suspect> suspects() {
        Map<String, Suspect> suspects = new LinkedHashMap<>();
        List<Crash> inOrder = crashByProcess.values().stream()
                .sorted(Comparator.comparingLong(Crash::atMillis))
                .toList();
        for (Crash crash : inOrder) {
            Map<String, Integer> depthByPart = new LinkedHashMap<>();
            for (List<String> parts : crash.prompts()) {
                for (int depth = 0; depth < parts.size(); depth++) {
                    depthByPart.merge(parts.get(depth), depth, Math::max);
                }
            }
            depthByPart.forEach((part, depth) -> {
                if (!crash.clearedParts().contains(part)) {
                    Suspect suspect = suspects.computeIfAbsent(part, Suspect::new);
                    suspect.depth = Math.max(suspect.depth, depth);
                    suspect.crashes.add(crash);
                }
            });
        }
        return suspects;
    }

    private Map<String, Suspect> verdicts(Map<String, Suspect> suspects) {
        Map<String, Suspect> verdicts = new LinkedHashMap<>();
        Set<Crash> explained = new HashSet<>();
        suspects.values().stream()
                .filter(suspect -> quarantined.containsKey(suspect.part))
                .filter(suspect -> isSufficient(suspect, suspect.crashes))
                .filter(suspect -> suspects.values().stream().noneMatch(other -> explainsMore(other, suspect)))
                .forEach(suspect -> {
                    verdicts.put(suspect.part, suspect);
                    explained.addAll(suspect.crashes);
                });
        while (true) {
            List<Suspect> likeliest = likeliestCauses(suspects.values(), explained);
            if (likeliest.isEmpty()) {
                return verdicts;
            }
            for (Suspect suspect : likeliest) {
                verdicts.put(suspect.part, suspect);
                explained.addAll(suspect.crashes);
            }
        }
    }

    private static boolean explainsMore(Suspect other, Suspect suspect) {
        return other.crashes.size() > suspect.crashes.size() && other.crashes.containsAll(suspect.crashes);
    }

    /** Returns the suspects that explain most of the unexplained crashes; none if these are too few to tell. */
    private List<Suspect> likeliestCauses(Collection<Suspect> suspects, Set<Crash> explained) {
        Map<Suspect, List<Crash>> unexplained = new LinkedHashMap<>();
        for (Suspect suspect : suspects) {
            List<Crash> crashes = suspect.crashes.stream()
                    .filter(crash -> !explained.contains(crash))
                    .toList();
            if (isSufficient(suspect, crashes)) {
                unexplained.put(suspect, crashes);
            }
        }
        int most = unexplained.values().stream()
                .mapToInt(CrashingPartDetector::separateCrashes)
                .max()
                .orElse(0);
        Set<Suspect> likeliest = unexplained.keySet().stream()
                .filter(suspect -> separateCrashes(unexplained.get(suspect)) == most)
                .map(suspect -> deepestCause(suspect, unexplained))
                .collect(Collectors.toCollection(LinkedHashSet::new));
        if (likeliest.size() > 1 && most < AMBIGUOUS_CRASHES) {
            return List.of();
        }
        int depth = likeliest.stream().mapToInt(suspect -> suspect.depth).max().orElse(0);
        return likeliest.stream().filter(suspect -> suspect.depth == depth).toList();
    }

    /** Returns the last part of the same requests that explains most of the crashes of the part before it. */
    private static Suspect deepestCause(Suspect suspect, Map<Suspect, List<Crash>> unexplained) {
        List<Crash> crashes = unexplained.get(suspect);
        int toExceed = (int) (EXPLAINED_FRACTION * separateCrashes(crashes));
        return unexplained.keySet().stream()
                .filter(later -> later.depth > suspect.depth)
                .filter(later -> separateCrashes(crashes.stream()
                                .filter(crash -> crash.involves(suspect.part, later.part))
                                .toList())
                        > toExceed)
                .max(Comparator.comparingInt(later -> separateCrashes(unexplained.get(later))))
                .map(later -> deepestCause(later, unexplained))
                .orElse(suspect);
    }

    private boolean isSufficient(Suspect suspect, List<Crash> crashes) {
        if (crashes.isEmpty() || !crashes.get(0).followedBySoundAnswer()) {
            // Nothing else is known to work on these servers, so the cause may be the servers.
            return false;
        }
        return separateCrashes(crashes) >= requiredCrashes(suspect, crashes);
    }

    private int requiredCrashes(Suspect suspect, List<Crash> crashes) {
        boolean severalServers =
                crashes.stream().map(Crash::address).distinct().limit(2).count() > 1;
        if (!severalServers) {
            return SINGLE_SERVER_CRASHES;
        }
        Long soundMillis = soundMillisByPart.get(suspect.part);
        boolean recentlySound = soundMillis != null && crashes.get(0).atMillis() - soundMillis < SUSPICION_TTL_MILLIS;
        return recentlySound ? RECENTLY_SOUND_CRASHES : QUARANTINE_CRASHES;
    }

    /** Returns the number of crashes in a list in the order of their times, without those shortly after a counted one. */
    private static int separateCrashes(List<Crash> crashes) {
        int count = 0;
        long lastCountedMillis = 0;
        for (Crash crash : crashes) {
            if (count == 0 || crash.atMillis() - lastCountedMillis >= SEPARATION_MILLIS) {
                count++;
                lastCountedMillis = crash.atMillis();
            }
        }
        return count;
    }

    private void expireOld() {
        long nowMillis = clock.millis();
        boolean expired = crashByProcess
                .values()
                .removeIf(crash -> nowMillis - crash.atMillis()
                        >= (isAttributed(crash) ? QUARANTINE_TTL_MILLIS : SUSPICION_TTL_MILLIS));
        stale |= expired;
        changeMillisByProcess.keySet().retainAll(crashByProcess.keySet());
        trialMillisByPart.keySet().retainAll(quarantined.keySet());
    }

    private boolean isAttributed(Crash crash) {
        return quarantined.values().stream()
                .flatMap(suspect -> suspect.crashes.stream())
                .anyMatch(attributed -> attributed.process().equals(crash.process()));
    }
}
