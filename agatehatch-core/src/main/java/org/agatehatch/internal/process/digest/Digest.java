package org.agatehatch.internal.process.digest;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.agatehatch.api.time.MonotonicClock;
import org.agatehatch.api.time.WallClock;

/**
 * The digest of one node: the newest entry of each identity, and what each neighbour has already. Owned by the control
 * thread.
 */
public final class Digest {
    /** Entries of a version this far ahead of the receiver's wall clock are refused. */
    private static final long MAX_CLOCK_AHEAD_MILLIS = 300_000;

    private final MonotonicClock clock;
    private final WallClock wallClock;
    private final Consumer<DigestEntry> onChange;
    private final Map<DigestEntry.Identity, ReceivedEntry> held = new HashMap<>();
    private final Map<String, Map<DigestEntry.Identity, Long>> knownByNeighbour = new HashMap<>();
    private long refusedEntries;

    /** @param onChange called for each entry that is new or newer, own entries included */
    public Digest(MonotonicClock clock, WallClock wallClock, Consumer<DigestEntry> onChange) {
        this.clock = clock;
        this.wallClock = wallClock;
        this.onChange = onChange;
    }

    /** Publishes an entry of this node's own. Its version is now, or one more than the last version known. */
    public void publish(DigestKind kind, long key, byte[] payload) {
        DigestEntry.Identity identity = new DigestEntry.Identity(kind, key);
        ReceivedEntry previous = held.get(identity);
        long version = wallClock.epochMillis();
        if (previous != null) {
            version = Math.max(version, previous.entry().version() + 1);
        }
        store(new DigestEntry(kind, key, version, payload));
    }

    /** Takes entries from a neighbour. */
    public void merge(String neighbour, Collection<DigestEntry> entries) {
        Map<DigestEntry.Identity, Long> known = knownByNeighbour.computeIfAbsent(neighbour, name -> new HashMap<>());
        for (DigestEntry entry : entries) {
            if (!plausible(entry)) {
                refusedEntries++;
                continue;
            }
            known.merge(entry.identity(), entry.version(), Math::max);
            ReceivedEntry previous = held.get(entry.identity());
            if (previous == null || previous.entry().version() < entry.version()) {
                store(entry);
            }
        }
    }

    /** Returns what the neighbour does not have yet, at most {@code maxBytes} of payload, and notes it as sent. */
    public List<DigestEntry> takeDelta(String neighbour, int maxBytes) {
        Map<DigestEntry.Identity, Long> known = knownByNeighbour.computeIfAbsent(neighbour, name -> new HashMap<>());
        List<DigestEntry> delta = new ArrayList<>();
        int bytes = 0;
        for (ReceivedEntry candidate : held.values()) {
            DigestEntry entry = candidate.entry();
            if (known.getOrDefault(entry.identity(), Long.MIN_VALUE) >= entry.version()) {
                continue;
            }
            bytes += entry.payload().length;
            if (bytes > maxBytes && !delta.isEmpty()) {
                break;
            }
            delta.add(entry);
            known.put(entry.identity(), entry.version());
        }
        return delta;
    }

    /** Forgets what a neighbour has, because its link was closed. */
    public void forgetNeighbour(String neighbour) {
        knownByNeighbour.remove(neighbour);
    }

    /** Drops entries that were not replaced within the lifetime of their kind. */
    public void expire() {
        long nowMillis = clock.millis();
        held.values()
                .removeIf(entry -> nowMillis - entry.receivedMillis()
                        > entry.entry().kind().lifetimeMillis());
        for (Map<DigestEntry.Identity, Long> known : knownByNeighbour.values()) {
            known.keySet().removeIf(identity -> !held.containsKey(identity));
        }
    }

    /** Returns an entry if it is held. */
    public Optional<DigestEntry> get(DigestKind kind, long key) {
        return Optional.ofNullable(held.get(new DigestEntry.Identity(kind, key)))
                .map(ReceivedEntry::entry);
    }

    /** Returns how long ago an entry was last replaced, in milliseconds. */
    public Optional<Long> ageMillis(DigestKind kind, long key) {
        return Optional.ofNullable(held.get(new DigestEntry.Identity(kind, key)))
                .map(entry -> clock.millis() - entry.receivedMillis());
    }

    /** Returns all entries of a kind. */
    public List<DigestEntry> entries(DigestKind kind) {
        return held.values().stream()
                .map(ReceivedEntry::entry)
                .filter(entry -> entry.kind() == kind)
                .toList();
    }

    /** Returns how many entries are held. */
    public int size() {
        return held.size();
    }

    /** Returns how many entries were refused because their version lies too far in the future or past. */
    public long refusedEntries() {
        return refusedEntries;
    }

    /** Old entries are refused as well: a reopened link would otherwise keep an expired entry alive for ever. */
    private boolean plausible(DigestEntry entry) {
        long nowMillis = wallClock.epochMillis();
        return entry.version() <= nowMillis + MAX_CLOCK_AHEAD_MILLIS
                && entry.version() >= nowMillis - entry.kind().lifetimeMillis() - MAX_CLOCK_AHEAD_MILLIS;
    }

    private void store(DigestEntry entry) {
        held.put(entry.identity(), new ReceivedEntry(entry, clock.millis()));
        onChange.accept(entry);
    }

    private record ReceivedEntry(DigestEntry entry, long receivedMillis) {}
}
