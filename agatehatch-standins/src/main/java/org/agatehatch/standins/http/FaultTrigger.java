package org.agatehatch.standins.http;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Decides for each event whether a fault befalls it: always for the next {@code next} events, then by chance for a
 * {@code fraction} of them.
 */
public final class FaultTrigger {
    private final double fraction;
    private long next;

    @JsonCreator
    public FaultTrigger(@JsonProperty("next") long next, @JsonProperty("fraction") double fraction) {
        if (next < 0 || !(fraction >= 0 && fraction <= 1)) {
            throw new IllegalArgumentException("a trigger needs next >= 0 and a fraction from 0 to 1, but has next "
                    + next + " and fraction " + fraction);
        }
        this.next = next;
        this.fraction = fraction;
    }

    /** Returns a trigger that never fires. */
    public static FaultTrigger off() {
        return new FaultTrigger(0, 0);
    }

    /** Returns a trigger for exactly the next events. */
    public static FaultTrigger next(long events) {
        return new FaultTrigger(events, 0);
    }

    /** Returns a trigger for a fraction of all events. */
    public static FaultTrigger fraction(double fraction) {
        return new FaultTrigger(0, fraction);
    }

    /** Counts one event and returns whether the fault befalls it. */
    public synchronized boolean fires() {
        if (next > 0) {
            next--;
            return true;
        }
        return fraction > 0 && ThreadLocalRandom.current().nextDouble() < fraction;
    }

    /** Returns how many events are still to be hit for certain. */
    @JsonProperty("next")
    public synchronized long remaining() {
        return next;
    }

    /** Returns the fraction of events that is hit after those. */
    @JsonProperty("fraction")
    public double chance() {
        return fraction;
    }
}
