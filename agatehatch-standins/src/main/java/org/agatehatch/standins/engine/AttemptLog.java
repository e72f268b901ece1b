package org.agatehatch.standins.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** What became of the newest attempts, over all epochs of an engine. Safe for use by several threads. */
public final class AttemptLog {
    private static final int KEPT_ATTEMPTS = 10_000;

    private final Map<String, Entry> entries = new LinkedHashMap<>();

    /**
     * One attempt.
     *
     * @param state {@code queued}, {@code running}, {@code finished}, {@code cancelled}, {@code not_run} or
     *     {@code crashed}
     * @param tokens tokens computed, without those before the index from which it resumed
     */
    public record Entry(String attempt, String model, String state, int tokens) {}

    /** Returns all entries, oldest first. */
    public synchronized List<Entry> entries() {
        return new ArrayList<>(entries.values());
    }

    synchronized Optional<Entry> find(String epoch, String attempt) {
        return Optional.ofNullable(entries.get(key(epoch, attempt)));
    }

    synchronized void put(String epoch, InferenceRequest request, String state, int nextIndex) {
        int tokens = Math.max(0, nextIndex - request.firstIndex());
        entries.put(key(epoch, request.attempt()), new Entry(request.attempt(), request.model(), state, tokens));
        if (entries.size() > KEPT_ATTEMPTS) {
            Iterator<String> oldest = entries.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private static String key(String epoch, String attempt) {
        return epoch + "/" + attempt;
    }
}
