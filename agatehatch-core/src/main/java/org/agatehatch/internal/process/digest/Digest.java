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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A node's copy of the gossiped soft state: the newest entry of each identity, and the versions that each neighbour
 * already has. Owned by the control thread.
 */
public final class Digest {
    private static final Logger log = LoggerFactory.getLogger(Digest.class);

    /** Entries whose version is further ahead of this node's wall clock are refused. */
    private static final long MAX_CLOCK_AHEAD_MILLIS = 300_000;

    private final MonotonicClock clock;
    private final WallClock wallClock;
    private final Consumer<DigestEntry> onChange;
    private final Map<DigestEntry.Identity, ReceivedEntry> entriesByIdentity = new HashMap<>();
    private final Map<String, Map<DigestEntry.Identity, Long>> knownByNeighbour = new HashMap<>();
    private long refusedEntries;

    /** @param onChange called for each entry that is new or newer, including those that this node publishes */
    public Digest(MonotonicClock clock, WallClock wallClock, Consumer<DigestEntry> onChange) {
        this.clock = clock;
        this.wallClock = wallClock;
        this.onChange = onChange;
    }

    /**
     * Publishes an entry of this node. Its version is the current time, or one more than the last known version if
     * that is higher. An entry that other nodes would refuse, together with the message that carries it, is not published.
     */
    public void publish(DigestKind kind, long key, byte[] payload) {
        if (payload.length > DigestCodec.MAX_PAYLOAD_BYTES) {
            refusedEntries++;
            log.warn(
                    "digest entry of kind {} not published: {} bytes exceed the limit of {}",
                    kind,
                    payload.length,
                    DigestCodec.MAX_PAYLOAD_BYTES);
            return;
        }
        DigestEntry.Identity identity = new DigestEntry.Identity(kind, key);
        ReceivedEntry previous = entriesByIdentity.get(identity);
        long version = wallClock.epochMillis();
        if (previous != null) {
            version = Math.max(version, previous.entry().version() + 1);
        }
        store(new DigestEntry(kind, key, version, payload));
    }

    /** Merges entries that a neighbour has sent. */
    public void merge(String neighbour, Collection<DigestEntry> entries) {
        Map<DigestEntry.Identity, Long> knownVersions =
                knownByNeighbour.computeIfAbsent(neighbour, name -> new HashMap<>());
        for (DigestEntry entry : entries) {
            if (!plausible(entry)) {
                refusedEntries++;
                continue;
            }
            knownVersions.merge(entry.identity(), entry.version(), Math::max);
            ReceivedEntry previous = entriesByIdentity.get(entry.identity());
            if (previous == null || previous.entry().version() < entry.version()) {
                store(entry);
            }
        }
    }

    /**
     * Returns entries that the neighbour does not have yet and marks them as sent. Their encoding takes at most
     * {@code maxBytes}, unless a single entry is larger.
     */
    public List<DigestEntry> takeDelta(String neighbour, int maxBytes) {
        Map<DigestEntry.Identity, Long> knownVersions =
                knownByNeighbour.computeIfAbsent(neighbour, name -> new HashMap<>());
        List<DigestEntry> delta = new ArrayList<>();
        int bytes = DigestCodec.MAX_HEADER_BYTES;
        for (ReceivedEntry received : entriesByIdentity.values()) {
            DigestEntry entry = received.entry();
            if (knownVersions.getOrDefault(entry.identity(), Long.MIN_VALUE) >= entry.version()) {
                continue;
            }
            bytes += DigestCodec.MAX_HEADER_BYTES + entry.payload().length;
            if (bytes > maxBytes && !delta.isEmpty()) {
                break;
            }
            delta.add(entry);
            knownVersions.put(entry.identity(), entry.version());
        }
        return delta;
    }

    /** Discards the versions known by a neighbour whose link was closed. */
    public void forgetNeighbour(String neighbour) {
        knownByNeighbour.remove(neighbour);
    }

    /** Removes entries that were not replaced within the lifetime of their kind. */
    public void expire() {
        long nowMillis = clock.millis();
        entriesByIdentity
                .values()
                .removeIf(entry -> nowMillis - entry.receivedMillis()
                        > entry.entry().kind().lifetimeMillis());
        for (Map<DigestEntry.Identity, Long> knownVersions : knownByNeighbour.values()) {
            knownVersions.keySet().removeIf(identity -> !entriesByIdentity.containsKey(identity));
        }
    }

    /** Returns an entry if it is present. */
    public Optional<DigestEntry> get(DigestKind kind, long key) {
        return Optional.ofNullable(entriesByIdentity.get(new DigestEntry.Identity(kind, key)))
                .map(ReceivedEntry::entry);
    }

    /** Returns how long ago an entry was last replaced, in milliseconds. */
    public Optional<Long> ageMillis(DigestKind kind, long key) {
        return Optional.ofNullable(entriesByIdentity.get(new DigestEntry.Identity(kind, key)))
                .map(entry -> clock.millis() - entry.receivedMillis());
    }

    /** Returns all entries of a kind. */
    public List<DigestEntry> entries(DigestKind kind) {
        return entriesByIdentity.values().stream()
                .map(ReceivedEntry::entry)
                .filter(entry -> entry.kind() == kind)
                .toList();
    }

    /** Returns the number of entries. */
    public int size() {
        return entriesByIdentity.size();
    }

    /** Returns how many entries were refused because they were too large, or their version too far in the future or past. */
    public long refusedEntries() {
        return refusedEntries;
    }

    /** Old entries are refused as well: otherwise a reopened link would bring back expired entries again and again. */
    private boolean plausible(DigestEntry entry) {
        long nowMillis = wallClock.epochMillis();
        return entry.version() <= nowMillis + MAX_CLOCK_AHEAD_MILLIS
                && entry.version() >= nowMillis - entry.kind().lifetimeMillis() - MAX_CLOCK_AHEAD_MILLIS;
    }

    private void store(DigestEntry entry) {
        entriesByIdentity.put(entry.identity(), new ReceivedEntry(entry, clock.millis()));
        onChange.accept(entry);
    }

    private record ReceivedEntry(DigestEntry entry, long receivedMillis) {}
}
