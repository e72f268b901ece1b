package org.agatehatch.internal.process;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import org.agatehatch.api.fleet.KeyedTopic;
import org.agatehatch.api.time.MonotonicClock;

/**
 * Records of a keyed topic that a relay has read, for the nodes that read the topic from it. Responses contain the
 * records whose meaning has changed; records that only renew an entry are left out. Runs on the control thread.
 */
public final class TopicRelayCache {
    /**
     * Maximum age of the last read of the store up to the topic's end. With an older one the cache is not current and serves no
     * records. Together with the interval of a reader, its timeout and its own read of the store, it must stay below the 2 s within
     * which a leaving server gets no more requests.
     */
    static final long MAX_AGE_MILLIS = 1_000;

    /** Maximum number of removals that are kept; a reader that is further behind must read a snapshot again. */
    private static final int MAX_REMOVALS = 512;

    private record CachedEntry(byte[] value, long offset, long changedOffset) {
        private KeyedTopic.Entry entry(String key) {
            return new KeyedTopic.Entry(key, Optional.of(value), offset);
        }
    }

    private final BiPredicate<byte[], byte[]> sameMeaning;
    private final MonotonicClock clock;
    private final Map<String, CachedEntry> entriesByKey = new LinkedHashMap<>();
    private final Deque<KeyedTopic.Entry> removals = new ArrayDeque<>();
    private long era = -1;
    private long completeFromOffset;
    private long nextOffset = -1;
    private long storeReadNanos;
    private boolean everReadStore;

    TopicRelayCache(BiPredicate<byte[], byte[]> sameMeaning, MonotonicClock clock) {
        this.sameMeaning = sameMeaning;
        this.clock = clock;
    }

    /** Records that the cache had all records of the store as of a time. */
    void onStoreRead(long asOfNanos) {
        everReadStore = true;
        storeReadNanos = asOfNanos;
    }

    /** Returns the era of the records; negative if there are none. */
    long era() {
        return era;
    }

    /** Returns whether records of an era belong here. Those of a new era replace all others. */
    private boolean acceptEra(long observed) {
        if (observed > era) {
            era = observed;
            entriesByKey.clear();
            removals.clear();
            nextOffset = -1;
        }
        return observed == era;
    }

    /** Adds changes that this node has read, and returns whether the cache now has all records up to the topic's end. */
    boolean add(KeyedTopic.Changes changes) {
        if (!acceptEra(changes.era()) || changes.truncated() || nextOffset < 0) {
            return false;
        }
        changes.entries().forEach(this::add);
        nextOffset = Math.max(nextOffset, changes.nextOffset());
        return nextOffset >= changes.endOffset();
    }

    /** Adds a snapshot that this node has read, and returns whether the cache now has all records up to the topic's end. */
    boolean add(KeyedTopic.Snapshot snapshot) {
        if (!acceptEra(snapshot.era()) || snapshot.endOffset() < nextOffset) {
            return false;
        }
        Set<String> present = new HashSet<>();
        for (KeyedTopic.Entry entry : snapshot.entries()) {
            present.add(entry.key());
            add(entry);
        }
        boolean skippedChanges = snapshot.endOffset() > nextOffset;
        if (entriesByKey.keySet().retainAll(present) || skippedChanges) {
            // The skipped changes are not known, among them removals, so readers that are behind must read a snapshot
            // again.
            removals.clear();
            completeFromOffset = snapshot.endOffset();
        }
        nextOffset = snapshot.endOffset();
        return true;
    }

    private void add(KeyedTopic.Entry entry) {
        CachedEntry previous = entriesByKey.get(entry.key());
        if (previous != null && previous.offset >= entry.offset()) {
            return;
        }
        if (entry.value().isEmpty()) {
            remove(entry);
            return;
        }
        byte[] value = entry.value().get();
        boolean renewal = previous != null && sameMeaning.test(previous.value, value);
        entriesByKey.put(
                entry.key(), new CachedEntry(value, entry.offset(), renewal ? previous.changedOffset : entry.offset()));
    }

    private void remove(KeyedTopic.Entry entry) {
        entriesByKey.remove(entry.key());
        removals.addLast(entry);
        if (removals.size() > MAX_REMOVALS) {
            completeFromOffset = removals.removeFirst().offset() + 1;
        }
    }

    /** Returns the response to a node that has read up to an offset of an era; a negative offset requests all records. */
    TopicMessages.Response respond(long readerEra, long fromOffset) {
        long ageMillis = (clock.nanos() - storeReadNanos) / 1_000_000;
        boolean current = everReadStore && nextOffset >= 0 && ageMillis <= MAX_AGE_MILLIS;
        if (!current || readerEra > era || (readerEra == era && fromOffset > nextOffset)) {
            return TopicMessages.Response.NOT_CURRENT;
        }
        boolean truncated = fromOffset >= 0 && (readerEra < era || fromOffset < completeFromOffset);
        return new TopicMessages.Response(
                true, truncated, truncated ? List.of() : entriesFrom(fromOffset), nextOffset, era, ageMillis);
    }

    private List<KeyedTopic.Entry> entriesFrom(long fromOffset) {
        List<KeyedTopic.Entry> entries = new ArrayList<>();
        entriesByKey.forEach((key, value) -> {
            if (value.changedOffset >= fromOffset) {
                entries.add(value.entry(key));
            }
        });
        if (fromOffset >= 0) {
            removals.stream().filter(entry -> entry.offset() >= fromOffset).forEach(entries::add);
        }
        entries.sort(Comparator.comparingLong(KeyedTopic.Entry::offset));
        return entries;
    }
}
