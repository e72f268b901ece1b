package org.agatehatch.api.time;

/** Time of day. It may jump in either direction, so nothing that must always hold depends on it. */
@FunctionalInterface
public interface WallClock {
    /** Returns milliseconds since 1970-01-01T00:00:00Z. */
    long epochMillis();

    /** Returns a clock based on {@link System#currentTimeMillis}. */
    static WallClock system() {
        return System::currentTimeMillis;
    }
}
