package org.agatehatch.experiment;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.agatehatch.api.time.MonotonicClock;

/** Runs events in the order of their virtual times; events of one time run in the order in which they were added. */
final class VirtualTime implements MonotonicClock {
    private static final double NANOS_PER_MILLI = 1e6;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private long nowNanos;
    private long nextNumber;

    private record Event(long atNanos, long number, Runnable action) {}

    @Override
    public long nanos() {
        return nowNanos;
    }

    void after(double millis, Runnable action) {
        events.add(new Event(nowNanos + Math.max(0, nanos(millis)), nextNumber++, action));
    }

    /** Repeats an action for ever. */
    void every(double firstMillis, double periodMillis, Runnable action) {
        after(firstMillis, () -> {
            action.run();
            every(periodMillis, periodMillis, action);
        });
    }

    void runUntil(double millis) {
        long endNanos = nanos(millis);
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event event = events.poll();
            nowNanos = event.atNanos();
            event.action().run();
        }
        nowNanos = endNanos;
    }

    static long nanos(double millis) {
        return (long) (millis * NANOS_PER_MILLI);
    }
}
