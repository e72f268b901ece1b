package org.agatehatch.standins.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** The newest cache events of one epoch. Readers see them late and with gaps. Not safe for use by several threads. */
final class CacheEvents {
    private static final int KEPT_EVENTS = 10_000;
    private static final int MAX_EVENTS_PER_READ = 1_000;

    private final Deque<Stored> events = new ArrayDeque<>();
    private long nextSequence;

    /** One event, with the field names of the protocol. */
    record Event(long sequence, String kind, String model, List<String> blocks) {}

    /** Answer to a read, with the field names of the protocol. */
    record Page(String runnerEpoch, long oldestSequence, long nextSequence, List<Event> events) {}

    private record Stored(Event event, long atMillis, boolean lost) {}

    void add(String kind, String model, List<Long> blocks, long nowMillis, boolean lost) {
        List<String> hex = blocks.stream().map(PromptBlocks::hex).toList();
        events.addLast(new Stored(new Event(nextSequence++, kind, model, hex), nowMillis, lost));
        if (events.size() > KEPT_EVENTS) {
            events.removeFirst();
        }
    }

    long nextSequence() {
        return nextSequence;
    }

    /** Returns the events that are at least {@code lagMillis} old, from a sequence on, without the lost ones. */
    Page read(String runnerEpoch, long from, long lagMillis, long nowMillis) {
        long oldest = events.isEmpty() ? nextSequence : events.getFirst().event.sequence();
        List<Event> page = new ArrayList<>();
        long next = Math.max(from, oldest);
        for (Stored stored : events) {
            if (stored.event.sequence() < from) {
                continue;
            }
            if (nowMillis - stored.atMillis < lagMillis || page.size() == MAX_EVENTS_PER_READ) {
                break;
            }
            next = stored.event.sequence() + 1;
            if (!stored.lost) {
                page.add(stored.event);
            }
        }
        return new Page(runnerEpoch, oldest, next, page);
    }
}
