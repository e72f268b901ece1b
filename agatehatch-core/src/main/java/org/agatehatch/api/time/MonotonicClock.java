package org.agatehatch.api.time;

/** A clock that never goes backwards. Its origin is arbitrary; only differences between readings are meaningful. */
@FunctionalInterface
public interface MonotonicClock {
    /** Returns the current reading in nanoseconds. */
    long nanos();

    /** Returns the current reading in milliseconds, rounded down. */
    default long millis() {
        return Math.floorDiv(nanos(), 1_000_000L);
    }

    /** Returns a clock based on {@link System#nanoTime}. */
    static MonotonicClock system() {
        return System::nanoTime;
    }
}
