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
 * What this node has read of a keyed topic, for nodes that read the topic from here. They get the records whose meaning has
 * changed; those that only renew an entry are left out. Runs on the control thread.
 */
final class TopicRelayCache {
    /** Age of the last read of the store beyond which the answers would be too old for others. */
    static final long MAX_AGE_MILLIS = 1_200;

    /** Dropped keys that are remembered; a reader that is further behind starts over. */
    private static final int MAX_DROPPED = 512;

    private record CachedEntry(byte[] value, long offset, long changedOffset) {
        private KeyedTopic.Entry entry(String key) {
            return new KeyedTopic.Entry(key, Optional.of(value), offset);
        }
    }

    private final BiPredicate<byte[], byte[]> sameMeaning;
    private final MonotonicClock clock;
    private final Map<String, CachedEntry> kept = new LinkedHashMap<>();
    private final Deque<KeyedTopic.Entry> dropped = new ArrayDeque<>();
    private long firstOffset;
    private long nextOffset = -1;
    private long storeReadNanos;
    private boolean everReadStore;

    TopicRelayCache(BiPredicate<byte[], byte[]> sameMeaning, MonotonicClock clock) {
        this.sameMeaning = sameMeaning;
        this.clock = clock;
    }

    /** Notes that the store has answered; {@code askedNanos} is the time at which it was asked. */
    void onStoreRead(long askedNanos) {
        everReadStore = true;
        storeReadNanos = askedNanos;
    }

    /** Takes over changes that this node has read. */
    void add(KeyedTopic.Changes changes) {
        if (changes.truncated()) {
            return;
        }
        changes.entries().forEach(this::add);
        nextOffset = Math.max(nextOffset, changes.nextOffset());
    }

    /** Takes over a snapshot that this node has read. */
    void add(KeyedTopic.Snapshot snapshot) {
        if (snapshot.endOffset() < nextOffset) {
            return;
        }
        Set<String> present = new HashSet<>();
        for (KeyedTopic.Entry entry : snapshot.entries()) {
            present.add(entry.key());
            add(entry);
        }
        if (kept.keySet().retainAll(present) || nextOffset < 0) {
            // The offsets at which keys were dropped are not known, so readers that are behind start over.
            dropped.clear();
            firstOffset = snapshot.endOffset();
        }
        nextOffset = snapshot.endOffset();
    }

    private void add(KeyedTopic.Entry entry) {
        CachedEntry before = kept.get(entry.key());
        if (before != null && before.offset >= entry.offset()) {
            return;
        }
        if (entry.value().isEmpty()) {
            drop(entry);
            return;
        }
        byte[] value = entry.value().get();
        boolean same = before != null && sameMeaning.test(before.value, value);
        kept.put(entry.key(), new CachedEntry(value, entry.offset(), same ? before.changedOffset : entry.offset()));
    }

    private void drop(KeyedTopic.Entry entry) {
        kept.remove(entry.key());
        dropped.addLast(entry);
        if (dropped.size() > MAX_DROPPED) {
            firstOffset = dropped.removeFirst().offset() + 1;
        }
    }

    /** Returns the answer to a node that has read up to an offset, or to one that knows nothing if that is negative. */
    TopicMessages.Response respond(long fromOffset) {
        boolean current =
                everReadStore && nextOffset >= 0 && (clock.nanos() - storeReadNanos) / 1_000_000 <= MAX_AGE_MILLIS;
        if (!current || fromOffset > nextOffset) {
            return TopicMessages.Response.NOT_CURRENT;
        }
        boolean gap = fromOffset >= 0 && fromOffset < firstOffset;
        return new TopicMessages.Response(true, gap, gap ? List.of() : entriesFrom(fromOffset), nextOffset);
    }

    private List<KeyedTopic.Entry> entriesFrom(long fromOffset) {
        List<KeyedTopic.Entry> entries = new ArrayList<>();
        kept.forEach((key, value) -> {
            if (value.changedOffset >= fromOffset) {
                entries.add(value.entry(key));
            }
        });
        if (fromOffset >= 0) {
            dropped.stream().filter(entry -> entry.offset() >= fromOffset).forEach(entries::add);
        }
        entries.sort(Comparator.comparingLong(KeyedTopic.Entry::offset));
        return entries;
    }
}
